#include "base/http_connection.h"

#include <sys/socket.h>

#include "base/sockets.h"

namespace guavahaven::http {

namespace {

constexpr std::size_t turns_most = 32;         // requests sent ahead
constexpr std::size_t ahead_most = 256 * 1024; // bytes read beyond the requests at work

// Requests that are sent ahead of an answer run at once only if running them
// again does no harm: a close of the connection makes callers send them again.
bool safe(const std::string& method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

} // namespace

server_connection::server_connection(server& owner, evutil_socket_t fd)
    : owner_(owner), stream_(bufferevent_socket_new(owner.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE)),
      reader_(message_reader::kind::request, owner.limits_.message_), since_(owner.clock_.now())
{
    tune_socket(fd);
}

server_connection::~server_connection()
{
    if (stream_)
        bufferevent_free(stream_);
}

void server_connection::begin()
{
    bufferevent_setcb(stream_, &server_connection::on_read, &server_connection::on_write,
                      &server_connection::on_event, this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

std::size_t server_connection::unfinished() const
{
    if (!stream_ || last_)
        return 0;
    return evbuffer_get_length(bufferevent_get_input(stream_)) + reader_.body_size();
}

void server_connection::on_read(bufferevent*, void* self)
{
    const auto held = static_cast<server_connection*>(self)->shared_from_this();
    held->read();
}

// With many requests at work the rest waits in the socket.
bool server_connection::holds_back() const
{
    return turns_.size() >= turns_most;
}

void server_connection::read()
{
    evbuffer* in = bufferevent_get_input(stream_);
    while (stream_ && evbuffer_get_length(in) > 0) {
        if (last_) { // nothing more is read from this caller
            evbuffer_drain(in, evbuffer_get_length(in));
            return;
        }
        if (holds_back()) {
            if (evbuffer_get_length(in) > ahead_most)
                bufferevent_disable(stream_, EV_READ);
            return;
        }
        if (!reader_.head_done() && unfinished() == evbuffer_get_length(in))
            reader_.set_limits(owner_.limits_.message_);
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(in, -1));
        const std::size_t length = evbuffer_get_length(in);
        const std::size_t taken = reader_.read({bytes, length});
        evbuffer_drain(in, taken);
        if (reader_.fault())
            return refuse(*reader_.fault());
        if (reader_.done())
            take_request();
        else if (taken == 0)
            return;
    }
}

void server_connection::take_request()
{
    auto next = std::make_shared<detail::turn>();
    next->request_ = {reader_.method(), reader_.target(), reader_.all_headers(), reader_.take_body()};
    next->version_ = reader_.version();
    next->keep_alive_ = reader_.keep_alive();
    last_ = !next->keep_alive_;
    reader_.reset();
    since_ = owner_.clock_.now();
    turns_.push_back(std::move(next));
    dispatch();
}

void server_connection::refuse(read_fault why)
{
    last_ = true;
    auto refused = std::make_shared<detail::turn>();
    refused->keep_alive_ = false;
    turns_.push_back(refused);
    if (dispatched_ + 1 == turns_.size())
        ++dispatched_;
    exchange(weak_from_this(), std::move(refused)).reply(owner_.refusal_(why));
}

// Hands requests to the handler, as far as their order allows.
void server_connection::dispatch()
{
    while (stream_ && dispatched_ < turns_.size()) {
        const std::shared_ptr<detail::turn> next = turns_[dispatched_];
        if (dispatched_ > 0 && !next->answered_ && !safe(next->request_.method_))
            return;
        ++dispatched_;
        if (!next->answered_) // the refusal of a malformed request has been answered
            owner_.handler_(std::make_shared<exchange>(weak_from_this(), next));
    }
}

void server_connection::flush()
{
    const auto held = shared_from_this();
    while (stream_ && !turns_.empty() && dispatched_ > 0) {
        const std::shared_ptr<detail::turn> front = turns_.front();
        evbuffer_add(bufferevent_get_output(stream_), front->unsent_.data(), front->unsent_.size());
        front->unsent_.clear();
        if (front->reset_)
            return close(true);
        if (!front->answered_)
            return;
        turns_.pop_front();
        --dispatched_;
        since_ = owner_.clock_.now();
        if (!front->keep_alive_)
            return linger();
        dispatch();
    }
    if (stream_ && !holds_back()) {
        bufferevent_enable(stream_, EV_READ);
        if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0)
            read();
    }
}

// A close with bytes unread would reset the connection and take the answer
// with it: the caller is told the end, and what it still sends is read.
void server_connection::linger()
{
    last_ = true;
    lingering_ = true;
    since_ = owner_.clock_.now();
    // Requests that were sent behind the last answer count as not read.
    std::deque<std::shared_ptr<detail::turn>> behind = std::exchange(turns_, {});
    dispatched_ = 0;
    for (const auto& t : behind)
        if (auto gone = std::exchange(t->gone_, nullptr))
            gone();
    if (stream_ && !writing())
        shutdown(bufferevent_getfd(stream_), SHUT_WR);
}

void server_connection::on_write(bufferevent*, void* self)
{
    const auto held = static_cast<server_connection*>(self)->shared_from_this();
    if (held->lingering_) {
        shutdown(bufferevent_getfd(held->stream_), SHUT_WR);
        return;
    }
    if (held->turns_.empty())
        return;
    const std::shared_ptr<detail::turn> front = held->turns_.front();
    if (auto written = std::exchange(front->written_, nullptr))
        written();
}

void server_connection::on_event(bufferevent*, short what, void* self)
{
    const auto held = static_cast<server_connection*>(self)->shared_from_this();
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        held->close(false);
}

void server_connection::close(bool reset)
{
    if (!stream_)
        return;
    const auto held = shared_from_this();
    if (reset) { // a plain close would end an answer of HTTP/1.0 as if it were whole
        const ::linger at_once{1, 0};
        setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    bufferevent_free(std::exchange(stream_, nullptr));
    owner_.forget(*this);
    std::deque<std::shared_ptr<detail::turn>> cut = std::exchange(turns_, {});
    dispatched_ = 0;
    for (const auto& t : cut)
        if (auto gone = std::exchange(t->gone_, nullptr))
            gone();
}

} // namespace guavahaven::http
