#pragma once

// Collects a gate's statistics of the backend server's version while a move (progressive rollout) of its
// service is under way; the daemons that judge the move compare versions by them. Refused, shed and
// queued requests and time in the gate's queue are left out, so that an overload isn't blamed on a version.

#include <array>
#include <map>
#include <vector>

#include "decide/call.h"
#include "decide/configuration.h"
#include "decide/gate/concurrency_limit.h"
#include "decide/gossip.h"

namespace guavahaven::decide {

// Fractions of slow_reference_time(): for each, the runs that took longer are counted.
inline constexpr std::array slow_levels{0.125, 0.25, 0.5, 1.0};

// The time that slow_levels are fractions of: the deadline of the class, 4 s at most.
duration slow_reference_time(const class_rule& rule);

class version_stats_collector {
public:
    // The backend server was sent a call. Ignored if the configuration has no move of the call's service.
    void run_started(run_id run, const call& c, const configuration& rules, time_point now);
    // The first part of the answer arrived; 'complete' if nothing follows.
    void run_answered(run_id run, int status, bool complete, time_point now);
    // The last part of the answer arrived.
    void run_completed(run_id run, time_point now);
    // The gate ended the run before its answer was complete, since no caller waited for it any more.
    void run_cancelled(run_id run, time_point now);
    // The backend server broke off the run before its answer was complete.
    void run_broken(run_id run, time_point now);
    // The run never reached the backend server, or is not to be counted.
    void run_dropped(run_id run);

    // The gate's own backend server and load.
    struct gate_state {
        service_name service_;
        version_name version_;
        load_report load_;
        friend bool operator==(const gate_state&, const gate_state&) = default;
    };
    // Returns the cumulative counts of each move in the configuration, and forgets other moves. If the
    // configuration moves the gate's own service there is always an item, so that the judges can tell
    // a gate without runs from one whose report is missing. The caller fills in the gate's name,
    // incarnation and data centre, and the second.
    std::vector<version_stats> collect(const configuration& rules, const gate_state& state, time_point now);

private:
    struct run_key {
        move_id move_;
        version_name version_;
        std::string route_;
        class_name class_;
        friend auto operator<=>(const run_key&, const run_key&) = default;
    };
    struct open_run {
        run_key key_;
        time_point began_;
        duration time_limit_{}; // after which the gate ends the run
        duration slow_reference_{};
        std::uint64_t fingerprint_ = 0;
        int status_ = 0;
    };
    // Cumulative counts of runs.
    struct counts {
        std::uint64_t ran_ = 0;
        std::uint64_t failed_ = 0;
        std::array<std::uint64_t, slow_levels.size()> slower_than_level_{};
    };
    using version_key = std::pair<move_id, version_name>;

    void count(const open_run& r, bool failed, time_point now);
    void end(run_id run, bool failed, time_point now);
    void count_overdue(time_point now);
    void count_run_time(time_point now);

    std::map<run_id, open_run> open_;
    std::map<run_key, counts> counts_;
    std::map<version_key, std::vector<std::uint64_t>> crashes_by_version_;
    duration run_time_{}; // of all runs since the last collection; two runs of 1 s at once give 2 s
    time_point run_time_counted_until_{};
};

} // namespace guavahaven::decide
