#pragma once

// An HTTP client over evhttp with reused connections, on the process's event loop.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/event_loop.h"
#include "base/http_detail.h"

namespace guavahaven::http {

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
