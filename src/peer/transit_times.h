#pragma once

// Estimates by how much a message from another daemon was delayed, although the clocks
// of two machines differ: by how much its transit took longer than the fastest one so
// far from that daemon. After a network interruption or a suspended machine, calls can
// arrive long after their callers have given up.

#include <map>

#include "base/clock.h"
#include "decide/identifiers.h"

namespace guavahaven::peer {

class transit_times {
public:
    // The delay of a message that was sent at 'sent' by the sender's clock and arrived
    // at 'arrived' by the receiver's. Both clocks must go on while a machine is
    // suspended (runtime_clock::boot()). Zero for the first message of a process.
    duration lateness(const daemon_name& from, incarnation process, duration sent, duration arrived);

private:
    struct fastest_transit {
        incarnation process_;
        duration transit_{}; // difference of two clocks: only differences between such values mean something
    };

    std::map<daemon_name, fastest_transit> fastest_;
};

} // namespace guavahaven::peer
