#pragma once

// Which daemons have fallen silent: a daemon that nothing was heard of is
// probed, directly and through others; only if no answer comes is it suspected.

#include <map>
#include <vector>

#include "base/clock.h"
#include "decide/identifiers.h"

namespace guavahaven::decide {

struct detector_step {
    std::vector<daemon_name> probe_;   // to be probed now
    std::vector<daemon_name> suspect_; // their probes were not answered

    friend bool operator==(const detector_step&, const detector_step&) = default;
};

class failure_detector {
public:
    // Something came from a daemon, directly or by a probe through another.
    void heard_from(const daemon_name& name, time_point now);
    // A daemon that counts this one among its neighbours: it is watched while
    // it says so, so that each daemon is watched by several.
    void chosen_by(const daemon_name& name, time_point now);
    void no_longer_chosen_by(const daemon_name& name, time_point now);
    // A daemon to be probed at once.
    void doubt(const daemon_name& name, time_point now);

    detector_step tick(const std::vector<daemon_name>& neighbours, time_point now);
    // This process stood still: silence is counted anew.
    void resume(time_point now);

private:
    struct watched {
        time_point heard_;
        time_point until_; // watched on account of its choice
        time_point probed_;
        bool probing_ = false;
        bool neighbour_ = false;
    };

    std::map<daemon_name, watched> watched_;
};

} // namespace guavahaven::decide
