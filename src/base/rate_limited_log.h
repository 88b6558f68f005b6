#pragma once

// Log lines about single requests: so many a second at most, so that a busy
// daemon spends no more on them than on its calls. What is left out is counted
// in the next line.

#include <cstdint>
#include <string>

#include "base/token_bucket.h"

namespace guavahaven {

// Lines a second of calls that go well: two for each of the 52 that a daemon gets
// at the planned size (62,000 calls a second, 1,200 daemons), and as much again.
inline constexpr double served_lines_per_second = 200;
// Of calls that are refused or fail: an overload has many of one cause.
inline constexpr double failed_lines_per_second = 100;

class paced_log {
public:
    paced_log(std::string source, double lines_per_second)
        : source_(std::move(source)), budget_(lines_per_second, lines_per_second)
    {
    }

    // True if a line may be written now; 'write' follows. A line that may not is counted.
    bool take(time_point now);
    void write(const std::string& event, std::string detail);

private:
    std::string source_;
    call_budget budget_;
    std::uint64_t left_out_ = 0;
};

} // namespace guavahaven
