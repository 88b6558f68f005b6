#pragma once

// How late a message from another daemon is, without clocks that agree: by how
// much longer it was on its way than the quickest one so far. A cut link or a
// machine that stood still delivers calls long after their callers have gone.

#include <map>

#include "base/clock.h"
#include "decide/identifiers.h"

namespace guavahaven::peer {

class transit_times {
public:
    // For a message that left at 'sent' by the sender's clock and came at 'came'
    // by this one's; clocks that go on while a machine is suspended. Zero for
    // the first message of a process.
    duration lateness(const daemon_name& from, incarnation process, duration sent, duration came);

private:
    struct quickest {
        incarnation process_;
        duration took_{}; // by two clocks, so that only differences mean something
    };

    std::map<daemon_name, quickest> quickest_;
};

} // namespace guavahaven::peer
