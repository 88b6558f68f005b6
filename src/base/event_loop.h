#pragma once

// The libevent loop of a process, and its timers. One loop runs all tasks of the
// process on one thread.

#include <event2/event.h>

#include <functional>
#include <memory>

#include "base/clock.h"

namespace guavahaven {

struct event_base_deleter {
    void operator()(event_base* b) const { event_base_free(b); }
};
struct event_deleter {
    void operator()(event* e) const { event_free(e); }
};

class event_loop {
public:
    event_loop();

    event_base* base() const { return base_.get(); }

    // Runs until stop() is called.
    void run();
    void stop();

    // Calls handler when the process gets SIGTERM or SIGINT.
    void on_stop_signal(std::function<void()> handler);

    // Calls handler when the process gets SIGHUP.
    void on_reload_signal(std::function<void()> handler);

private:
    std::unique_ptr<event_base, event_base_deleter> base_;
    std::unique_ptr<event, event_deleter> reload_;
    std::function<void()> on_reload_;
    std::unique_ptr<event, event_deleter> terminate_;
    std::unique_ptr<event, event_deleter> interrupt_;
    std::function<void()> on_stop_;
};

// A one-shot timer that can be armed again; its handler runs on the loop.
class timer {
public:
    timer(event_loop& loop, std::function<void()> handler);

    // Arms or re-arms the timer; with a delay of zero or less it fires in the
    // next iteration of the loop.
    void arm(duration delay);
    void cancel();

private:
    std::function<void()> handler_;
    std::unique_ptr<event, event_deleter> event_;
};

} // namespace guavahaven
