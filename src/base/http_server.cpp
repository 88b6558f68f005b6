#include "base/http_server.h"

#include <event2/bufferevent.h>
#include <sys/socket.h>

namespace guavahaven::http {

namespace {

constexpr evhttp_cmd_type all_methods =
    static_cast<evhttp_cmd_type>(EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                 EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);

using buffer = std::unique_ptr<evbuffer, detail::buffer_deleter>;

buffer make_buffer(const std::string& bytes)
{
    buffer b(evbuffer_new());
    evbuffer_add(b.get(), bytes.data(), bytes.size());
    return b;
}

} // namespace

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
    detail::send_at_once(evhttp_request_get_connection(raw));
    detail::add_headers(evhttp_request_get_output_headers(raw), whole.headers_);
    const buffer body = make_buffer(whole.body_);
    detach();
    evhttp_send_reply(raw, whole.status_, nullptr, body.get());
}

void exchange::start(int status, const headers& all)
{
    if (!raw_)
        return;
    started_ = true;
    detail::send_at_once(evhttp_request_get_connection(raw_));
    detail::add_headers(evhttp_request_get_output_headers(raw_), all);
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
    const sockaddr nowhere{AF_UNSPEC, {}};
    const evutil_socket_t fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    static_cast<void>(connect(fd, &nowhere, sizeof nowhere)); // if it fails, the close below still ends it
    evhttp_connection_free(connection);
}

void exchange::drop()
{
    if (raw_)
        evhttp_connection_free(evhttp_request_get_connection(raw_));
}

server::server(event_loop& loop, server_limits limits, handler h)
    : handler_(std::move(h)), connections_(loop, limits), http_(evhttp_new(loop.base()))
{
    evhttp_set_bevcb(http_.get(), &server::open_stream, this);
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

bufferevent* server::open_stream(event_base* base, void* self)
{
    return static_cast<server*>(self)->connections_.open(base);
}

void server::received(evhttp_request* raw, void* self)
{
    auto& s = *static_cast<server*>(self);
    auto e = std::make_shared<exchange>(raw);
    s.connections_.arrived(evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw)), e);
    s.handler_(std::move(e));
}

} // namespace guavahaven::http
