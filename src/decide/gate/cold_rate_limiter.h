#pragma once

// Requests that a backend server gets while it is cold, where it says itself
// how long that lasts: so many in any second, whatever their length.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock.h"

namespace guavahaven::decide {

class cold_pace {
public:
    // The backend server has said how much longer it is cold.
    void stated(duration left, time_point now)
    {
        until_ = left > duration::zero() ? now + left + lateness : now;
        assumed_.reset();
    }
    // Another process may have sent requests up to this moment.
    void follow_another(time_point until) { closed_until_ = until + window; }
    // It may be cold, until it says otherwise.
    void assume(time_point now) { assumed_ = now; }
    // A request that began at that time was answered: it has not restarted since.
    void answered(time_point began)
    {
        if (assumed_ && began > *assumed_)
            assumed_.reset();
    }

    // How long nothing may begin because of that.
    duration closed_for(time_point now) const
    {
        return cold(now) ? std::max(duration::zero(), closed_until_ - now) : duration::zero();
    }

    bool cold(time_point now) const { return assumed_ || now < until_; }

    // True if one more request may begin.
    bool admits(std::uint32_t per_second, time_point now) const
    {
        const auto recent =
            std::count_if(begun_.begin(), begun_.end(), [now](time_point t) { return now - t < window; });
        return !cold(now) || (now >= closed_until_ && recent < static_cast<std::ptrdiff_t>(per_second));
    }
    void began(time_point now)
    {
        begun_.push_back(now);
        while (now - begun_.front() >= window)
            begun_.pop_front();
    }

private:
    static constexpr duration window = std::chrono::milliseconds(1100); // a second, and what sending may take
    static constexpr duration lateness = std::chrono::milliseconds(200); // of an announcement

    time_point until_{};
    time_point closed_until_{};
    std::optional<time_point> assumed_;
    std::deque<time_point> begun_;
};

} // namespace guavahaven::decide
