#include "decide/moves/move_tracker.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr duration min_stage_duration = std::chrono::seconds(2);
constexpr duration max_stage_duration = std::chrono::minutes(10);
constexpr duration min_watch_duration = std::chrono::seconds(2);
constexpr duration max_watch_duration = std::chrono::hours(1);
constexpr int watch_divisor = 4; // the last stage takes this part of the move's length
// With less than this part of its length left for the last stage, a move is not done.
constexpr int min_watch_divisor = 10;
constexpr int deadline_margin_divisor = 20;    // this part of the length is kept free before the deadline
constexpr std::uint64_t min_good_answers = 10; // of the new version, at each stage
constexpr std::uint64_t min_good_answers_bounded = 5; // the same where a bound leaves few calls
constexpr std::uint64_t min_new_route_runs = 3;       // of the new version, on each route in use
constexpr double max_share_for_expected_runs = 0.95;  // avoids a division by zero
constexpr std::uint64_t min_old_route_runs = 30; // of the old version at a stage, for a route to be in use
constexpr double max_capacity_use = 1.0; // mean concurrent runs as a share of what the gates admit now
constexpr duration report_arrival_timeout = std::chrono::milliseconds(600); // after the end of a second
constexpr duration platform_read_timeout = std::chrono::seconds(5);
constexpr std::size_t max_withdrawals_kept = 64;
constexpr std::uint32_t short_move_stages = 3;
constexpr std::uint64_t microseconds_per_second = 1'000'000;
constexpr duration trial_duration = std::chrono::milliseconds(1000);
// How long to wait for the fact by which a judge ends a trial.
constexpr duration trial_end_timeout = std::chrono::milliseconds(700);

wall_time to_wall(std::uint64_t microseconds)
{
    return wall_time(duration(static_cast<std::int64_t>(microseconds)));
}

std::uint64_t from_wall(wall_time t)
{
    return static_cast<std::uint64_t>(t.time_since_epoch().count());
}

std::string describe(const run_totals& t)
{
    return "new_failed=" + std::to_string(t.new_failed_) + "/" + std::to_string(t.new_ran_) +
           " old_failed=" + std::to_string(t.old_failed_) + "/" + std::to_string(t.old_ran_);
}

run_totals difference(const run_totals& after, const run_totals& before)
{
    return {after.new_ran_ - before.new_ran_, after.new_failed_ - before.new_failed_,
            after.old_ran_ - before.old_ran_, after.old_failed_ - before.old_failed_};
}

} // namespace

duration move_schedule::watch_duration() const
{
    return std::clamp<duration>(length() / watch_divisor, min_watch_duration, max_watch_duration);
}

duration move_schedule::stage_duration(std::uint32_t stage, wall_time stage_began) const
{
    if (stages_ == short_move_stages)
        return stage == 0 ? length() / 2 : trial_duration;
    const int stages_left = static_cast<int>(stages_ - 1 - std::min(stage, stages_ - 1));
    const duration ramp_left =
        deadline_ - length() / deadline_margin_divisor - watch_duration() - stage_began;
    return std::clamp<duration>(ramp_left / std::max(1, stages_left), min_stage_duration, max_stage_duration);
}

std::optional<wall_time> move_schedule::done_at(wall_time watch_began) const
{
    if (bounded_)
        return deadline_ - bounded_move_done_margin;
    const wall_time last = deadline_ - length() / deadline_margin_divisor;
    if (last - watch_began < length() / min_watch_divisor)
        return {};
    return std::min(last, watch_began + watch_duration());
}

