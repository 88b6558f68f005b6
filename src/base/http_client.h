#pragma once

// An HTTP/1.1 client with reused connections, on the process's event loop.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/event_loop.h"
#include "base/http_message.h"

namespace guavahaven::http {

using response_handler = std::function<void(result<response>)>;

// A response as it arrives: a response_start, then any number of response_parts until
// one has complete_ set. A short response is complete in its start. An error in
// place of a part means that the response will never be complete.
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

// How a client tells which response belongs to a request, and where it ends.
struct response_rules {
    // Name of a header that the server copies from the request to the response. A
    // response with another value belongs to another request and is skipped; one
    // without the header is an error, unless the request has none. Empty: responses
    // are matched to requests by their order alone.
    std::string identity_header_;
    // A response without a stated length is complete when its connection is closed
    // cleanly. False: such a response is an error.
    bool close_delimited_ = false;

    friend bool operator==(const response_rules&, const response_rules&) = default;
};

// Sends requests to one address over a limited number of reused connections.
// Requests wait in a FIFO queue while all connections are busy.
class client {
public:
    // A request fails with 'unreachable' if none of its bytes were sent, so that it
    // can't have run, and with 'broken' otherwise. Without 'broken', 'unreachable'
    // stands for both.
    client(event_loop& loop, address to, std::size_t max_connections, error unreachable,
           std::optional<error> broken = {}, response_rules rules = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // The handler gets the response, or an error if no complete response came
    // within the timeout.
    void send(request r, duration timeout, response_handler h);
    // The same, with an id for cancel(): not zero, and no other open request's.
    void send(std::uint64_t request_id, request r, duration timeout, response_handler h);
    // The same, but a long response is passed on in parts as it arrives.
    void stream(std::uint64_t request_id, request r, duration timeout, stream_handler h);
    // Stop and continue reading a streamed response. While reading is stopped, TCP
    // flow control slows the server down.
    void pause(std::uint64_t request_id);
    void resume(std::uint64_t request_id);
    // Drops a request, and closes its connection if it was already sent. Its handler
    // is not called.
    void cancel(std::uint64_t request_id);

    // Requests that have no response yet, including those that wait for a connection.
    std::size_t in_flight() const;
    // Connections opened so far.
    std::uint64_t connects() const { return connects_; }

private:
    class connection;
    struct waiting_request {
        std::uint64_t request_id_ = 0; // 0: cannot be cancelled
        request request_;
        duration timeout_{};
        stream_handler handler_;
        bool in_parts_ = false;
    };

    connection* find(std::uint64_t request_id);
    std::string identity_of(const request& r) const;
    connection* idle_connection(const std::string& identity);
    bool close_idle_connection();
    void enqueue(waiting_request w);
    void start_next();
    void forget(connection& c);

    event_loop& loop_;
    runtime_clock clock_;
    address to_;
    std::size_t max_connections_;
    error unreachable_;
    error broken_;
    response_rules rules_;
    std::uint64_t connects_ = 0;
    std::vector<std::shared_ptr<connection>> connections_;
    std::vector<waiting_request> waiting_;
};

} // namespace guavahaven::http
