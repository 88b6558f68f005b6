#pragma once

// Moves between backend server versions: from rule, evidence and time come
// facts that only grow. No leader decides: the daemons that judge a move state
// facts, all daemons join them.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "decide/moves/move_judge.h"

namespace guavahaven::decide {

// The times of a move, from its first judgement and its deadline alone.
struct move_schedule {
    wall_time began_{};
    wall_time deadline_{};
    std::uint32_t stages_ = 0;

    duration length() const { return deadline_ - began_; }
    // Time at the last stage before the move is done.
    duration watch() const;
    // Time at a stage that began then.
    duration dwell(std::uint32_t stage, wall_time stage_began) const;
    // When a version that is watched since then is done; none if the time left is too short.
    std::optional<wall_time> done_at(wall_time watch_began) const;

    friend bool operator==(const move_schedule&, const move_schedule&) = default;
};

class move_tracker {
public:
    // Evidence of moves that the configuration no longer names is dropped;
    // withdrawals are kept in case a later configuration names them again.
    void set_configuration(const configuration& c);

    // Joins facts of the moves that are named; returns those that changed here.
    std::vector<move_fact> merge(const std::vector<move_fact>& heard);
    void merge(const std::vector<evidence>& heard);

    // The platform's facts of a service are known, so that a move of it may begin.
    void facts_read(const service_name& service);

    // Judges the moves for which 'self' is a judge; returns the changed facts.
    std::vector<move_fact> tick(const configuration& c, const std::vector<member>& members,
                                const daemon_name& self, wall_time wall);

    // Versions that were withdrawn, or given up for another move of their service.
    const std::set<std::pair<service_name, version_name>>& abandoned() const { return abandoned_; }

    // Facts of the moves that are named.
    std::vector<move_fact> facts() const;
    // The same, with the moves that passed their deadline before they were done
    // shown as withdrawn. That follows from rule and time, so it is not a fact:
    // a side of a partition that missed the end can't undo it.
    std::vector<move_fact> effective_facts(const configuration& c, wall_time wall) const;
    std::vector<evidence> known_evidence() const;
    // What a move that this daemon judges waits for; empty if nothing is known.
    std::string waiting_for(move_id id) const;
    std::uint64_t hash() const;

private:
    struct judged {
        move_judge judge_;
        std::uint32_t stage_ = 0;
        std::map<route_key, run_totals> at_stage_; // totals when the stage began
        std::string waiting_for_;
    };

    bool may_begin(const move_rule& rule, wall_time wall);
    judged& judged_of(const configuration& c, const move_rule& rule, const move_fact& fact);
    bool judge(const configuration& c, const move_rule& rule, move_fact& fact, wall_time wall);
    static std::optional<std::pair<std::uint64_t, std::uint64_t>> trial_seconds(const move_rule& rule,
                                                                                const move_fact& fact);
    // What the next stage waits for; empty if nothing.
    static std::string trial_hindrance(const move_fact& fact, wall_time wall);
    static void end_overdue_trial(const move_rule& rule, std::vector<move_fact>& all, wall_time wall);
    std::string hindrance(const move_rule& rule, const move_fact& fact, const judged& j,
                          wall_time wall) const;

    std::set<move_id> named_;
    std::set<std::pair<service_name, version_name>> abandoned_;
    std::map<move_id, move_fact> facts_;
    std::map<move_id, judged> judged_;
    std::set<service_name> read_;            // services whose facts the platform has told
    std::map<move_id, wall_time> new_since_; // moves that appeared while this daemon ran
    bool had_configuration_ = false;
};

} // namespace guavahaven::decide