void move_tracker::set_configuration(const configuration& c)
{
    const std::set<move_id> before = std::exchange(configured_, {});
    for (const move_rule& r : c.moves_) {
        configured_.insert(r.id());
        if (had_configuration_ && !before.contains(r.id()))
            first_considered_.insert({r.id(), wall_time()});
    }
    had_configuration_ = true;
    const auto not_configured = [&](const auto& item) { return !configured_.contains(item.first); };
    for (const auto& [id, f] : facts_)
        if (not_configured(std::pair(id, 0)) && !f.done_)
            abandoned_versions_.insert({f.service_, f.version_});
    for (const move_rule& r : c.moves_) // the version is tried again
        abandoned_versions_.erase({r.service_, r.version_});
    std::erase_if(facts_, [&](const auto& f) { return not_configured(f) && !f.second.withdrawn_; });
    std::erase_if(judged_moves_, not_configured);
    std::erase_if(first_considered_, not_configured);
    while (facts_.size() > max_withdrawals_kept + configured_.size()) {
        const auto old = std::find_if(facts_.begin(), facts_.end(), not_configured);
        if (old == facts_.end())
            break;
        facts_.erase(old);
    }
}

std::vector<move_fact> move_tracker::merge(const std::vector<move_fact>& received)
{
    std::vector<move_fact> updates;
    for (const move_fact& f : received) {
        if (!configured_.contains(f.id_) && !f.withdrawn_)
            continue;
        const auto [at, inserted] = facts_.insert({f.id_, f});
        const move_fact joined = decide::merge(at->second, f);
        if (!inserted && joined == at->second)
            continue;
        at->second = joined;
        if (configured_.contains(f.id_))
            updates.push_back(joined);
    }
    return updates;
}

void move_tracker::merge(const std::vector<version_stats>& received)
{
    for (const version_stats& e : received) {
        const auto at = judged_moves_.find(e.move_);
        if (at != judged_moves_.end())
            at->second.judge_.add_report(e);
    }
}

void move_tracker::mark_facts_loaded(const service_name& service)
{
    loaded_services_.insert(service);
}

std::vector<move_fact> move_tracker::tick(const configuration& c, const std::vector<member>& members,
                                          const daemon_name& self, wall_time wall)
{
    std::vector<move_fact> updates;
    for (const move_rule& rule : c.moves_) {
        const std::vector<daemon_name> judges = judges_of(rule, members);
        const bool judging = std::find(judges.begin(), judges.end(), self) != judges.end();
        const auto known = facts_.find(rule.id());
        if (!judging || wall >= rule.deadline_)
            continue;
        if (known == facts_.end()) {
            if (!may_begin(rule, wall))
                continue;
            move_fact fact;
            fact.id_ = rule.id();
            fact.service_ = rule.service_;
            fact.version_ = rule.version_;
            fact.began_ = from_wall(wall);
            fact.since_ = fact.began_;
            facts_[rule.id()] = fact;
            updates.push_back(fact);
            continue;
        }
        move_fact& fact = known->second;
        if (judge(c, rule, fact, wall)) {
            fact.since_ = from_wall(wall);
            updates.push_back(fact);
        }
    }
    return updates;
}

// A move begins only if it can't have been withdrawn earlier: the platform's facts have been read, or the
// move came in force while this daemon ran. In the second case the platform gets 5 s to answer first.
bool move_tracker::may_begin(const move_rule& rule, wall_time wall)
{
    if (loaded_services_.contains(rule.service_))
        return true;
    const auto at = first_considered_.find(rule.id());
    if (at == first_considered_.end())
        return false;
    if (at->second == wall_time())
        at->second = wall;
    return wall - at->second >= platform_read_timeout;
}

move_tracker::judged_move& move_tracker::judged_move_for(const configuration& c, const move_rule& rule,
                                                         const move_fact& fact)
{
    const auto known = judged_moves_.find(rule.id());
    if (known != judged_moves_.end())
        return known->second;
    const auto routes = std::count_if(c.routes_.begin(), c.routes_.end(),
                                      [&](const route_rule& r) { return r.leads_to(rule.service_); });
    const double seconds = std::chrono::duration<double>(rule.deadline_ - to_wall(fact.began_)).count();
    judged_move added{
        move_judge(rule.version_, static_cast<std::size_t>(routes), seconds), fact.stage_, {}, {}};
    return judged_moves_.insert({rule.id(), std::move(added)}).first->second;
}

