#pragma once

// Tracks the moves (progressive rollouts of backend server versions): advances each one, or withdraws it
// (rolls it back), by its rule, the gates' statistics and time. There is no leader: a few daemons judge a
// move and publish its progress as facts that only grow, and every daemon joins them.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "decide/moves/move_judge.h"

namespace guavahaven::decide {

// A move that bounds what the new version may get is done this long before its deadline, however early its
// last stage began: from then on the version gets all calls, and a badness that shows later can't be undone.
inline constexpr duration bounded_move_done_margin = std::chrono::milliseconds(400);

// The times of a move; they follow from its first judgement, its deadline and its number of stages.
struct move_schedule {
    wall_time began_{};
    wall_time deadline_{};
    std::uint32_t stages_ = 0;
    bool bounded_ = false; // a bound is set to what the new version may get

    duration length() const { return deadline_ - began_; }
    // Time at the last stage before the move is done; it is cut short by a near deadline.
    duration watch_duration() const;
    // Least time at a stage that began at this time.
    duration stage_duration(std::uint32_t stage, wall_time stage_began) const;
    // When a move is done whose last stage began at this time; none if too little time is left.
    std::optional<wall_time> done_at(wall_time watch_began) const;

    friend bool operator==(const move_schedule&, const move_schedule&) = default;
};

class move_tracker {
public:
    // Drops the statistics and facts of moves that the configuration no longer names. Withdrawals are kept,
    // up to a bound, since a later configuration may name the same move again.
    void set_configuration(const configuration& c);

    // Joins facts, and returns those of moves in the configuration that changed here. Of other moves only
    // withdrawals are kept.
    std::vector<move_fact> merge(const std::vector<move_fact>& received);
    // Records the gates' statistics of the moves that this daemon judges.
    void merge(const std::vector<version_stats>& received);

    // To be called once the platform's facts of a service have been read: from then on a move of it may
    // begin.
    void mark_facts_loaded(const service_name& service);

    // Judges the moves that 'self' is a judge of; returns the facts that changed.
    std::vector<move_fact> tick(const configuration& c, const std::vector<member>& members,
                                const daemon_name& self, wall_time wall);

    // Versions whose move went out of the configuration before it was done, withdrawn or not, unless a move
    // in the configuration tries them again.
    const std::set<std::pair<service_name, version_name>>& abandoned() const { return abandoned_versions_; }

    // Null if nothing is known of the move.
    const move_fact* find(move_id id) const;
    // Facts of the moves in the configuration.
    std::vector<move_fact> facts() const;
    // The same, with moves that were not done by their deadline shown as withdrawn, and trials that no judge
    // has ended as ended. These follow from rule and time and are not published as facts: otherwise a part of
    // a network partition that has not learned that the move was done would withdraw it for all.
    std::vector<move_fact> effective_facts(const configuration& c, wall_time wall) const;
    // The latest reports of the moves that this daemon judges.
    std::vector<version_stats> known_version_stats() const;
    // What a move that this daemon judges waits for; empty if nothing, or if it does not judge the move.
    std::string waiting_for(move_id id) const;
    // The runs that this daemon judges the move by, for the log; empty if it does not judge the move.
    std::string evidence(move_id id) const;
    // Hash over facts(), by which daemons compare what they know.
    std::uint64_t hash() const;

private:
    struct judged_move {
        move_judge judge_;
        std::uint32_t stage_ = 0;
        std::map<route_key, run_totals> totals_at_stage_start_; // totals when the stage began
        std::string waiting_for_;

        // Share of the new version in the runs of this stage; a bound may keep it below the stage's share.
        double new_share_in_stage() const;
    };

    bool may_begin(const move_rule& rule, wall_time wall);
    judged_move& judged_move_for(const configuration& c, const move_rule& rule, const move_fact& fact);
    bool judge(const configuration& c, const move_rule& rule, move_fact& fact, wall_time wall);
    static std::optional<std::pair<std::uint64_t, std::uint64_t>> trial_seconds(const move_rule& rule,
                                                                                const move_fact& fact);
    // What the move waits for before it leaves its stage; empty if nothing.
    static std::string trial_blocking_reason(const move_fact& fact, wall_time wall);
    static void end_overdue_trial(const move_rule& rule, std::vector<move_fact>& all, wall_time wall);
    std::string blocking_reason(const move_rule& rule, const move_fact& fact, const judged_move& j,
                                wall_time wall) const;

    std::set<move_id> configured_;
    std::set<std::pair<service_name, version_name>> abandoned_versions_;
    std::map<move_id, move_fact> facts_;
    std::map<move_id, judged_move> judged_moves_;
    std::set<service_name> loaded_services_; // whose facts the platform has returned
    // Moves that were added to the configuration while this daemon ran, and when it first considered to
    // begin them; wall_time() before that.
    std::map<move_id, wall_time> first_considered_;
    bool had_configuration_ = false;
};

} // namespace guavahaven::decide
