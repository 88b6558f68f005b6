#include "base/http_client.h"

#include <event2/bufferevent.h>

#include <algorithm>

namespace guavahaven::http {

namespace {

evhttp_cmd_type method_type(const std::string& name)
{
    for (const evhttp_cmd_type type : {EVHTTP_REQ_GET, EVHTTP_REQ_POST, EVHTTP_REQ_HEAD, EVHTTP_REQ_PUT,
                                       EVHTTP_REQ_DELETE, EVHTTP_REQ_OPTIONS, EVHTTP_REQ_PATCH})
        if (detail::method_name(type) == name)
            return type;
    return EVHTTP_REQ_GET;
}

constexpr std::size_t part_least = 64 * 1024;    // bytes of a response that are held to pass on at once
constexpr std::size_t unread_most = 1024 * 1024; // bytes that a connection reads ahead

// True if the sender said where the response ends, so that one cut short is noticed.
bool has_known_end(evhttp_request* raw)
{
    const int status = evhttp_request_get_response_code(raw);
    const bool no_body = evhttp_request_get_command(raw) == EVHTTP_REQ_HEAD || status == 204 || status == 304;
    const evkeyvalq* in = evhttp_request_get_input_headers(raw);
    return no_body || evhttp_find_header(in, "Content-Length") || evhttp_find_header(in, "Transfer-Encoding");
}

} // namespace

// One connection and the request that is using it, if any.
struct client::slot {
    client& owner_;
    std::unique_ptr<evhttp_connection, detail::connection_deleter> connection_;
    stream_handler handler_;
    std::uint64_t ticket_ = 0;
    bool sent_ = false;    // bytes of the request were given to the system
    bool started_ = false; // the start of the response was passed on
    std::string held_;     // read but not passed on

    explicit slot(client& owner) : owner_(owner) {}

    bufferevent* stream() const { return evhttp_connection_get_bufferevent(connection_.get()); }

    // What is held, as the start of the response or a further part.
    response_event next_event(evhttp_request* raw, bool complete)
    {
        std::string bytes = std::exchange(held_, {});
        if (std::exchange(started_, true))
            return response_part{std::move(bytes), complete};
        return response_start{{evhttp_request_get_response_code(raw),
                               detail::copy_headers(evhttp_request_get_input_headers(raw)), std::move(bytes)},
                              complete};
    }
};

client::client(event_loop& loop, address to, std::size_t most_connections, error unreachable,
               std::optional<error> broken)
    : loop_(loop), to_(std::move(to)), most_(most_connections), unreachable_(std::move(unreachable)),
      broken_(broken.value_or(unreachable_))
{
}

client::~client() = default;

std::size_t client::in_flight() const
{
    const auto busy = [](const auto& s) { return s->handler_ != nullptr; };
    return waiting_.size() + static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(), busy));
}

void client::send(request r, duration timeout, response_handler h)
{
    send(0, std::move(r), timeout, std::move(h));
}

void client::send(std::uint64_t ticket, request r, duration timeout, response_handler h)
{
    const auto whole = [h = std::move(h)](response_event e) {
        if (auto* answered = std::get_if<response_start>(&e))
            h(std::move(answered->response_));
        else
            h(std::get<error>(std::move(e)));
    };
    enqueue({ticket, std::move(r), timeout, whole, false});
}

void client::stream(std::uint64_t ticket, request r, duration timeout, stream_handler h)
{
    enqueue({ticket, std::move(r), timeout, std::move(h), true});
}

void client::enqueue(waiting_request w)
{
    const auto free = std::find_if(slots_.begin(), slots_.end(), [](const auto& s) { return !s->handler_; });
    if (free != slots_.end())
        return start(**free, std::move(w));
    if (slots_.size() >= most_) {
        waiting_.push_back(std::move(w));
        return;
    }
    slots_.push_back(std::make_unique<slot>(*this));
    slot& opened = *slots_.back();
    opened.connection_.reset(evhttp_connection_base_new(loop_.base(), nullptr, to_.ip_.c_str(), to_.port_));
    evbuffer* out = bufferevent_get_output(opened.stream());
    evbuffer_add_cb(out, &client::written, &opened);
    start(opened, std::move(w));
}