double move_tracker::judged_move::new_share_in_stage() const
{
    double new_runs = 0;
    double runs = 0;
    for (const auto& [key, now] : judge_.totals()) {
        const auto before = totals_at_stage_start_.find(key);
        const run_totals increase =
            difference(now, before == totals_at_stage_start_.end() ? run_totals{} : before->second);
        new_runs += static_cast<double>(increase.new_ran_);
        runs += static_cast<double>(increase.new_ran_ + increase.old_ran_);
    }
    return runs > 0 ? new_runs / runs : 0;
}

// Judges the move now; returns true if it changed the fact.
bool move_tracker::judge(const configuration& c, const move_rule& rule, move_fact& fact, wall_time wall)
{
    if (fact.withdrawn_ || fact.done_)
        return false;
    judged_move& j = judged_move_for(c, rule, fact);
    if (const auto trial = trial_seconds(rule, fact))
        j.judge_.set_trial(trial->first, trial->second);
    j.judge_.test_until(from_wall(wall - report_arrival_timeout) / microseconds_per_second);
    if (const auto why = j.judge_.regression()) {
        fact.withdrawn_ = true;
        fact.reason_ = *why;
        return true;
    }
    if (j.stage_ != fact.stage_) {
        j.stage_ = fact.stage_;
        j.totals_at_stage_start_ = j.judge_.totals();
    }
    j.waiting_for_ =
        on_trial(rule, fact) ? trial_blocking_reason(fact, wall) : blocking_reason(rule, fact, j, wall);
    if (!j.waiting_for_.empty())
        return false;
    if (fact.stage_ + 1 < stage_count(rule, fact))
        ++fact.stage_;
    else
        fact.done_ = true;
    return true;
}

// The first and last wall-clock second that the trial of a short move falls into; none before it began.
std::optional<std::pair<std::uint64_t, std::uint64_t>> move_tracker::trial_seconds(const move_rule& rule,
                                                                                   const move_fact& fact)
{
    if (stage_count(rule, fact) != short_move_stages || fact.stage_ == 0)
        return {};
    const auto length = static_cast<std::uint64_t>(trial_duration.count());
    const std::uint64_t began = fact.stage_ == 1 ? fact.since_ : fact.since_ - length;
    return std::pair(began / microseconds_per_second, (began + length) / microseconds_per_second);
}

// Only time ends a trial; its results are judged in the last stage.
std::string move_tracker::trial_blocking_reason(const move_fact& fact, wall_time wall)
{
    return wall < to_wall(fact.since_) + trial_duration ? "on trial under load" : "";
}

std::string move_tracker::blocking_reason(const move_rule& rule, const move_fact& fact, const judged_move& j,
                                          wall_time wall) const
{
    if (j.judge_.regression_suspected())
        return "a badness is likely but not shown";
    std::uint64_t good = 0;
    const double share = std::min(share_of(rule, fact), j.new_share_in_stage());
    for (const auto& [key, now] : j.judge_.totals()) {
        const auto before = j.totals_at_stage_start_.find(key);
        const run_totals increase =
            difference(now, before == j.totals_at_stage_start_.end() ? run_totals{} : before->second);
        good += increase.new_ran_ - increase.new_failed_;
        // At a small share, fewer runs than required may be expected on a route in use; it is then left out.
        const double expected = static_cast<double>(increase.old_ran_) * share /
                                (1 - std::min(share, max_share_for_expected_runs));
        if (increase.old_ran_ >= min_old_route_runs &&
            expected >= 2 * static_cast<double>(min_new_route_runs) && increase.new_ran_ < min_new_route_runs)
            return "too few runs on route " + key.route_;
    }
    const std::uint64_t least = rule.bounded() ? min_good_answers_bounded : min_good_answers;
    if (good < least)
        return std::to_string(good) + " of " + std::to_string(least) + " good answers at this share";

    const std::uint32_t stages = stage_count(rule, fact);
    const move_schedule schedule{to_wall(fact.began_), rule.deadline_, stages, rule.bounded()};
    const wall_time since = to_wall(fact.since_);
    if (fact.stage_ + 1 == stages) {
        if (stages == short_move_stages && !j.judge_.trial_rejection_reason().empty())
            return j.judge_.trial_rejection_reason();
        const auto done_at = schedule.done_at(since);
        if (!done_at)
            return "too little time is left to watch it";
        return wall < *done_at ? "watched at the last share" : "";
    }
    if (wall < since + schedule.stage_duration(fact.stage_, since))
        return "time at this share";
    move_fact next = fact;
    ++next.stage_;
    const double needed = share_of(rule, next) * j.judge_.demand();
    if (needed > max_capacity_use * static_cast<double>(j.judge_.capacity()))
        return "its backend servers are not yet warm enough for the next share";
    return {};
}

