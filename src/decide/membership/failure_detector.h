#pragma once

// Failure detector in the manner of SWIM: a watched daemon that has sent nothing for a while is probed,
// directly and through others, and is reported as suspect only if no answer comes. The caller sends the
// probes.

#include <map>
#include <vector>

#include "base/clock.h"
#include "decide/identifiers.h"

namespace guavahaven::decide {

// What the caller has to do after a tick.
struct detector_step {
    std::vector<daemon_name> probe_;   // to be probed now
    std::vector<daemon_name> suspect_; // did not answer their probes; no longer watched

    friend bool operator==(const detector_step&, const detector_step&) = default;
};

class failure_detector {
public:
    // A message of this daemon arrived, directly or as the answer to a probe through another one.
    void record_contact(const daemon_name& name, time_point now);
    // Watches a daemon that has this one among its neighbours: called for each of its digests, which are its
    // heartbeat too. So each daemon is watched by its neighbours as well.
    void start_watching(const daemon_name& name, time_point now);
    // The daemon has other neighbours now and its digests end, which is no failure.
    void stop_watching(const daemon_name& name, time_point now);
    // Watches a daemon from which nothing has come: it is probed at the next tick, if it isn't watched
    // already.
    void request_probe(const daemon_name& name, time_point now);

    // Watches these neighbours and the daemons named above.
    detector_step tick(const std::vector<daemon_name>& neighbours, time_point now);
    // This process was paused: pending probes are dropped and all silences start anew.
    void resume(time_point now);

private:
    struct watched {
        time_point last_contact_;
        time_point watched_until_; // unless it is a neighbour
        time_point probe_sent_;
        bool probe_pending_ = false;
        bool neighbour_ = false;
    };

    std::map<daemon_name, watched> watched_;
};

} // namespace guavahaven::decide
