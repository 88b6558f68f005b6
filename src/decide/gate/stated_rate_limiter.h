#pragma once

// Keeps to the limit that the backend server itself states in its answers: the requests a second that it
// takes. The gate beside it is the only way in, so what it starts is what all entries send together.

#include <algorithm>
#include <optional>

#include "base/clock.h"

namespace guavahaven::decide {

class stated_rate_limiter {
public:
    // What the last answer stated, in requests a second; empty if it stated nothing.
    void set_rate(std::optional<double> per_second, time_point now)
    {
        refill(now);
        rate_ = per_second ? std::optional(std::max(min_rate, *per_second)) : std::nullopt;
        tokens_ = std::min(tokens_, burst());
    }
    std::optional<double> rate() const { return rate_; }

    // True if one more request may start now.
    bool admits(time_point now) const { return !rate_ || refilled_tokens(now) >= 1; }
    void record_start(time_point now)
    {
        refill(now);
        tokens_ = std::max(0.0, tokens_ - 1);
    }

private:
    // Some requests must start for an answer to state another limit.
    static constexpr double min_rate = 0.5;
    static constexpr double burst_seconds = 0.25; // that may be started at once after a time without starts

    double burst() const { return rate_ ? std::max(1.0, *rate_ * burst_seconds) : 1.0; }
    double refilled_tokens(time_point now) const
    {
        const double elapsed = std::max(0.0, std::chrono::duration<double>(now - refilled_).count());
        return std::min(burst(), tokens_ + elapsed * rate_.value_or(0));
    }
    void refill(time_point now)
    {
        tokens_ = refilled_tokens(now);
        refilled_ = now;
    }

    std::optional<double> rate_;
    double tokens_ = 1;
    time_point refilled_{};
};

} // namespace guavahaven::decide
