#include "decide/moves/version_stats_collector.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr duration basis_most = std::chrono::seconds(4); // classes that may wait long are slow all the same
constexpr int status_failed = 500;
constexpr int status_shed = 503;        // the backend server's own refusal
constexpr std::size_t deaths_most = 16; // fingerprints kept of one version
constexpr double timed_out_share = 0.9; // of the allowed time; a break after it is the gate's own doing

std::uint64_t fingerprint(const call& c)
{
    return hash(c.request_.body_, hash(c.request_.target_, hash(c.route_)));
}

} // namespace

duration slow_basis(const class_rule& rule)
{
    return std::min(rule.deadline_, basis_most);
}

void evidence_book::run_started(run_id run, const call& c, const configuration& rules, time_point now)
{
    const move_rule* move = rules.find_move(c.service_);
    const class_rule* class_of_call = rules.find_class(c.class_);
    if (!move || !class_of_call)
        return;
    add_busy(now);
    open_[run] = {{move->id(), c.version_, c.route_, c.class_},
                  now,
                  c.remaining_,
                  slow_basis(*class_of_call),
                  fingerprint(c),
                  0};
}

void evidence_book::run_answered(run_id run, int status, bool complete, time_point now)
{
    const auto at = open_.find(run);
    if (at == open_.end())
        return;
    at->second.status_ = status;
    if (complete)
        run_completed(run, now);
}

void evidence_book::run_completed(run_id run, time_point now)
{
    const auto at = open_.find(run);
    if (at == open_.end())
        return;
    if (at->second.status_ == status_shed)
        return run_dropped(run);
    end(run, at->second.status_ >= status_failed, now);
}

// Of a run that was cut short only the levels that it passed are known.
void evidence_book::run_cancelled(run_id run, time_point now)
{
    const auto at = open_.find(run);
    if (at == open_.end())
        return;
    const double lasted = static_cast<double>((now - at->second.began_).count());
    const double first_level = slow_levels.front() * static_cast<double>(at->second.basis_.count());
    if (lasted <= first_level)
        return run_dropped(run);
    end(run, false, now);
}

void evidence_book::run_broken(run_id run, time_point now)
{
    const auto at = open_.find(run);
    if (at == open_.end())
        return;
    const open_run& r = at->second;
    const double allowed = static_cast<double>(r.allowed_.count());
    if (static_cast<double>((now - r.began_).count()) >= timed_out_share * allowed)
        return run_cancelled(run, now);
    std::vector<std::uint64_t>& known = deaths_[{r.place_.move_, r.place_.version_}];
    if (std::find(known.begin(), known.end(), r.fingerprint_) == known.end()) {
        known.push_back(r.fingerprint_);
        if (known.size() > deaths_most)
            known.erase(known.begin());
    }
    add_busy(now);
    open_.erase(at);
}

void evidence_book::run_dropped(run_id run)
{
    open_.erase(run);
}

std::vector<evidence> evidence_book::collect(const configuration& rules, const gate_state& state,
                                             time_point now)
{
    add_busy(now);
    count_overdue(now);
    const auto unnamed = [&](move_id id) {
        return std::none_of(rules.moves_.begin(), rules.moves_.end(),
                            [id](const move_rule& r) { return r.id() == id; });
    };
    std::erase_if(counts_, [&](const auto& c) { return unnamed(c.first.move_); });
    std::erase_if(deaths_, [&](const auto& d) { return unnamed(d.first.first); });

    std::map<version_key, evidence> found;
    for (const auto& [where, c] : counts_)
        found[{where.move_, where.version_}].routes_.push_back(
            {where.route_, where.class_, c.ran_, c.failed_, {c.slower_.begin(), c.slower_.end()}});
    for (const auto& [key, fingerprints] : deaths_)
        found[key].deaths_ = fingerprints;

    if (const move_rule* own = rules.find_move(state.service_))
        found[{own->id(), state.version_}];
    std::vector<evidence> all;
    for (auto& [key, e] : found) {
        e.move_ = key.first;
        e.version_ = key.second;
        e.limit_ = state.load_.limit_;
        e.busy_ = busy_;
        all.push_back(std::move(e));
    }
    busy_ = {};
    return all;
}

void evidence_book::end(run_id run, bool failed, time_point now)
{
    const auto at = open_.find(run);
    add_busy(now);
    count(at->second, failed, now);
    open_.erase(at);
}

// Called before the runs under way change.
void evidence_book::add_busy(time_point now)
{
    busy_ += (now - busy_until_) * static_cast<duration::rep>(open_.size());
    busy_until_ = now;
}

void evidence_book::count(const open_run& r, bool failed, time_point now)
{
    counts& c = counts_[r.place_];
    ++c.ran_;
    c.failed_ += failed ? 1 : 0;
    const double lasted = static_cast<double>((now - r.began_).count());
    for (std::size_t i = 0; i < slow_levels.size(); ++i)
        c.slower_[i] += lasted > slow_levels[i] * static_cast<double>(r.basis_.count()) ? 1 : 0;
}

// A run that has passed the last level counts now: a version that never
// answers must show before its callers give up.
void evidence_book::count_overdue(time_point now)
{
    for (auto at = open_.begin(); at != open_.end();) {
        if (now - at->second.began_ <= at->second.basis_) {
            ++at;
            continue;
        }
        count(at->second, false, now);
        at = open_.erase(at);
    }
}

} // namespace guavahaven::decide
