#include "base/http_connection.h"

#include <sys/socket.h>

#include "base/sockets.h"

namespace guavahaven::http {

namespace {

constexpr std::size_t max_pipelined_requests = 32;       // per connection
constexpr std::size_t max_read_ahead_bytes = 256 * 1024; // while the pipeline is full

// A pipelined request starts before the answers ahead of it only if it is safe to
// repeat, since a caller sends unanswered requests again when the connection closes.
bool is_safe_method(const std::string& method)
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
    if (!stream_ || stop_reading_)
        return 0;
    return evbuffer_get_length(bufferevent_get_input(stream_)) + reader_.body_size();
}

void server_connection::on_read(bufferevent*, void* self)
{
    const auto held = static_cast<server_connection*>(self)->shared_from_this();
    held->read();
}

// While the pipeline is full, further requests wait in the socket's buffer.
bool server_connection::pipeline_full() const
{
    return pipeline_.size() >= max_pipelined_requests;
}

void server_connection::read()
{
    evbuffer* in = bufferevent_get_input(stream_);
    while (stream_ && evbuffer_get_length(in) > 0) {
        if (stop_reading_) {
            evbuffer_drain(in, evbuffer_get_length(in));
            return;
        }
        if (pipeline_full()) {
            if (evbuffer_get_length(in) > max_read_ahead_bytes)
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
            add_request();
        else if (taken == 0)
            return;
    }
}

void server_connection::add_request()
{
    auto next = std::make_shared<detail::pending_response>();
    next->request_ = {reader_.method(), reader_.target(), reader_.all_headers(), reader_.take_body()};
    next->version_ = reader_.version();
    next->keep_alive_ = reader_.keep_alive();
    stop_reading_ = !next->keep_alive_;
    reader_.reset();
    since_ = owner_.clock_.now();
    pipeline_.push_back(std::move(next));
    dispatch();
}

bool server_connection::closes_after(const detail::pending_response& r) const
{
    return owner_.closing_ && dispatched_ > 0 && pipeline_[dispatched_ - 1].get() == &r;
}

void server_connection::refuse(read_fault why)
{
    stop_reading_ = true;
    auto refused = std::make_shared<detail::pending_response>();
    refused->keep_alive_ = false;
    pipeline_.push_back(refused);
    if (dispatched_ + 1 == pipeline_.size())
        ++dispatched_;
    exchange(weak_from_this(), std::move(refused)).reply(owner_.refusal_(why));
}

// Passes requests to the handler: the oldest at once, the ones behind it if they are safe.
void server_connection::dispatch()
{
    while (stream_ && dispatched_ < pipeline_.size()) {
        const std::shared_ptr<detail::pending_response> next = pipeline_[dispatched_];
        const bool may_start_early = !owner_.closing_ && is_safe_method(next->request_.method_);
        if (dispatched_ > 0 && !next->answered_ && !may_start_early)
            return;
        ++dispatched_;
        if (!next->answered_) // a malformed request is already answered
            owner_.handler_(std::make_shared<exchange>(weak_from_this(), next));
    }
}

void server_connection::flush()
{
    const auto held = shared_from_this();
    while (stream_ && !pipeline_.empty() && dispatched_ > 0) {
        const std::shared_ptr<detail::pending_response> front = pipeline_.front();
        evbuffer_add(bufferevent_get_output(stream_), front->unsent_.data(), front->unsent_.size());
        front->unsent_.clear();
        if (front->reset_)
            return close(true);
        if (!front->answered_)
            return;
        pipeline_.pop_front();
        --dispatched_;
        since_ = owner_.clock_.now();
        if (!front->keep_alive_)
            return linger();
        dispatch();
    }
    if (stream_ && !pipeline_full()) {
        bufferevent_enable(stream_, EV_READ);
        if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0)
            read();
    }
}

// Lingering close: closing a socket with unread input would reset the connection, and
// the caller could lose the last answer. So only the sending side is shut down, and
// input is read and discarded until the caller closes.
void server_connection::linger()
{
    stop_reading_ = true;
    lingering_ = true;
    since_ = owner_.clock_.now();
    // Requests behind the last answer are dropped, as if they had never been read.
    std::deque<std::shared_ptr<detail::pending_response>> dropped = std::exchange(pipeline_, {});
    dispatched_ = 0;
    for (const auto& t : dropped)
        if (auto disconnected = std::exchange(t->on_disconnect_, nullptr))
            disconnected();
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
    if (held->pipeline_.empty())
        return;
    const std::shared_ptr<detail::pending_response> front = held->pipeline_.front();
    if (auto written = std::exchange(front->on_written_, nullptr))
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
    if (reset) { // after a plain close, an HTTP/1.0 caller would take the answer for complete
        const ::linger discard_and_reset{1, 0};
        setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &discard_and_reset,
                   sizeof discard_and_reset);
    }
    bufferevent_free(std::exchange(stream_, nullptr));
    owner_.forget(*this);
    std::deque<std::shared_ptr<detail::pending_response>> unanswered = std::exchange(pipeline_, {});
    dispatched_ = 0;
    for (const auto& t : unanswered)
        if (auto disconnected = std::exchange(t->on_disconnect_, nullptr))
            disconnected();
}

} // namespace guavahaven::http
