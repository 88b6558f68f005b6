#pragma once

// Waits between tries: each is drawn from a range that doubles up to a cap, so
// that many processes that failed at once don't come back at once.

#include <algorithm>

#include "base/clock.h"
#include "base/random.h"

namespace guavahaven {

class backoff {
public:
    backoff(duration first, duration most) : first_(first), most_(most), range_(first) {}

    // From half of the range to the whole of it.
    duration next(random_engine& random)
    {
        const double share = 0.5 + random_share(random) / 2;
        const auto wait = static_cast<duration::rep>(static_cast<double>(range_.count()) * share);
        range_ = std::min(most_, 2 * range_);
        return duration(wait);
    }
    void reset() { range_ = first_; }

private:
    duration first_;
    duration most_;
    duration range_;
};

} // namespace guavahaven
