#pragma once

// What a gate counts of the runs of a version under a move: the evidence by
// which the move is judged. Refused, shed and waiting requests are never
// counted, so that an overload blames no version; time in the gate's queue
// isn't either.

#include <array>
#include <map>
#include <vector>

#include "decide/call.h"
#include "decide/configuration.h"
#include "decide/gate/concurrency_limit.h"
#include "decide/gossip.h"

namespace guavahaven::decide {

// Runs longer than these parts of slow_basis() are counted as slower.
inline constexpr std::array slow_levels{0.125, 0.25, 0.5, 1.0};

// Time that the slow levels of a class refer to: its deadline, within bounds.
duration slow_basis(const class_rule& rule);

class evidence_book {
public:
    // A run began for a call; counted if the configuration moves its service.
    void run_started(run_id run, const call& c, const configuration& rules, time_point now);
    // The answer's first part; 'complete' if nothing follows.
    void run_answered(run_id run, int status, bool complete, time_point now);
    void run_completed(run_id run, time_point now);
    // Ended without an answer because nobody waited any more.
    void run_cancelled(run_id run, time_point now);
    // Ended without a whole answer.
    void run_broken(run_id run, time_point now);
    // Never reached the backend server.
    void run_dropped(run_id run);

    // What the gate itself knows beside the runs.
    struct gate_state {
        service_name service_;
        version_name version_;
        load_report load_;
        friend bool operator==(const gate_state&, const gate_state&) = default;
    };
    // Cumulative counts of the moves that the configuration names; one item at
    // least if the gate's own service is moved, so that silence isn't taken for
    // zeros. The gate's name, incarnation and data centre and the second are
    // left to the caller.
    std::vector<evidence> collect(const configuration& rules, const gate_state& state, time_point now);

private:
    struct place {
        move_id move_;
        version_name version_;
        std::string route_;
        class_name class_;
        friend auto operator<=>(const place&, const place&) = default;
    };
    struct open_run {
        place place_;
        time_point began_;
        duration allowed_{}; // until the gate gives it up
        duration basis_{};   // of the slow levels
        std::uint64_t fingerprint_ = 0;
        int status_ = 0;
    };
    struct counts {
        std::uint64_t ran_ = 0;
        std::uint64_t failed_ = 0;
        std::array<std::uint64_t, slow_levels.size()> slower_{};
    };
    using version_key = std::pair<move_id, version_name>;

    void count(const open_run& r, bool failed, time_point now);
    void end(run_id run, bool failed, time_point now);
    void count_overdue(time_point now);
    void add_busy(time_point now);

    std::map<run_id, open_run> open_;
    std::map<place, counts> counts_;
    std::map<version_key, std::vector<std::uint64_t>> deaths_;
    duration busy_{}; // run time since the last collection
    time_point busy_until_{};
};

} // namespace guavahaven::decide
