#pragma once

// A token bucket: bounds the calls of one process, and with it those of a fleet.

#include <algorithm>

#include "base/clock.h"

namespace guavahaven {

class call_budget {
public:
    // Calls per second on average, and at once after a quiet time.
    call_budget(double per_second, double at_once)
        : per_second_(per_second), at_once_(at_once), tokens_(at_once)
    {
    }

    // Takes a call out of the budget; false if it is spent.
    bool take(time_point now)
    {
        const double passed = std::chrono::duration<double>(now - filled_).count();
        tokens_ = std::min(at_once_, tokens_ + std::max(0.0, passed) * per_second_);
        filled_ = now;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double per_second_;
    double at_once_;
    double tokens_;
    time_point filled_{};
};

} // namespace guavahaven
