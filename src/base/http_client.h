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

// What a client takes for the answer to a request.
struct response_rules {
    // A header that a server repeats from the request. A response with another
    // value belongs to another request and is passed over; a success without
    // it is none. Empty: responses are told apart by their order alone.
    std::string identity_header_;
    // A response without a stated length is whole if its connection ends cleanly.
    bool close_delimited_ = false;

    friend bool operator==(const response_rules&, const response_rules&) = default;
};

// Sends requests to one address over up to a bounded number of connections,
// each reused. Requests beyond wait in order.
class client {
public:
    // 'broken' is the error when bytes of the request were written, so that it
    // may have run; it is 'unreachable' too if not given.
    client(event_loop& loop, address to, std::size_t most_connections, error unreachable,
           std::optional<error> broken = {}, response_rules rules = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    // The handler gets the response, or the client's 'unreachable' error when
    // none or only part of one came within the timeout.
    void send(request r, duration timeout, response_handler h);
    // The same, with a ticket to cancel it by.
    void send(std::uint64_t ticket, request r, duration timeout, response_handler h);
    // The same, with the response passed on in parts if it is long.
    void stream(std::uint64_t ticket, request r, duration timeout, stream_handler h);
    // Stops and goes on reading a streamed response; the connection's own
    // buffers then hold back the sender.
    void pause(std::uint64_t ticket);
    void resume(std::uint64_t ticket);
    // Forgets a request, closing its connection if it is under way; its handler
    // is not called.
    void cancel(std::uint64_t ticket);

    std::size_t in_flight() const;
    // Connections opened so far.
    std::uint64_t connects() const { return connects_; }

private:
    class connection;
    struct waiting_request {
        std::uint64_t ticket_ = 0; // 0: cannot be cancelled
        request request_;
        duration timeout_{};
        stream_handler handler_;
        bool in_parts_ = false;
    };

    connection* find(std::uint64_t ticket);
    connection* idle_connection();
    void enqueue(waiting_request w);
    void start_next();
    void forget(connection& c);

    event_loop& loop_;
    runtime_clock clock_;
    address to_;
    std::size_t most_;
    error unreachable_;
    error broken_;
    response_rules rules_;
    std::uint64_t connects_ = 0;
    std::vector<std::shared_ptr<connection>> connections_;
    std::vector<waiting_request> waiting_;
};

} // namespace guavahaven::http
