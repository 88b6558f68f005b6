#include "decide/moves/version_stats_collector.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

// Without this bound, a slow version would not show in classes with long deadlines.
constexpr duration max_slow_reference_time = std::chrono::seconds(4);
constexpr int min_failed_status = 500;
constexpr int shed_status = 503;                   // the backend server refused the request itself
constexpr std::size_t max_crash_fingerprints = 16; // per version; the oldest is dropped first
// A run that broke off after this share of its time limit was ended by the gate's own timeout.
constexpr double min_timed_out_share = 0.9;

std::uint64_t fingerprint(const call& c)
{
    return hash(c.request_.body_, hash(c.request_.target_, hash(c.route_)));
}

} // namespace

duration slow_reference_time(const class_rule& rule)
{
    return std::min(rule.deadline_, max_slow_reference_time);
}

void version_stats_collector::run_started(run_id run, const call& c, const configuration& rules,
                                          time_point now)
{
    const move_rule* move = rules.find_move(c.service_);
    const class_rule* class_of_call = rules.find_class(c.class_);
    if (!move || !class_of_call)
        return;
    count_run_time(now);
    open_[run] = {{move->id(), c.version_, c.route_, c.class_},
                  now,
                  c.remaining_,
                  slow_reference_time(*class_of_call),
                  fingerprint(c),
                  0};
}

void version_stats_collector::run_answered(run_id run, int status, bool complete, time_point now)
{
    const auto at = open_.find(run);
    if (at == open_.end())
        return;
    at->second.status_ = status;
    if (complete)
        run_completed(run, now);
}

void version_stats_collector::run_completed(run_id run, time_point now)
{
    const auto at = open_.find(run);
    if (at == open_.end())
        return;
    if (at->second.status_ == shed_status)
        return run_dropped(run);
    end(run, at->second.status_ >= min_failed_status, now);
}

// Had the run gone on, it might have failed or passed further levels: only those that it had passed
// by now are known, and a run that had passed none is dropped.
void version_stats_collector::run_cancelled(run_id run, time_point now)
{
    const auto at = open_.find(run);
    if (at == open_.end())
        return;
    const double lasted = static_cast<double>((now - at->second.began_).count());
    const double first_level = slow_levels.front() * static_cast<double>(at->second.slow_reference_.count());
    if (lasted <= first_level)
        return run_dropped(run);
    end(run, false, now);
}

void version_stats_collector::run_broken(run_id run, time_point now)
{
    const auto at = open_.find(run);
    if (at == open_.end())
        return;
    const open_run& r = at->second;
    const double allowed = static_cast<double>(r.time_limit_.count());
    if (static_cast<double>((now - r.began_).count()) >= min_timed_out_share * allowed)
        return run_cancelled(run, now);
    std::vector<std::uint64_t>& known = crashes_by_version_[{r.key_.move_, r.key_.version_}];
    if (std::find(known.begin(), known.end(), r.fingerprint_) == known.end()) {
        known.push_back(r.fingerprint_);
        if (known.size() > max_crash_fingerprints)
            known.erase(known.begin());
    }
    count_run_time(now);
    open_.erase(at);
}

void version_stats_collector::run_dropped(run_id run)
{
    open_.erase(run);
}

std::vector<version_stats> version_stats_collector::collect(const configuration& rules,
                                                            const gate_state& state, time_point now)
{
    count_run_time(now);
    count_overdue(now);
    const auto not_configured = [&](move_id id) {
        return std::none_of(rules.moves_.begin(), rules.moves_.end(),
                            [id](const move_rule& r) { return r.id() == id; });
    };
    std::erase_if(counts_, [&](const auto& c) { return not_configured(c.first.move_); });
    std::erase_if(crashes_by_version_, [&](const auto& d) { return not_configured(d.first.first); });

    std::map<version_key, version_stats> found;
    for (const auto& [key, c] : counts_)
        found[{key.move_, key.version_}].routes_.push_back(
            {key.route_,
             key.class_,
             c.ran_,
             c.failed_,
             {c.slower_than_level_.begin(), c.slower_than_level_.end()}});
    for (const auto& [key, fingerprints] : crashes_by_version_)
        found[key].deaths_ = fingerprints;

    if (const move_rule* own = rules.find_move(state.service_))
        found[{own->id(), state.version_}];
    std::vector<version_stats> all;
    for (auto& [key, e] : found) {
        e.move_ = key.first;
        e.version_ = key.second;
        e.limit_ = state.load_.limit_;
        e.busy_ = run_time_;
        all.push_back(std::move(e));
    }
    run_time_ = {};
    return all;
}

void version_stats_collector::end(run_id run, bool failed, time_point now)
{
    const auto at = open_.find(run);
    count_run_time(now);
    count(at->second, failed, now);
    open_.erase(at);
}

// Called before each change of open_.
void version_stats_collector::count_run_time(time_point now)
{
    run_time_ += (now - run_time_counted_until_) * static_cast<duration::rep>(open_.size());
    run_time_counted_until_ = now;
}

void version_stats_collector::count(const open_run& r, bool failed, time_point now)
{
    counts& c = counts_[r.key_];
    ++c.ran_;
    c.failed_ += failed ? 1 : 0;
    const double lasted = static_cast<double>((now - r.began_).count());
    for (std::size_t i = 0; i < slow_levels.size(); ++i)
        c.slower_than_level_[i] +=
            lasted > slow_levels[i] * static_cast<double>(r.slow_reference_.count()) ? 1 : 0;
}

// Counts runs that have passed the last level without waiting for their end, so that a version that
// never answers is detected before its callers time out.
void version_stats_collector::count_overdue(time_point now)
{
    for (auto at = open_.begin(); at != open_.end();) {
        if (now - at->second.began_ <= at->second.slow_reference_) {
            ++at;
            continue;
        }
        count(at->second, false, now);
        at = open_.erase(at);
    }
}

} // namespace guavahaven::decide
