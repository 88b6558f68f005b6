#pragma once

// When a started daemon may serve: once it has the highest configuration that
// it can learn of, or after a bounded wait.

#include "base/clock.h"

namespace guavahaven::decide {

class readiness {
public:
    explicit readiness(time_point started) : started_(started) {}

    // The platform answered a read of the configuration, or could not be reached.
    void platform_asked(bool answered) { (answered ? platform_answered_ : platform_silent_) = true; }
    // Other daemons are known, and were asked.
    void neighbours_asked() { neighbours_asked_ = true; }
    // One of them has sent all that it has above this daemon's.
    void neighbour_answered() { neighbour_answered_ = true; }

    // True from the moment on at which the daemon may serve.
    bool update(time_point now)
    {
        const bool neighbours_done =
            neighbour_answered_ || !neighbours_asked_ || now - started_ > neighbours_wait;
        const bool learnt =
            (platform_answered_ && neighbours_done) || (platform_silent_ && neighbour_answered_);
        ready_ = ready_ || learnt || now - started_ > longest_wait;
        return ready_;
    }
    bool ready() const { return ready_; }
    // True if neither the platform nor a neighbour has confirmed what the daemon serves by.
    bool unconfirmed() const { return !platform_answered_ && !neighbour_answered_; }

private:
    static constexpr duration neighbours_wait = std::chrono::milliseconds(1500);
    static constexpr duration longest_wait = std::chrono::seconds(5);

    time_point started_;
    bool platform_answered_ = false;
    bool platform_silent_ = false;
    bool neighbours_asked_ = false;
    bool neighbour_answered_ = false;
    bool ready_ = false;
};

} // namespace guavahaven::decide
