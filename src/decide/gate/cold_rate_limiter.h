#pragma once

// Limits the rate of requests to a backend server while it is cold (just started, so slow), where the server
// itself announces how long that lasts. Counts the starts within a sliding window, however long the requests
// run.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"

namespace guavahaven::decide {

class cold_rate_limiter {
public:
    // The backend server announced how much longer it is cold; zero if it is warm.
    void set_cold_left(duration left, time_point now)
    {
        cold_until_ = left > duration::zero() ? now + left + announcement_margin : now;
        stop_assuming();
    }
    // Another process may have sent requests up to this moment: blocks starts for a full window after it.
    void block_after(time_point until) { blocked_until_ = until + rate_window; }
    // Treats it as cold until its next announcement, or until answered() shows that it has not restarted.
    // Requests before the first such moment don't count: a process that has restarted didn't get them.
    void assume_cold(time_point now)
    {
        assumed_since_ = now;
        if (!first_assumed_)
            first_assumed_ = now;
    }
    // A request that began at that time was answered, so it has not restarted since.
    void answered(time_point record_start)
    {
        if (assumed_since_ && record_start > *assumed_since_)
            stop_assuming();
    }

    // Time until the block by block_after() ends; zero if nothing is blocked.
    duration blocked_for(time_point now) const
    {
        return cold(now) ? std::max(duration::zero(), blocked_until_ - now) : duration::zero();
    }

    bool cold(time_point now) const { return assumed_since_ || now < cold_until_; }

    // True if one more request may start now, at this rate.
    bool admits(std::uint32_t per_second, time_point now) const
    {
        const bool announced = now < cold_until_;
        const time_point from = announced || !first_assumed_ ? time_point::min() : *first_assumed_;
        const auto recent = std::count_if(starts_.begin(), starts_.end(),
                                          [&](time_point t) { return now - t < rate_window && t >= from; });
        return !cold(now) || (now >= blocked_until_ && recent < static_cast<std::ptrdiff_t>(per_second));
    }
    void record_start(time_point now)
    {
        starts_.push_back(now);
        while (now - starts_.front() >= rate_window)
            starts_.pop_front();
    }

private:
    static constexpr duration rate_window =
        std::chrono::milliseconds(1100); // a second, plus the time that sending may take
    static constexpr duration announcement_margin =
        std::chrono::milliseconds(200); // an announcement may arrive late by this

    void stop_assuming()
    {
        assumed_since_.reset();
        first_assumed_.reset();
    }

    time_point cold_until_{};
    time_point blocked_until_{};
    std::optional<time_point> assumed_since_; // the last time
    std::optional<time_point> first_assumed_; // since it was last known to be warm or cold
    std::deque<time_point> starts_;
};

} // namespace guavahaven::decide
