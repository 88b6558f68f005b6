#pragma once

// The open connections of an HTTP server, and bounds on what all of them
// together may cost: how many, how many bytes of unfinished requests, and how
// long a request may take to arrive. evhttp keeps none of these bounds.

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <list>
#include <memory>

#include "base/event_loop.h"

namespace guavahaven::http {

class exchange;

// Bounds on what a server takes from its callers.
struct server_limits {
    std::size_t header_bytes_ = 16 * 1024;
    std::size_t body_bytes_ = 1024 * 1024;
    std::chrono::seconds idle_{60};
    std::size_t connections_ = 1024;
    std::size_t unfinished_bytes_ = 64 * 1024 * 1024; // of requests that are still arriving
    std::chrono::milliseconds arrival_{10'000};       // from a request's first byte to its last
};

class connections {
public:
    connections(event_loop& loop, const server_limits& limits);
    ~connections();
    connections(const connections&) = delete;
    connections& operator=(const connections&) = delete;

    // The stream of a connection that is about to be accepted.
    bufferevent* open(event_base* base);
    // A request has arrived whole on a connection.
    void arrived(bufferevent* stream, const std::shared_ptr<exchange>& e);
    // True if no request is being answered and no answer is waiting to be written.
    bool quiet() const;

private:
    struct connection {
        connections& owner_;
        bufferevent* stream_;
        evbuffer_cb_entry* counter_ = nullptr;
        std::size_t bytes_ = 0; // of a request that is still arriving
        time_point since_;      // of its first byte, or of the last request
        std::weak_ptr<exchange> exchange_;
        bool closing_ = false;

        bool busy() const;
        bool gone() const;
    };

    static void grown(evbuffer*, const evbuffer_cb_info* info, void* at);
    void sweep();
    void release_gone();
    void drop_deserted();
    void close_late();
    void close_surplus();
    void close(connection& c);
    std::size_t live() const;

    event_loop& loop_;
    server_limits limits_;
    runtime_clock clock_;
    std::list<connection> all_; // in the order of their opening
    std::size_t bytes_ = 0;     // of all requests that are still arriving
    timer timer_;
};

} // namespace guavahaven::http
