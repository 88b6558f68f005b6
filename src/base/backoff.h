#pragma once

// Exponential backoff with jitter. The jitter keeps many processes whose
// attempts failed at the same time from retrying at the same time.

#include <algorithm>

#include "base/clock.h"
#include "base/random.h"

namespace guavahaven {

class backoff {
public:
    // The range of the first wait ends at first; it doubles with each wait, up to max.
    backoff(duration first, duration max) : first_(first), max_(max), range_(first) {}

    // The wait before the next attempt, drawn from the upper half of the current range.
    duration next(random_engine& random)
    {
        const double fraction = 0.5 + random_share(random) / 2;
        const auto wait = static_cast<duration::rep>(static_cast<double>(range_.count()) * fraction);
        range_ = std::min(max_, 2 * range_);
        return duration(wait);
    }
    // After a success: the next wait is drawn from the first range again.
    void reset() { range_ = first_; }

private:
    duration first_;
    duration max_;
    duration range_;
};

} // namespace guavahaven
