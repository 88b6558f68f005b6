#pragma once

// Decides when a started daemon may serve: once it can be expected to have the newest configuration, that
// is, once the platform and another daemon have answered. It does not wait for a daemon if none is known or
// none answers within 1.5 s, nor for a platform that can't be reached, and never longer than 5 s.

#include "base/clock.h"

namespace guavahaven::decide {

class readiness {
public:
    explicit readiness(time_point started) : started_(started) {}

    // The platform answered a read of the configuration, or did not.
    void record_platform_read(bool answered)
    {
        (answered ? platform_answered_ : platform_unreachable_) = true;
    }
    // Other daemons are known and were sent a digest.
    void record_neighbours_queried() { neighbours_asked_ = true; }
    // One of them has answered, and by then sent any newer configuration that it has.
    void record_neighbour_answer() { neighbour_answered_ = true; }

    // True if the daemon may serve; once true, it stays true.
    bool update(time_point now)
    {
        const bool neighbours_done =
            neighbour_answered_ || !neighbours_asked_ || now - started_ > neighbour_answer_timeout;
        const bool confirmed =
            (platform_answered_ && neighbours_done) || (platform_unreachable_ && neighbour_answered_);
        ready_ = ready_ || confirmed || now - started_ > max_start_delay;
        return ready_;
    }
    bool ready() const { return ready_; }
    // True if neither the platform nor another daemon has answered, so that the configuration may be
    // outdated.
    bool unconfirmed() const { return !platform_answered_ && !neighbour_answered_; }

private:
    static constexpr duration neighbour_answer_timeout = std::chrono::milliseconds(1500);
    static constexpr duration max_start_delay = std::chrono::seconds(5);

    time_point started_;
    bool platform_answered_ = false;
    bool platform_unreachable_ = false;
    bool neighbours_asked_ = false;
    bool neighbour_answered_ = false;
    bool ready_ = false;
};

} // namespace guavahaven::decide
