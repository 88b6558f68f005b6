#pragma once

// An HTTP/1.1 server on the process's event loop. Requests that are sent ahead
// on one connection are answered in their order; a caller's close is noticed
// while they are being answered.

#include <event2/listener.h>

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "base/http_reader.h"

namespace guavahaven::http {

class server_connection;

// Bounds on what a server takes from its callers.
struct server_limits {
    message_limits message_;
    duration idle_ = std::chrono::seconds(60);    // of a kept connection
    duration arrival_ = std::chrono::seconds(10); // from a request's first byte to its last
    std::size_t connections_ = 1024;
    std::size_t unfinished_bytes_ = 64 * 1024 * 1024; // of requests that are still arriving

    friend bool operator==(const server_limits&, const server_limits&) = default;
};

namespace detail {

// A request on a connection, and as much of its answer as could not be written yet.
struct turn {
    request request_;
    int version_ = 11;       // of the protocol: 10 for HTTP/1.0
    bool keep_alive_ = true; // the connection outlives the answer
    bool started_ = false;
    bool answered_ = false;
    bool chunked_ = false;
    bool reset_ = false; // the answer can't be completed
    std::string unsent_;
    std::function<void()> gone_;
    std::function<void()> written_;
};

} // namespace detail

// One request being answered by a server. The answer is sent whole with
// reply(), or in parts with start(), more() and finish(). An exchange that is
// let go of without an answer is answered 500, one in mid-answer is cut.
class exchange {
public:
    exchange(std::weak_ptr<server_connection> connection, std::shared_ptr<detail::turn> turn);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    const request& received() const { return turn_->request_; }
    // False once the answer was given whole, or the caller has gone.
    bool open() const { return !turn_->answered_ && !connection_.expired(); }

    void reply(const response& whole);
    void start(int status, const headers& all);
    // 'written' is called once all that was given so far has left the process,
    // unless the connection ends first.
    void more(const std::string& bytes, std::function<void()> written = {});
    void finish();
    // Resets the connection in mid-answer, so that the caller sees it is cut short.
    void abort();

    // Called at most once, if the caller's connection closes first.
    void on_gone(std::function<void()> handler) { turn_->gone_ = std::move(handler); }

private:
    void write_head(const response& head, bool chunked);
    void flush();

    std::weak_ptr<server_connection> connection_;
    std::shared_ptr<detail::turn> turn_;
};

class server {
public:
    using handler = std::function<void(std::shared_ptr<exchange>)>;
    // The answer to a request that can't be read.
    using refusal = std::function<response(read_fault)>;

    server(event_loop& loop, const server_limits& limits, handler h, refusal r = plain_refusal);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Listens on an address; settings_bad_value if it can't be bound.
    status listen(const address& at);

    // Takes no further connections; those that are open live on.
    void stop_listening();

    // For requests that begin from now on.
    void set_limits(const server_limits& limits) { limits_ = limits; }
    const server_limits& limits() const { return limits_; }

    // True if every answer that was given has left the process.
    bool quiet() const;

private:
    friend class server_connection;
    struct listener_deleter {
        void operator()(evconnlistener* l) const { evconnlistener_free(l); }
    };

    static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
    void forget(server_connection& c);
    static response plain_refusal(read_fault why);
    void sweep();
    void close_late();
    void close_surplus();
    std::size_t unfinished_bytes() const;

    event_loop& loop_;
    server_limits limits_;
    handler handler_;
    refusal refusal_;
    runtime_clock clock_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
    std::list<std::shared_ptr<server_connection>> connections_; // in the order of their opening
    timer sweep_;
};

} // namespace guavahaven::http
