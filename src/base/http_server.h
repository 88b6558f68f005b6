#pragma once

// An HTTP server over evhttp, on the process's event loop.

#include <functional>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "base/http_connections.h"
#include "base/http_detail.h"

namespace guavahaven::http {

// One request being answered by a server. The answer is sent whole with
// reply(), or in parts with start(), more() and finish().
class exchange {
public:
    explicit exchange(evhttp_request* raw);
    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    const request& received() const { return request_; }
    // False once the answer was given whole, or the caller has gone.
    bool open() const { return raw_ != nullptr; }

    void reply(const response& whole);
    void start(int status, const headers& all);
    // 'written' is called once all that was given so far has left the process,
    // unless the connection ends first.
    void more(const std::string& bytes, std::function<void()> written = {});
    void finish();
    // Resets the connection in mid-answer, so that the caller sees it is cut short.
    void abort();

    // The caller has closed: ends the connection too, and calls the handler of on_gone().
    void drop();

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

    // True if every answer that was given has left the process.
    bool quiet() const { return connections_.quiet(); }

private:
    static bufferevent* open_stream(event_base* base, void* self);
    static void received(evhttp_request* raw, void* self);

    handler handler_;
    connections connections_;
    std::unique_ptr<evhttp, detail::http_deleter> http_;
    evhttp_bound_socket* bound_ = nullptr;
};

} // namespace guavahaven::http
