#pragma once

// An HTTP/1.1 server on the process's event loop. Pipelined requests of one connection
// are answered in their order. While a request is being answered, its handler is
// notified if the caller closes the connection.

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

// Limits on the connections and requests of a server's callers.
struct server_limits {
    message_limits message_;
    duration idle_ = std::chrono::seconds(60);    // until an idle connection is closed
    duration arrival_ = std::chrono::seconds(10); // from a request's first byte to its last
    std::size_t connections_ = 1024;
    std::size_t unfinished_bytes_ = 64 * 1024 * 1024; // of incomplete requests, all connections together

    friend bool operator==(const server_limits&, const server_limits&) = default;
};

namespace detail {

// A request of a connection, and the part of its answer that was not written yet.
struct pending_response {
    request request_;
    int version_ = 11;       // 10 for HTTP/1.0
    bool keep_alive_ = true; // the connection stays open after the answer
    bool started_ = false;
    bool answered_ = false;
    bool chunked_ = false;
    bool reset_ = false; // the answer can't be completed: reset the connection
    std::string unsent_;
    std::function<void()> on_disconnect_;
    std::function<void()> on_written_;
};

} // namespace detail

// A request and the means to answer it: as a whole with reply(), or in parts with
// start(), more() and finish(). If an exchange is destroyed without an answer, the
// caller gets status 500; if in the middle of one, the connection is reset.
class exchange {
public:
    exchange(std::weak_ptr<server_connection> connection, std::shared_ptr<detail::pending_response> pending);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    const request& received() const { return pending_->request_; }
    // False once the answer is complete or the caller has closed the connection.
    bool open() const { return !pending_->answered_ && !connection_.expired(); }

    void reply(const response& whole);
    void start(int status, const headers& all);
    // Sends further bytes of the body. 'written' is called once all bytes given so far
    // were passed to the operating system, and never if the connection ends before.
    void more(const std::string& bytes, std::function<void()> written = {});
    void finish();
    // Resets the connection, so that the caller sees that the answer is incomplete.
    void abort();

    // The handler is called, at most once, if the caller's connection closes before
    // the answer is complete.
    void on_disconnect(std::function<void()> handler) { pending_->on_disconnect_ = std::move(handler); }

private:
    void write_head(const response& head, bool chunked);
    void flush();

    std::weak_ptr<server_connection> connection_;
    std::shared_ptr<detail::pending_response> pending_;
};

class server {
public:
    using handler = std::function<void(std::shared_ptr<exchange>)>;
    // Makes the answer to a malformed or too large request.
    using refusal = std::function<response(read_fault)>;

    server(event_loop& loop, const server_limits& limits, handler h, refusal r = default_refusal);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Listens on an address; the error is settings_bad_value if it can't be bound.
    status listen(const address& at);

    // From now on each connection closes after its next answer. Requests behind others on a connection are
    // not passed to the handler any more; those that it has got are answered before the connection closes.
    void close_after_answer() { closing_ = true; }
    // Closes the connections on which no request is open or arriving.
    void close_idle();

    // Applies to requests that begin from now on.
    void set_limits(const server_limits& limits) { limits_ = limits; }
    const server_limits& limits() const { return limits_; }

    // True if no request is unanswered and all answers were passed to the operating system.
    bool quiet() const;

private:
    friend class server_connection;
    struct listener_deleter {
        void operator()(evconnlistener* l) const { evconnlistener_free(l); }
    };

    static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
    void forget(server_connection& c);
    static response default_refusal(read_fault why);
    void sweep();
    void close_timed_out();
    void close_surplus();
    std::size_t unfinished_bytes() const;

    event_loop& loop_;
    server_limits limits_;
    handler handler_;
    refusal refusal_;
    runtime_clock clock_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
    std::list<std::shared_ptr<server_connection>> connections_; // oldest first
    timer sweep_;
    bool closing_ = false; // each connection closes after its next answer
};

} // namespace guavahaven::http
