#pragma once

// The clock of the runtime. Decisions never read it: they are handed the time.
// Tasks read it through runtime_clock, which tests pause and advance.

#include <chrono>
#include <variant>

namespace guavahaven {

using duration = std::chrono::microseconds;

// Time since an arbitrary start, never going back; one per process.
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
    // Since the machine's start; unlike now() it goes on while the machine is suspended.
    duration boot() const;

    // Moves a paused clock; has no effect on the real one.
    void advance(duration by);

private:
    std::variant<system_clocks, paused_clocks> source_;
};

} // namespace guavahaven
