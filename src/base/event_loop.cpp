#include "base/event_loop.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace guavahaven {

namespace {

void call_handler(evutil_socket_t, short, void* handler)
{
    (*static_cast<std::function<void()>*>(handler))();
}

} // namespace

event_loop::event_loop() : base_(event_base_new())
{
    // Writing to a connection that the peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Nor must a SIGHUP (reload) that arrives before on_reload_signal() is called.
    std::signal(SIGHUP, SIG_IGN);
}

void event_loop::run()
{
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    event_base_loopbreak(base_.get());
}

void event_loop::on_stop_signal(std::function<void()> handler)
{
    on_stop_ = std::move(handler);
    terminate_.reset(evsignal_new(base_.get(), SIGTERM, call_handler, &on_stop_));
    interrupt_.reset(evsignal_new(base_.get(), SIGINT, call_handler, &on_stop_));
    event_add(terminate_.get(), nullptr);
    event_add(interrupt_.get(), nullptr);
}

void event_loop::on_reload_signal(std::function<void()> handler)
{
    on_reload_ = std::move(handler);
    reload_.reset(evsignal_new(base_.get(), SIGHUP, call_handler, &on_reload_));
    event_add(reload_.get(), nullptr);
}

timer::timer(event_loop& loop, std::function<void()> handler)
    : handler_(std::move(handler)), event_(event_new(loop.base(), -1, 0, call_handler, &handler_))
{
}

void timer::arm(duration delay)
{
    constexpr long long microseconds_per_second = 1'000'000;
    const long long wait = std::max<long long>(delay.count(), 0);
    const timeval when{static_cast<time_t>(wait / microseconds_per_second),
                       static_cast<suseconds_t>(wait % microseconds_per_second)};
    event_add(event_.get(), &when);
}

void timer::cancel()
{
    event_del(event_.get());
}

} // namespace guavahaven
