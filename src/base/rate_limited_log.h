#pragma once

// Log lines about single requests, limited to a number per second, so that a busy
// daemon doesn't spend more on logging than on its calls. The next line that is
// written carries the number of lines left out before it.

#include <cstdint>
#include <string>

#include "base/token_bucket.h"

namespace guavahaven {

// Lines per second about calls that succeed: two for each of the 52 calls per second
// that a daemon gets at the planned size (62,000 calls per second, 1,200 daemons),
// doubled as headroom.
inline constexpr double max_served_lines_per_second = 200;
// Lines per second about calls that are refused or fail. Fewer, since an overload
// produces many lines with the same cause.
inline constexpr double max_failed_lines_per_second = 100;

class rate_limited_log {
public:
    rate_limited_log(std::string source, double lines_per_second)
        : source_(std::move(source)), limit_(lines_per_second, lines_per_second)
    {
    }

    // True if a line may be written now with write(). Otherwise the line counts as left out.
    bool try_acquire(time_point now);
    void write(const std::string& event, std::string detail);

private:
    std::string source_;
    token_bucket limit_;
    std::uint64_t left_out_ = 0;
};

} // namespace guavahaven
