#pragma once

// HTTP over evhttp: a small server and a client with reused connections, both
// on the process's event loop.

#include <event2/buffer.h>
#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/result.h"

namespace guavahaven::http {

struct header {
    std::string name_;
    std::string value_;

    friend bool operator==(const header&, const header&) = default;
};
using headers = std::vector<header>;

// Compares names of headers, without regard to case.
bool same_name(std::string_view a, std::string_view b);

// First value of a header, compared without regard to case; "" if absent.
std::string find_header(const headers& all, std::string_view name);

// The headers that go on to the next hop; those that belong to one connection
// (length, encoding, host, connection) are left out.
headers end_to_end(const headers& all);

// Value of a parameter in the query part of a target; "" if absent.
std::string query_parameter(const std::string& target, const std::string& name);

// Path of a target, without its query.
std::string path_of(const std::string& target);

struct request {
    std::string method_ = "GET";
    std::string target_; // path and query
    headers headers_;
    std::string body_;

    friend bool operator==(const request&, const request&) = default;
};

struct response {
    int status_ = 200;
    headers headers_;
    std::string body_;

    friend bool operator==(const response&, const response&) = default;
};

struct address {
    std::string ip_;
    std::uint16_t port_ = 0;

    friend auto operator<=>(const address&, const address&) = default;
};

std::string to_string(const address& a);

// Parses "IP:PORT"; settings_bad_value otherwise.
result<address> parse_address(const std::string& text);

// Bounds on what a server takes from one connection.
struct server_limits {
    std::size_t header_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 1024 * 1024;
    std::chrono::seconds idle_{60};
};

namespace detail {
struct http_deleter {
    void operator()(evhttp* h) const { evhttp_free(h); }
};
struct connection_deleter {
    void operator()(evhttp_connection* c) const { evhttp_connection_free(c); }
};
std::string method_name(evhttp_cmd_type type);
headers copy_headers(const evkeyvalq* all);
std::string copy_body(evbuffer* buffer);
} // namespace detail

// One request being answered by a server. The answer is sent whole with
// reply(), or in parts with start(), more() and finish().
class exchange {
public:
    explicit exchange(evhttp_request* raw);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    const request& received() const { return request_; }

    void reply(const response& whole);
    void start(int status, const headers& all);
    // 'written' is called once all that was given so far has left the process,
    // unless the connection ends first.
    void more(const std::string& bytes, std::function<void()> written = {});
    void finish();
    // Resets the connection in mid-answer, so that the caller sees it is cut short.
    void abort();

    // Called at most once, if the caller's connection closes first.
    void on_gone(std::function<void()> handler);

private:
    static void closed(evhttp_connection*, void* self);
    static void drained(evhttp_connection*, void* self);
    void detach();

    evhttp_request* raw_;
    request request_;
    bool started_ = false;
    std::function<void()> gone_;
    std::function<void()> written_;
};

class server {
public:
    using handler = std::function<void(std::shared_ptr<exchange>)>;

    server(event_loop& loop, server_limits limits, handler h);

    // Listens on an address; settings_bad_value if it can't be bound.
    status listen(const address& at);

    // Takes no further connections; those that are open live on.
    void stop_listening();

private:
    static void received(evhttp_request* raw, void* self);

    handler handler_;
    std::unique_ptr<evhttp, detail::http_deleter> http_;
    evhttp_bound_socket* bound_ = nullptr;
};

using response_handler = std::function<void(result<response>)>;

// A response as it arrives. A short one comes whole in its start; of a long
// one, parts follow. An error says that it will never be whole.
struct response_start {
    response response_;
    bool complete_ = true;
};
struct response_part {
    std::string bytes_;
    bool complete_ = false;
};
using response_event = std::variant<response_start, response_part, error>;
using stream_handler = std::function<void(response_event)>;

// Sends requests to one address over up to a bounded number of connections,
// each reused. Requests beyond wait in order.
class client {
public:
    // 'broken' is the error when bytes of the request were written, so that it
    // may have run; it is 'unreachable' too if not given.
    client(event_loop& loop, address to, std::size_t most_connections, error unreachable,
           std::optional<error> broken = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // The handler gets the response, or the client's 'unreachable' error when
    // none or only part of one came within the timeout.
    void send(request r, duration timeout, response_handler h);
    // The same, with a ticket to cancel it by.
    void send(std::uint64_t ticket, request r, duration timeout, response_handler h);
    // The same, with the response passed on in parts if it is long. One that
    // ends with its connection is an error: nobody could tell that it is whole.
    void stream(std::uint64_t ticket, request r, duration timeout, stream_handler h);
    // Stops and goes on reading a streamed response; the connection's own
    // buffers then hold back the sender.
    void pause(std::uint64_t ticket);
    void resume(std::uint64_t ticket);
    // Forgets a request, closing its connection if it is under way; its handler
    // is not called.
    void cancel(std::uint64_t ticket);

    std::size_t in_flight() const;

private:
    struct slot;
    struct waiting_request {
        std::uint64_t ticket_ = 0; // 0: cannot be cancelled
        request request_;
        duration timeout_{};
        stream_handler handler_;
        bool in_parts_ = false;
    };

    static void done(evhttp_request* raw, void* at);
    static void part_read(evhttp_request* raw, void* at);
    static void written(evbuffer*, const evbuffer_cb_info* info, void* at);
    slot* find(std::uint64_t ticket);
    void start(slot& at, waiting_request w);
    void enqueue(waiting_request w);
    void start_next();

    event_loop& loop_;
    address to_;
    std::size_t most_;
    error unreachable_;
    error broken_;
    std::vector<std::unique_ptr<slot>> slots_;
    std::vector<waiting_request> waiting_;
};

} // namespace guavahaven::http
