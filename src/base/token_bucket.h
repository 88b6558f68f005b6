#pragma once

// A token bucket: limits the rate of calls or log lines of one process, and
// thereby the load that all processes together put on the service they call.

#include <algorithm>

#include "base/clock.h"

namespace guavahaven {

class token_bucket {
public:
    // Allows per_second calls on average, and up to burst calls at once after a
    // time without calls.
    token_bucket(double per_second, double burst) : per_second_(per_second), burst_(burst), tokens_(burst) {}

    // Uses one token; false if none is left.
    bool try_acquire(time_point now)
    {
        const double elapsed = std::chrono::duration<double>(now - refilled_).count();
        tokens_ = std::min(burst_, tokens_ + std::max(0.0, elapsed) * per_second_);
        refilled_ = now;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double per_second_;
    double burst_;
    double tokens_;
    time_point refilled_{};
};

} // namespace guavahaven