// A request waits outside this buffer until its connection is open; whatever
// leaves the buffer may have reached the other end.
void client::written(evbuffer*, const evbuffer_cb_info* info, void* at)
{
    if (info->n_deleted > 0)
        static_cast<slot*>(at)->sent_ = true;
}

client::slot* client::find(std::uint64_t ticket)
{
    const auto at = std::find_if(slots_.begin(), slots_.end(), [ticket](const auto& s) {
        return s->handler_ != nullptr && s->ticket_ == ticket;
    });
    return at == slots_.end() ? nullptr : at->get();
}

void client::pause(std::uint64_t ticket)
{
    if (const slot* s = find(ticket))
        bufferevent_disable(s->stream(), EV_READ);
}

void client::resume(std::uint64_t ticket)
{
    if (const slot* s = find(ticket))
        bufferevent_enable(s->stream(), EV_READ);
}

void client::cancel(std::uint64_t ticket)
{
    std::erase_if(waiting_, [ticket](const waiting_request& w) { return w.ticket_ == ticket; });
    const slot* cancelled = find(ticket);
    if (!cancelled)
        return;
    std::erase_if(slots_, [cancelled](const auto& s) { return s.get() == cancelled; });
    start_next();
}

void client::start(slot& at, waiting_request w)
{
    at.handler_ = std::move(w.handler_);
    at.ticket_ = w.ticket_;
    at.sent_ = false;
    at.started_ = false;
    evhttp_connection* connection = at.connection_.get();
    const timeval wait{static_cast<time_t>(w.timeout_.count() / 1'000'000),
                       static_cast<suseconds_t>(w.timeout_.count() % 1'000'000)};
    evhttp_connection_set_timeout_tv(connection, &wait);
    evhttp_request* raw = evhttp_request_new(&client::done, &at);
    if (w.in_parts_)
        evhttp_request_set_chunked_cb(raw, &client::part_read);
    bufferevent_setwatermark(at.stream(), EV_READ, 0, w.in_parts_ ? unread_most : 0);
    evkeyvalq* out = evhttp_request_get_output_headers(raw);
    evhttp_add_header(out, "Host", to_.ip_.c_str());
    detail::add_headers(out, w.request_.headers_);
    evbuffer_add(evhttp_request_get_output_buffer(raw), w.request_.body_.data(), w.request_.body_.size());
    if (evhttp_make_request(connection, raw, method_type(w.request_.method_), w.request_.target_.c_str()) !=
        0) {
        auto failed = std::exchange(at.handler_, nullptr);
        failed(unreachable_);
        return;
    }
    detail::send_at_once(connection);
}

void client::part_read(evhttp_request* raw, void* at)
{
    auto& s = *static_cast<slot*>(at);
    s.held_ += detail::copy_body(evhttp_request_get_input_buffer(raw));
    if (s.held_.size() >= part_least)
        s.handler_(s.next_event(raw, false));
}

void client::done(evhttp_request* raw, void* at)
{
    auto& s = *static_cast<slot*>(at);
    client& owner = s.owner_;
    const auto handler = std::exchange(s.handler_, nullptr);
    if (raw && evhttp_request_get_response_code(raw) != 0 && has_known_end(raw)) {
        s.held_ += detail::copy_body(evhttp_request_get_input_buffer(raw));
        handler(s.next_event(raw, true));
    }
    else {
        s.held_.clear();
        handler(s.sent_ ? owner.broken_ : owner.unreachable_);
    }
    owner.start_next();
}

void client::start_next()
{
    if (waiting_.empty())
        return;
    waiting_request next = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    enqueue(std::move(next));
}

} // namespace guavahaven::http
