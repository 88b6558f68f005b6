#include "decide/moves/move_tracker.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr duration dwell_least = std::chrono::seconds(2);
constexpr duration dwell_most = std::chrono::minutes(10);
constexpr duration watch_least = std::chrono::seconds(2);
constexpr duration watch_most = std::chrono::hours(1);
constexpr int watch_part = 4;                 // of the move's length
constexpr int short_watch_part = 10;          // of the length, without which a move is not done
constexpr int safety_part = 20;               // of the length, kept free before the deadline
constexpr std::uint64_t answers_least = 10;   // good ones of the new version at each stage
constexpr std::uint64_t route_runs_least = 3; // of the new version on each route in use
constexpr double share_most = 0.95;           // for what a route is owed
constexpr std::uint64_t route_in_use = 30;    // runs of the old version at a stage
constexpr double capacity_used_most = 1.0;    // mean runs at once, of what the gates admit now
constexpr duration evidence_delay = std::chrono::milliseconds(600); // for reports of a second to come in
constexpr duration platform_patience = std::chrono::seconds(5);
constexpr std::size_t withdrawals_kept = 64;
constexpr std::uint32_t short_stages = 3;
constexpr std::uint64_t second_us = 1'000'000;
constexpr duration trial_length = std::chrono::milliseconds(1000);
constexpr duration trial_lateness = std::chrono::milliseconds(700); // of its end's news

wall_time to_wall(std::uint64_t microseconds)
{
    return wall_time(duration(static_cast<std::int64_t>(microseconds)));
}

std::uint64_t from_wall(wall_time t)
{
    return static_cast<std::uint64_t>(t.time_since_epoch().count());
}

run_totals difference(const run_totals& after, const run_totals& before)
{
    return {after.new_ran_ - before.new_ran_, after.new_failed_ - before.new_failed_,
            after.old_ran_ - before.old_ran_, after.old_failed_ - before.old_failed_};
}

} // namespace

duration move_schedule::watch() const
{
    return std::clamp<duration>(length() / watch_part, watch_least, watch_most);
}

duration move_schedule::dwell(std::uint32_t stage, wall_time stage_began) const
{
    if (stages_ == short_stages)
        return stage == 0 ? length() / 2 : trial_length;
    const int stages_left = static_cast<int>(stages_ - 1 - std::min(stage, stages_ - 1));
    const duration ramp_left = deadline_ - length() / safety_part - watch() - stage_began;
    return std::clamp<duration>(ramp_left / std::max(1, stages_left), dwell_least, dwell_most);
}

std::optional<wall_time> move_schedule::done_at(wall_time watch_began) const
{
    const wall_time last = deadline_ - length() / safety_part;
    if (last - watch_began < length() / short_watch_part)
        return {};
    return std::min(last, watch_began + watch());
}

void move_tracker::set_configuration(const configuration& c)
{
    const std::set<move_id> before = std::exchange(named_, {});
    for (const move_rule& r : c.moves_) {
        named_.insert(r.id());
        if (had_configuration_ && !before.contains(r.id()))
            new_since_.insert({r.id(), wall_time()});
    }
    had_configuration_ = true;
    const auto unnamed = [&](const auto& item) { return !named_.contains(item.first); };
    for (const auto& [id, f] : facts_)
        if (unnamed(std::pair(id, 0)) && !f.done_)
            abandoned_.insert({f.service_, f.version_});
    for (const move_rule& r : c.moves_) // it is tried once more
        abandoned_.erase({r.service_, r.version_});
    std::erase_if(facts_, [&](const auto& f) { return unnamed(f) && !f.second.withdrawn_; });
    std::erase_if(judged_, unnamed);
    std::erase_if(new_since_, unnamed);
    while (facts_.size() > withdrawals_kept + named_.size()) {
        const auto old = std::find_if(facts_.begin(), facts_.end(), unnamed);
        if (old == facts_.end())
            break;
        facts_.erase(old);
    }
}

std::vector<move_fact> move_tracker::merge(const std::vector<move_fact>& heard)
{
    std::vector<move_fact> news;
    for (const move_fact& f : heard) {
        if (!named_.contains(f.id_) && !f.withdrawn_)
            continue;
        const auto [at, fresh] = facts_.insert({f.id_, f});
        const move_fact joined = decide::merge(at->second, f);
        if (!fresh && joined == at->second)
            continue;
        at->second = joined;
        if (named_.contains(f.id_))
            news.push_back(joined);
    }
    return news;
}

void move_tracker::merge(const std::vector<evidence>& heard)
{
    for (const evidence& e : heard) {
        const auto at = judged_.find(e.move_);
        if (at != judged_.end())
            at->second.judge_.take(e);
    }
}

void move_tracker::facts_read(const service_name& service)
{
    read_.insert(service);
}

std::vector<move_fact> move_tracker::tick(const configuration& c, const std::vector<member>& members,
                                          const daemon_name& self, wall_time wall)
{
    std::vector<move_fact> news;
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
            news.push_back(fact);
            continue;
        }
        move_fact& fact = known->second;
        if (judge(c, rule, fact, wall)) {
            fact.since_ = from_wall(wall);
            news.push_back(fact);
        }
    }
    return news;
}

// A move begins once it is sure that it was not withdrawn before: the platform
// has told its facts, or the move came in force while this daemon ran.
bool move_tracker::may_begin(const move_rule& rule, wall_time wall)
{
    if (read_.contains(rule.service_))
        return true;
    const auto at = new_since_.find(rule.id());
    if (at == new_since_.end())
        return false;
    if (at->second == wall_time())
        at->second = wall;
    return wall - at->second >= platform_patience;
}

