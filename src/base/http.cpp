#include "base/http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace guavahaven::http {

namespace detail {

std::string method_name(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

headers copy_headers(const evkeyvalq* all)
{
    headers copies;
    for (const evkeyval* kv = all->tqh_first; kv; kv = kv->next.tqe_next)
        copies.push_back({kv->key, kv->value});
    return copies;
}

std::string copy_body(evbuffer* buffer)
{
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

} // namespace detail

namespace {

constexpr evhttp_cmd_type all_methods =
    static_cast<evhttp_cmd_type>(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                 EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);

evhttp_cmd_type method_type(const std::string& name)
{
    for (const evhttp_cmd_type type : {EVHTTP_REQ_GET, EVHTTP_REQ_POST, EVHTTP_REQ_HEAD, EVHTTP_REQ_PUT,
                                       EVHTTP_REQ_DELETE, EVHTTP_REQ_OPTIONS, EVHTTP_REQ_PATCH})
        if (detail::method_name(type) == name)
            return type;
    return EVHTTP_REQ_GET;
}

void add_headers(evkeyvalq* to, const headers& all)
{
    for (const header& h : all)
        evhttp_add_header(to, h.name_.c_str(), h.value_.c_str());
}

void send_at_once(evhttp_connection* connection)
{
    bufferevent* stream = connection ? evhttp_connection_get_bufferevent(connection) : nullptr;
    const evutil_socket_t fd = stream ? bufferevent_getfd(stream) : -1;
    const int on = 1;
    if (fd >= 0)
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

struct buffer_deleter {
    void operator()(evbuffer* b) const { evbuffer_free(b); }
};
using buffer = std::unique_ptr<evbuffer, buffer_deleter>;

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

buffer make_buffer(const std::string& bytes)
{
    buffer b(evbuffer_new());
    evbuffer_add(b.get(), bytes.data(), bytes.size());
    return b;
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string find_header(const headers& all, std::string_view name)
{
    const auto same = [name](const header& h) { return same_name(h.name_, name); };
    const auto at = std::find_if(all.begin(), all.end(), same);
    return at == all.end() ? "" : at->value_;
}

headers end_to_end(const headers& all)
{
    constexpr std::array<std::string_view, 7> of_connection{"Connection",      "Content-Length",    "Host",
                                                            "Keep-Alive",      "Transfer-Encoding", "Upgrade",
                                                            "Proxy-Connection"};
    headers kept;
    for (const header& h : all) {
        const auto same = [&](std::string_view name) { return same_name(h.name_, name); };
        if (std::none_of(of_connection.begin(), of_connection.end(), same))
            kept.push_back(h);
    }
    return kept;
}

std::string query_parameter(const std::string& target, const std::string& name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return "";
    evkeyvalq parsed{};
    if (evhttp_parse_query_str(target.c_str() + mark + 1, &parsed) != 0)
        return "";
    const char* found = evhttp_find_header(&parsed, name.c_str());
    std::string value = found ? found : "";
    evhttp_clear_headers(&parsed);
    return value;
}

std::string path_of(const std::string& target)
{
    return target.substr(0, target.find('?'));
}

std::string to_string(const address& a)
{
    return a.ip_ + ":" + std::to_string(a.port_);
}

result<address> parse_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return error{code::settings_bad_value, "'" + text + "' is not of the form IP:PORT"};
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data() + colon + 1, end, port);
    if (failed != std::errc() || stop != end)
        return error{code::settings_bad_value, "'" + text + "' is not of the form IP:PORT"};
    return address{text.substr(0, colon), port};
}

exchange::exchange(evhttp_request* raw) : raw_(raw)
{
    request_.method_ = detail::method_name(evhttp_request_get_command(raw));
    request_.target_ = evhttp_request_get_uri(raw);
    request_.headers_ = detail::copy_headers(evhttp_request_get_input_headers(raw));
    request_.body_ = detail::copy_body(evhttp_request_get_input_buffer(raw));
    evhttp_connection_set_closecb(evhttp_request_get_connection(raw), &exchange::closed, this);
}

exchange::~exchange()
{
    if (!raw_)
        return;
    if (started_)
        abort();
    else
        reply({500, {}, ""});
}

// After the answer the connection serves other requests, which have their own exchange.
void exchange::detach()
{
    if (!raw_)
        return;
    if (evhttp_connection* connection = evhttp_request_get_connection(raw_))
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    raw_ = nullptr;
}

void exchange::closed(evhttp_connection*, void* self)
{
    auto& e = *static_cast<exchange*>(self);
    e.raw_ = nullptr; // evhttp frees the request along with its connection
    e.written_ = nullptr;
    if (auto gone = std::exchange(e.gone_, nullptr))
        gone();
}

void exchange::on_gone(std::function<void()> handler)
{
    gone_ = std::move(handler);
}

void exchange::reply(const response& whole)
{
    if (!raw_)
        return;
    evhttp_request* raw = raw_;
    send_at_once(evhttp_request_get_connection(raw));
    add_headers(evhttp_request_get_output_headers(raw), whole.headers_);
    const buffer body = make_buffer(whole.body_);
    detach();
    evhttp_send_reply(raw, whole.status_, nullptr, body.get());
}

void exchange::start(int status, const headers& all)
{
    if (!raw_)
        return;
    started_ = true;
    send_at_once(evhttp_request_get_connection(raw_));
    add_headers(evhttp_request_get_output_headers(raw_), all);
    evhttp_send_reply_start(raw_, status, nullptr);
}

void exchange::more(const std::string& bytes, std::function<void()> written)
{
    if (!raw_)
        return;
    written_ = std::move(written);
    const buffer part = make_buffer(bytes);
    evhttp_send_reply_chunk_with_cb(raw_, part.get(), &exchange::drained, this);
}

void exchange::drained(evhttp_connection*, void* self)
{
    if (auto written = std::exchange(static_cast<exchange*>(self)->written_, nullptr))
        written();
}

void exchange::finish()
{
    if (!raw_)
        return;
    evhttp_request* raw = raw_;
    detach();
    evhttp_send_reply_end(raw);
}

// A reset, since a plain close would end an answer of HTTP/1.0 as if it were whole.
void exchange::abort()
{
    if (!raw_)
        return;
    evhttp_connection* connection = evhttp_request_get_connection(raw_);
    detach();
    if (!connection)
        return;
    const linger at_once{1, 0};
    setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SOL_SOCKET, SO_LINGER,
               &at_once, sizeof at_once);
    evhttp_connection_free(connection);
}

server::server(event_loop& loop, server_limits limits, handler h)
    : handler_(std::move(h)), http_(evhttp_new(loop.base()))
{
    evhttp_set_gencb(http_.get(), &server::received, this);
    evhttp_set_allowed_methods(http_.get(), static_cast<ev_uint16_t>(all_methods));
    evhttp_set_max_headers_size(http_.get(), static_cast<ev_ssize_t>(limits.header_bytes_));
    evhttp_set_max_body_size(http_.get(), static_cast<ev_ssize_t>(limits.body_bytes_));
    evhttp_set_timeout(http_.get(), static_cast<int>(limits.idle_.count()));
    evhttp_set_default_content_type(http_.get(), nullptr);
}

status server::listen(const address& at)
{
    bound_ = evhttp_bind_socket_with_handle(http_.get(), at.ip_.c_str(), at.port_);
    if (!bound_)
        return error{code::settings_bad_value, "can't listen on " + to_string(at)};
    return std::monostate{};
}

void server::stop_listening()
{
    if (bound_)
        evhttp_del_accept_socket(http_.get(), bound_);
    bound_ = nullptr;
}

void server::received(evhttp_request* raw, void* self)
{
    static_cast<server*>(self)->handler_(std::make_shared<exchange>(raw));
}

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
    add_headers(out, w.request_.headers_);
    evbuffer_add(evhttp_request_get_output_buffer(raw), w.request_.body_.data(), w.request_.body_.size());
    if (evhttp_make_request(connection, raw, method_type(w.request_.method_), w.request_.target_.c_str()) !=
        0) {
        auto failed = std::exchange(at.handler_, nullptr);
        failed(unreachable_);
        return;
    }
    send_at_once(connection);
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
