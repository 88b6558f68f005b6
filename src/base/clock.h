#pragma once

// Time types and the clock of a process. The decision code (src/decide) reads no
// clock: it gets the time as an argument. The other code reads a runtime_clock,
// which tests can pause and advance.

#include <chrono>
#include <variant>

namespace guavahaven {

using duration = std::chrono::microseconds;

// Time since an arbitrary start; never goes back. Comparable only within one process.
struct monotonic {
    using duration = guavahaven::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic>;
    static constexpr bool is_steady = true;
};
using time_point = monotonic::time_point;

// Calendar time in UTC, used only for deadlines that operators write.
using wall_time = std::chrono::sys_time<duration>;

// The real clocks of the machine.
struct system_clocks {
    static time_point now();
    static wall_time wall();
    static duration boot();
};

// Clocks that stand still until a test advances them.
struct paused_clocks {
    time_point now_{};
    wall_time wall_{};
};

class runtime_clock {
public:
    runtime_clock() = default;
    explicit runtime_clock(paused_clocks start) : source_(start) {}

    time_point now() const;
    wall_time wall() const;
    // Time since the machine booted. Unlike now(), it goes on while the machine is suspended.
    duration boot() const;

    // Advances a paused clock; has no effect on the real clocks.
    void advance(duration by);

private:
    std::variant<system_clocks, paused_clocks> source_;
};

} // namespace guavahaven
