#include "decide/move_tracker.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr duration stage_least = std::chrono::seconds(1); // time at a share before the next
constexpr std::uint64_t answers_least = 5;                // of the new version, before the next share
constexpr std::uint64_t failures_least = 3;               // before a version may be called bad
constexpr double failure_excess = 0.10;                   // of 1, above the old version's share of failures

double failure_share(std::uint64_t answered, std::uint64_t failed)
{
    const std::uint64_t all = answered + failed;
    return all == 0 ? 0.0 : static_cast<double>(failed) / static_cast<double>(all);
}

} // namespace

void move_tracker::set_configuration(const configuration& c)
{
    const auto named = [&](move_id id) {
        return std::any_of(c.moves_.begin(), c.moves_.end(),
                           [id](const move_rule& r) { return r.id() == id; });
    };
    std::erase_if(facts_, [&](const auto& f) { return !named(f.first); });
    std::erase_if(stage_began_, [&](const auto& s) { return !named(s.first); });
    std::erase_if(seen_at_stage_, [&](const auto& s) { return !named(s.first); });
    std::erase_if(evidence_, [&](const auto& e) { return !named(std::get<0>(e.first)); });
}

std::vector<move_fact> move_tracker::merge(const std::vector<move_fact>& heard)
{
    std::vector<move_fact> news;
    for (const move_fact& f : heard) {
        const auto [at, fresh] = facts_.insert({f.id_, f});
        const move_fact joined = decide::merge(at->second, f);
        if (!fresh && joined == at->second)
            continue;
        at->second = joined;
        news.push_back(joined);
    }
    return news;
}

void move_tracker::merge(const std::vector<evidence>& heard)
{
    for (const evidence& e : heard) {
        const evidence_key key{e.move_, e.gate_, e.version_, e.route_, e.class_};
        const auto [at, fresh] = evidence_.insert({key, e});
        const auto rank = [](const evidence& x) {
            return std::tuple(x.incarnation_, x.answered_ + x.failed_);
        };
        if (!fresh && rank(e) > rank(at->second))
            at->second = e;
    }
}

std::vector<move_fact> move_tracker::tick(const configuration& c, wall_time wall, time_point now)
{
    std::vector<move_fact> news;
    for (const move_rule& rule : c.moves_) {
        move_fact& fact = facts_[rule.id()];
        fact.id_ = rule.id();
        fact.service_ = rule.service_;
        fact.version_ = rule.version_;
        if (judge(rule, fact, wall, now)) {
            fact.since_ = static_cast<std::uint64_t>(wall.time_since_epoch().count());
            news.push_back(fact);
        }
    }
    return news;
}

// True if the fact changed.
bool move_tracker::judge(const move_rule& rule, move_fact& fact, wall_time wall, time_point now)
{
    if (fact.withdrawn_)
        return false;
    const auto [began, first] = stage_began_.insert({rule.id(), now});
    const totals fresh = total(rule.id(), rule.version_, true);
    const totals old = total(rule.id(), rule.version_, false);

    const double excess =
        failure_share(fresh.answered_, fresh.failed_) - failure_share(old.answered_, old.failed_);
    if (fresh.failed_ >= failures_least && excess > failure_excess) {
        fact.withdrawn_ = true;
        fact.reason_ = "failed " + std::to_string(fresh.failed_) + " of " +
                       std::to_string(fresh.answered_ + fresh.failed_);
        return true;
    }
    if (fact.done_)
        return false;
    if (wall >= rule.deadline_) {
        fact.withdrawn_ = true;
        fact.reason_ = "not finished by its deadline";
        return true;
    }
    totals& seen = seen_at_stage_[rule.id()];
    const bool enough = fresh.answered_ >= seen.answered_ + answers_least;
    if (now - began->second < stage_least || !enough)
        return false;
    began->second = now;
    seen = fresh;
    if (fact.stage_ + 1 < stage_count())
        ++fact.stage_;
    else
        fact.done_ = true;
    return true;
}

move_tracker::totals move_tracker::total(move_id id, const version_name& version, bool of_version) const
{
    totals sum;
    for (const auto& [key, e] : evidence_) {
        if (e.move_ != id || (e.version_ == version) != of_version)
            continue;
        sum.answered_ += e.answered_;
        sum.failed_ += e.failed_;
    }
    return sum;
}

std::vector<move_fact> move_tracker::facts() const
{
    std::vector<move_fact> all;
    for (const auto& [id, f] : facts_)
        all.push_back(f);
    return all;
}

std::vector<evidence> move_tracker::known_evidence() const
{
    std::vector<evidence> all;
    for (const auto& [key, e] : evidence_)
        all.push_back(e);
    return all;
}

std::uint64_t move_tracker::hash() const
{
    std::uint64_t sum = 0;
    for (const auto& [id, f] : facts_) {
        const std::string text = std::to_string(id.value()) + "/" + std::to_string(f.stage_) +
                                 (f.done_ ? "/done" : "") + (f.withdrawn_ ? "/withdrawn" : "") + f.reason_;
        sum += guavahaven::hash(text);
    }
    return sum;
}

} // namespace guavahaven::decide
