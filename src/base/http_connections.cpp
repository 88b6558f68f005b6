#include "base/http_connections.h"

#include <sys/socket.h>

#include <algorithm>

#include "base/http_server.h"

namespace guavahaven::http {

namespace {

constexpr duration sweep_interval = std::chrono::milliseconds(250);

} // namespace

bool connections::connection::busy() const
{
    const auto e = exchange_.lock();
    return e && e->open();
}

// A stream that evhttp has let go of has no callbacks any more.
bool connections::connection::gone() const
{
    bufferevent_data_cb read = nullptr;
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb event = nullptr;
    bufferevent_getcb(stream_, &read, &write, &event, nullptr);
    return !read && !write && !event;
}

connections::connections(event_loop& loop, const server_limits& limits)
    : loop_(loop), limits_(limits), timer_(loop, [this] { sweep(); })
{
}

connections::~connections()
{
    for (const connection& c : all_) {
        evbuffer_remove_cb_entry(bufferevent_get_input(c.stream_), c.counter_);
        bufferevent_decref(c.stream_);
    }
}

// A reference is kept, so that the stream can still be looked at after evhttp
// has closed it; evhttp closes the socket itself.
bufferevent* connections::open(event_base* base)
{
    bufferevent* stream = bufferevent_socket_new(base, -1, 0);
    bufferevent_incref(stream);
    connection& c = all_.emplace_back(connection{*this, stream, nullptr, 0, clock_.now(), {}, false});
    c.counter_ = evbuffer_add_cb(bufferevent_get_input(stream), &connections::grown, &c);
    if (all_.size() == 1)
        timer_.arm(sweep_interval);
    if (all_.size() > limits_.connections_)
        timer_.arm(duration::zero());
    return stream;
}

void connections::grown(evbuffer*, const evbuffer_cb_info* info, void* at)
{
    auto& c = *static_cast<connection*>(at);
    connections& owner = c.owner_;
    if (info->n_added == 0)
        return;
    if (c.bytes_ == 0)
        c.since_ = owner.clock_.now();
    c.bytes_ += info->n_added;
    owner.bytes_ += info->n_added;
    if (owner.bytes_ > owner.limits_.unfinished_bytes_)
        owner.timer_.arm(duration::zero());
}

void connections::arrived(bufferevent* stream, const std::shared_ptr<exchange>& e)
{
    const auto at =
        std::find_if(all_.begin(), all_.end(), [stream](const connection& c) { return c.stream_ == stream; });
    if (at == all_.end())
        return;
    bytes_ -= std::exchange(at->bytes_, 0);
    at->since_ = clock_.now();
    at->exchange_ = e;
}

bool connections::quiet() const
{
    return std::none_of(all_.begin(), all_.end(), [](const connection& c) {
        return !c.gone() && (c.busy() || evbuffer_get_length(bufferevent_get_output(c.stream_)) > 0);
    });
}

void connections::sweep()
{
    release_gone();
    drop_deserted();
    close_late();
    close_surplus();
    if (!all_.empty())
        timer_.arm(sweep_interval);
}

void connections::release_gone()
{
    for (auto at = all_.begin(); at != all_.end();) {
        if (!at->gone()) {
            ++at;
            continue;
        }
        bytes_ -= at->bytes_;
        evbuffer_remove_cb_entry(bufferevent_get_input(at->stream_), at->counter_);
        bufferevent_decref(at->stream_);
        at = all_.erase(at);
    }
}

// evhttp reads nothing while a request is being answered, so it would notice a
// caller that has closed only when it writes the answer.
void connections::drop_deserted()
{
    for (const connection& c : all_) {
        char byte = 0;
        if (!c.busy() || recv(bufferevent_getfd(c.stream_), &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
            continue;
        if (const auto e = c.exchange_.lock())
            e->drop();
    }
}

void connections::close_late()
{
    const time_point now = clock_.now();
    for (connection& c : all_)
        if (c.bytes_ > 0 && !c.busy() && now - c.since_ > limits_.arrival_)
            close(c);
}

std::size_t connections::live() const
{
    return static_cast<std::size_t>(
        std::count_if(all_.begin(), all_.end(), [](const connection& c) { return !c.closing_; }));
}

// The idle go first, the one that has waited longest before the others; then the newest.
void connections::close_surplus()
{
    std::size_t open = live();
    while (open > limits_.connections_ || bytes_ > limits_.unfinished_bytes_) {
        connection* worst = nullptr;
        for (connection& c : all_)
            if (!c.closing_ && !c.busy() && (!worst || c.since_ < worst->since_))
                worst = &c;
        for (auto at = all_.rbegin(); !worst && at != all_.rend(); ++at)
            if (!at->closing_)
                worst = &*at;
        if (!worst)
            return;
        close(*worst);
        --open;
    }
}

// evhttp sees the end of the connection and frees it.
void connections::close(connection& c)
{
    c.closing_ = true;
    bytes_ -= std::exchange(c.bytes_, 0);
    shutdown(bufferevent_getfd(c.stream_), SHUT_RDWR);
}

} // namespace guavahaven::http
