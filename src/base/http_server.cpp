#include "base/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>

#include "base/http_connection.h"

namespace guavahaven::http {

namespace {

constexpr duration sweep_interval = std::chrono::milliseconds(250);
constexpr duration linger_timeout = std::chrono::seconds(2); // for the caller to close after the last answer

bool has_no_body(const std::string& method, int status)
{
    return method == "HEAD" || status == 204 || status == 304;
}

std::string reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string chunk(const std::string& bytes)
{
    char size[20];
    const int length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return std::string(size, static_cast<std::size_t>(length)) + bytes + "\r\n";
}

} // namespace

exchange::exchange(std::weak_ptr<server_connection> connection,
                   std::shared_ptr<detail::pending_response> pending)
    : connection_(std::move(connection)), pending_(std::move(pending))
{
}

exchange::~exchange()
{
    pending_->on_disconnect_ = nullptr;
    pending_->on_written_ = nullptr;
    if (pending_->answered_)
        return;
    if (pending_->started_)
        abort();
    else
        reply({500, {}, ""});
}

void exchange::write_head(const response& head, bool chunked)
{
    pending_->started_ = true;
    pending_->chunked_ = chunked;
    std::string& out = pending_->unsent_;
    out += pending_->version_ == 10 ? "HTTP/1.0 " : "HTTP/1.1 ";
    out += std::to_string(head.status_) + " " + reason_phrase(head.status_) + "\r\n";
    for (const header& h : head.headers_) {
        if (equals_ignore_case(h.name_, "Connection")) {
            pending_->keep_alive_ = pending_->keep_alive_ && !equals_ignore_case(h.value_, "close");
            continue;
        }
        out += h.name_ + ": " + h.value_ + "\r\n";
    }
    if (const auto c = connection_.lock(); c && c->closes_after(*pending_))
        pending_->keep_alive_ = false;
    if (chunked)
        out += "Transfer-Encoding: chunked\r\n";
    if (!pending_->keep_alive_)
        out += "Connection: close\r\n";
}

void exchange::reply(const response& whole)
{
    if (pending_->answered_)
        return;
    write_head(whole, false);
    const bool no_body = has_no_body(pending_->request_.method_, whole.status_);
    if (!no_body || find_header(whole.headers_, "Content-Length").empty())
        pending_->unsent_ += "Content-Length: " + std::to_string(whole.body_.size()) + "\r\n";
    pending_->unsent_ += "\r\n";
    if (!no_body)
        pending_->unsent_ += whole.body_;
    pending_->answered_ = true;
    flush();
}

void exchange::start(int status, const headers& all)
{
    if (pending_->answered_)
        return;
    const bool unstated =
        find_header(all, "Content-Length").empty() && !has_no_body(pending_->request_.method_, status);
    // HTTP/1.0 has no chunked encoding: there the answer ends when the connection closes.
    const bool chunked = unstated && pending_->version_ != 10;
    pending_->keep_alive_ = pending_->keep_alive_ && (chunked || !unstated);
    write_head({status, all, ""}, chunked);
    pending_->unsent_ += "\r\n";
    flush();
}

void exchange::more(const std::string& bytes, std::function<void()> written)
{
    if (pending_->answered_)
        return;
    pending_->on_written_ = std::move(written);
    if (!bytes.empty())
        pending_->unsent_ += pending_->chunked_ ? chunk(bytes) : bytes;
    flush();
}

void exchange::finish()
{
    if (pending_->answered_)
        return;
    if (pending_->chunked_)
        pending_->unsent_ += "0\r\n\r\n";
    pending_->answered_ = true;
    flush();
}

void exchange::abort()
{
    if (pending_->answered_)
        return;
    pending_->answered_ = true;
    pending_->reset_ = true;
    pending_->on_disconnect_ = nullptr;
    flush();
}

void exchange::flush()
{
    if (const auto c = connection_.lock())
        c->flush();
}

server::server(event_loop& loop, const server_limits& limits, handler h, refusal r)
    : loop_(loop), limits_(limits), handler_(std::move(h)), refusal_(std::move(r)),
      sweep_(loop, [this] { sweep(); })
{
}

server::~server()
{
    while (!connections_.empty())
        connections_.front()->close(false);
}

response server::default_refusal(read_fault why)
{
    switch (why) {
    case read_fault::head_too_large:
        return {431, {}, ""};
    case read_fault::body_too_large:
        return {413, {}, ""};
    case read_fault::malformed:
        break;
    }
    return {400, {}, ""};
}

status server::listen(const address& at)
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(at.port_);
    if (inet_pton(AF_INET, at.ip_.c_str(), &where.sin_addr) != 1)
        return error{code::settings_bad_value, "not an IP address: " + at.ip_};
    const unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    listener_.reset(evconnlistener_new_bind(loop_.base(), &server::on_accept, this, flags, -1,
                                            reinterpret_cast<const sockaddr*>(&where), sizeof where));
    if (!listener_)
        return error{code::settings_bad_value, "can't listen on " + to_string(at)};
    return std::monostate{};
}

void server::close_idle()
{
    std::vector<std::shared_ptr<server_connection>> idle;
    for (const auto& c : connections_)
        if (c->idle())
            idle.push_back(c);
    for (const auto& c : idle)
        c->close(false);
}

void server::on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self)
{
    auto& s = *static_cast<server*>(self);
    if (s.connections_.empty())
        s.sweep_.arm(sweep_interval);
    s.connections_.push_back(std::make_shared<server_connection>(s, fd));
    s.connections_.back()->begin();
    if (s.connections_.size() > s.limits_.connections_)
        s.close_surplus();
}

void server::forget(server_connection& c)
{
    connections_.remove_if([&c](const auto& held) { return held.get() == &c; });
}

bool server::quiet() const
{
    return std::none_of(connections_.begin(), connections_.end(),
                        [](const auto& c) { return c->busy() || c->writing(); });
}

void server::sweep()
{
    close_timed_out();
    close_surplus();
    if (!connections_.empty())
        sweep_.arm(sweep_interval);
}

void server::close_timed_out()
{
    const time_point now = clock_.now();
    std::vector<std::shared_ptr<server_connection>> timed_out;
    for (const auto& c : connections_) {
        const duration silent = now - c->since();
        const bool arriving = c->unfinished() > 0;
        if (c->closing() ? silent > linger_timeout
                         : !c->busy() && silent > (arriving ? limits_.arrival_ : limits_.idle_))
            timed_out.push_back(c);
    }
    for (const auto& c : timed_out)
        c->close(false);
}

std::size_t server::unfinished_bytes() const
{
    std::size_t sum = 0;
    for (const auto& c : connections_)
        sum += c->unfinished();
    return sum;
}

// Closes idle connections first, the longest idle one before the others; then the newest.
void server::close_surplus()
{
    while (connections_.size() > limits_.connections_ || unfinished_bytes() > limits_.unfinished_bytes_) {
        std::shared_ptr<server_connection> longest_idle;
        for (const auto& c : connections_)
            if (!c->busy() && (!longest_idle || c->since() < longest_idle->since()))
                longest_idle = c;
        (longest_idle ? longest_idle : connections_.back())->close(false);
    }
}

} // namespace guavahaven::http
