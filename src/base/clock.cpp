#include "base/clock.h"

#include <ctime>

#include "base/result.h"

namespace guavahaven {

time_point system_clocks::now()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(since));
}

wall_time system_clocks::wall()
{
    return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

duration system_clocks::boot()
{
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return std::chrono::duration_cast<duration>(std::chrono::seconds(t.tv_sec) +
                                                std::chrono::nanoseconds(t.tv_nsec));
}

time_point runtime_clock::now() const
{
    return std::visit(overloaded{
                          [](const system_clocks&) { return system_clocks::now(); },
                          [](const paused_clocks& p) { return p.now_; },
                      },
                      source_);
}

wall_time runtime_clock::wall() const
{
    return std::visit(overloaded{
                          [](const system_clocks&) { return system_clocks::wall(); },
                          [](const paused_clocks& p) { return p.wall_; },
                      },
                      source_);
}

duration runtime_clock::boot() const
{
    return std::visit(overloaded{
                          [](const system_clocks&) { return system_clocks::boot(); },
                          [](const paused_clocks& p) { return p.now_.time_since_epoch(); },
                      },
                      source_);
}

void runtime_clock::advance(duration by)
{
    if (auto* paused = std::get_if<paused_clocks>(&source_)) {
        paused->now_ += by;
        paused->wall_ += by;
    }
}

} // namespace guavahaven
