#pragma once

// When the first configuration of a mesh comes into force, and which daemons started before that. A daemon
// that did has missed no request: nothing was served anywhere before it started.
//
// The moment is the same for all daemons, and each compares it with its own clock. The time that the author
// wrote only sets it; whether the author's clock is right decides how soon the mesh serves, not whether a
// daemon is mistaken for one that missed nothing.

#include "decide/configuration.h"

namespace guavahaven::decide {

inline constexpr configuration_number first_configuration{1};

// After the first configuration was written it comes into force. Below the 3 s in which every change has to
// be in force everywhere.
inline constexpr duration first_configuration_delay = std::chrono::seconds(2);
// Daemons' clocks may differ by this much.
inline constexpr duration max_clock_difference = std::chrono::seconds(1);
// A configuration of this age or more, by a daemon's clock, is held back no longer: clocks that are ahead by
// less than the rest of this time make no daemon serve too early.
inline constexpr duration recently_written = std::chrono::seconds(10);
static_assert(max_clock_difference < first_configuration_delay);

inline wall_time written_at(std::uint64_t microseconds)
{
    return wall_time(duration(microseconds));
}

// True if a daemon that has no configuration in force yet must not serve by this one. A clock that is ahead
// does not make it serve too early: of a configuration that is recent by that clock, it must have known one
// for the whole delay. A later configuration than the first is held back only so long, since the first one is
// older than that.
inline bool held_back(const configuration_record& record, wall_time now, duration since_first_known)
{
    if (record.written_at_ == 0) // not known
        return false;
    const duration age = now - written_at(record.written_at_);
    if (record.number_ == first_configuration && age < first_configuration_delay)
        return true;
    return age < recently_written && since_first_known < first_configuration_delay;
}

// True if no daemon can have served a request before the one with this incarnation started. 'c' is in force
// at it.
inline bool started_before_first_request(incarnation started, const configuration& c)
{
    if (c.number_ != first_configuration || c.written_at_ == 0)
        return false;
    const wall_time in_force = written_at(c.written_at_) + first_configuration_delay;
    return written_at(started.value()) + max_clock_difference < in_force;
}

} // namespace guavahaven::decide
