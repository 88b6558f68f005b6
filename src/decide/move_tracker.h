#pragma once

// Moves between backend server versions: evidence is joined, and from rule,
// evidence and time come facts that only grow. No leader decides: any daemon
// that holds the evidence may state a fact, and all facts are merged.

#include <map>
#include <tuple>
#include <vector>

#include "decide/gossip.h"

namespace guavahaven::decide {

class move_tracker {
public:
    // Facts of moves that the configuration no longer names are dropped.
    void set_configuration(const configuration& c);

    // Joins facts; returns those that changed here.
    std::vector<move_fact> merge(const std::vector<move_fact>& heard);
    void merge(const std::vector<evidence>& heard);

    // Advances or withdraws moves by the evidence; returns the changed facts.
    std::vector<move_fact> tick(const configuration& c, wall_time wall, time_point now);

    std::vector<move_fact> facts() const;
    std::vector<evidence> known_evidence() const;
    std::uint64_t hash() const;

private:
    using evidence_key = std::tuple<move_id, daemon_name, version_name, std::string, class_name>;
    struct totals {
        std::uint64_t answered_ = 0;
        std::uint64_t failed_ = 0;
    };

    bool judge(const move_rule& rule, move_fact& fact, wall_time wall, time_point now);
    totals total(move_id id, const version_name& version, bool of_version) const;

    std::map<move_id, move_fact> facts_;
    std::map<move_id, time_point> stage_began_;
    std::map<move_id, totals> seen_at_stage_; // of the new version
    std::map<evidence_key, evidence> evidence_;
};

} // namespace guavahaven::decide