move_tracker::judged& move_tracker::judged_of(const configuration& c, const move_rule& rule,
                                              const move_fact& fact)
{
    const auto known = judged_.find(rule.id());
    if (known != judged_.end())
        return known->second;
    const auto routes = std::count_if(c.routes_.begin(), c.routes_.end(),
                                      [&](const route_rule& r) { return r.leads_to(rule.service_); });
    const double seconds = std::chrono::duration<double>(rule.deadline_ - to_wall(fact.began_)).count();
    judged fresh{move_judge(rule.version_, static_cast<std::size_t>(routes), seconds), fact.stage_, {}, {}};
    return judged_.insert({rule.id(), std::move(fresh)}).first->second;
}

// True if the fact changed.
bool move_tracker::judge(const configuration& c, const move_rule& rule, move_fact& fact, wall_time wall)
{
    if (fact.withdrawn_ || fact.done_)
        return false;
    judged& j = judged_of(c, rule, fact);
    if (const auto trial = trial_seconds(rule, fact))
        j.judge_.set_trial(trial->first, trial->second);
    j.judge_.test_until(from_wall(wall - evidence_delay) / second_us);
    if (const auto why = j.judge_.badness()) {
        fact.withdrawn_ = true;
        fact.reason_ = *why;
        return true;
    }
    if (j.stage_ != fact.stage_) {
        j.stage_ = fact.stage_;
        j.at_stage_ = j.judge_.totals();
    }
    j.waiting_for_ = on_trial(rule, fact) ? trial_hindrance(fact, wall) : hindrance(rule, fact, j, wall);
    if (!j.waiting_for_.empty())
        return false;
    if (fact.stage_ + 1 < stage_count(rule, fact))
        ++fact.stage_;
    else
        fact.done_ = true;
    return true;
}

// The wall-clock seconds that the trial of a short move touches; none before it began.
std::optional<std::pair<std::uint64_t, std::uint64_t>> move_tracker::trial_seconds(const move_rule& rule,
                                                                                   const move_fact& fact)
{
    if (stage_count(rule, fact) != short_stages || fact.stage_ == 0)
        return {};
    const auto length = static_cast<std::uint64_t>(trial_length.count());
    const std::uint64_t began = fact.stage_ == 1 ? fact.since_ : fact.since_ - length;
    return std::pair(began / second_us, (began + length) / second_us);
}

// A trial ends by time alone; what it has shown is weighed afterwards.
std::string move_tracker::trial_hindrance(const move_fact& fact, wall_time wall)
{
    return wall < to_wall(fact.since_) + trial_length ? "on trial under load" : "";
}

std::string move_tracker::hindrance(const move_rule& rule, const move_fact& fact, const judged& j,
                                    wall_time wall) const
{
    if (j.judge_.doubtful())
        return "a badness is likely but not shown";
    std::uint64_t good = 0;
    const double share = share_of(rule, fact);
    for (const auto& [key, now] : j.judge_.totals()) {
        const auto before = j.at_stage_.find(key);
        const run_totals grown = difference(now, before == j.at_stage_.end() ? run_totals{} : before->second);
        good += grown.new_ran_ - grown.new_failed_;
        // At a small share a route in use may be owed less than that.
        const double owed = static_cast<double>(grown.old_ran_) * share / (1 - std::min(share, share_most));
        if (grown.old_ran_ >= route_in_use && owed >= 2 * static_cast<double>(route_runs_least) &&
            grown.new_ran_ < route_runs_least)
            return "too few runs on route " + key.route_;
    }
    if (good < answers_least)
        return std::to_string(good) + " of " + std::to_string(answers_least) + " good answers at this share";

    const std::uint32_t stages = stage_count(rule, fact);
    const move_schedule schedule{to_wall(fact.began_), rule.deadline_, stages};
    const wall_time since = to_wall(fact.since_);
    if (fact.stage_ + 1 == stages) {
        if (stages == short_stages && !j.judge_.trial_objection().empty())
            return j.judge_.trial_objection();
        const auto done_at = schedule.done_at(since);
        if (!done_at)
            return "too little time is left to watch it";
        return wall < *done_at ? "watched at the last share" : "";
    }
    if (wall < since + schedule.dwell(fact.stage_, since))
        return "time at this share";
    move_fact next = fact;
    ++next.stage_;
    const double needed = share_of(rule, next) * j.judge_.demand();
    if (needed > capacity_used_most * static_cast<double>(j.judge_.capacity()))
        return "its backend servers are not yet warm enough for the next share";
    return {};
}

std::vector<move_fact> move_tracker::facts() const
{
    std::vector<move_fact> all;
    for (const auto& [id, f] : facts_)
        if (named_.contains(id))
            all.push_back(f);
    return all;
}

// The judges may be gone or stand still while a version is on trial.
void move_tracker::end_overdue_trial(const move_rule& rule, std::vector<move_fact>& all, wall_time wall)
{
    for (move_fact& f : all)
        if (f.id_ == rule.id() && on_trial(rule, f) &&
            wall > to_wall(f.since_) + trial_length + trial_lateness)
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

std::vector<evidence> move_tracker::known_evidence() const
{
    std::vector<evidence> all;
    for (const auto& [id, j] : judged_)
        for (const evidence& e : j.judge_.known())
            all.push_back(e);
    return all;
}

std::string move_tracker::waiting_for(move_id id) const
{
    const auto at = judged_.find(id);
    return at == judged_.end() ? "" : at->second.waiting_for_;
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