const move_fact* move_tracker::find(move_id id) const
{
    const auto at = facts_.find(id);
    return at == facts_.end() ? nullptr : &at->second;
}

std::vector<move_fact> move_tracker::facts() const
{
    std::vector<move_fact> all;
    for (const auto& [id, f] : facts_)
        if (configured_.contains(id))
            all.push_back(f);
    return all;
}

// Ends a trial that the judges have not ended in time, since they may have died or be paused; the new version
// would otherwise keep the large share of the trial.
void move_tracker::end_overdue_trial(const move_rule& rule, std::vector<move_fact>& all, wall_time wall)
{
    for (move_fact& f : all)
        if (f.id_ == rule.id() && on_trial(rule, f) &&
            wall > to_wall(f.since_) + trial_duration + trial_end_timeout)
            ++f.stage_;
}

std::vector<move_fact> move_tracker::effective_facts(const configuration& c, wall_time wall) const
{
    std::vector<move_fact> all = facts();
    for (const move_rule& rule : c.moves_) {
        if (wall < rule.deadline_) {
            end_overdue_trial(rule, all, wall);
            continue;
        }
        auto at =
            std::find_if(all.begin(), all.end(), [&](const move_fact& f) { return f.id_ == rule.id(); });
        if (at == all.end()) {
            move_fact unknown;
            unknown.id_ = rule.id();
            unknown.service_ = rule.service_;
            unknown.version_ = rule.version_;
            at = all.insert(all.end(), unknown);
        }
        if (at->done_ || at->withdrawn_)
            continue;
        at->withdrawn_ = true;
        at->reason_ = "not done by its deadline";
        at->since_ = from_wall(rule.deadline_);
    }
    return all;
}

std::vector<version_stats> move_tracker::known_version_stats() const
{
    std::vector<version_stats> all;
    for (const auto& [id, j] : judged_moves_)
        for (const version_stats& e : j.judge_.latest_reports())
            all.push_back(e);
    return all;
}

std::string move_tracker::waiting_for(move_id id) const
{
    const auto at = judged_moves_.find(id);
    return at == judged_moves_.end() ? "" : at->second.waiting_for_;
}

std::string move_tracker::evidence(move_id id) const
{
    const auto at = judged_moves_.find(id);
    if (at == judged_moves_.end())
        return "";
    run_totals sum;
    for (const auto& [key, t] : at->second.judge_.totals()) {
        sum.new_ran_ += t.new_ran_;
        sum.new_failed_ += t.new_failed_;
        sum.old_ran_ += t.old_ran_;
        sum.old_failed_ += t.old_failed_;
    }
    const run_totals& trial = at->second.judge_.trial_totals();
    return describe(sum) + (trial.new_ran_ == 0 ? "" : " on_trial " + describe(trial));
}

std::uint64_t move_tracker::hash() const
{
    std::uint64_t sum = 0;
    for (const move_fact& f : facts()) {
        const std::string text = std::to_string(f.id_.value()) + "/" + std::to_string(f.stage_) +
                                 (f.done_ ? "/done" : "") + (f.withdrawn_ ? "/withdrawn/" : "/") +
                                 std::to_string(f.since_) + "/" + std::to_string(f.began_) + f.reason_;
        sum += guavahaven::hash(text);
    }
    return sum;
}

} // namespace guavahaven::decide
