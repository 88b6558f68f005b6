#pragma once

// One connection of an HTTP server: reads requests, and writes their answers
// in order.

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <deque>
#include <memory>

#include "base/http_server.h"

namespace guavahaven::http {

class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(server& owner, evutil_socket_t fd);
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    // Starts reading; the connection is held by a shared pointer by now.
    void begin();

    // Writes what has been given of the oldest answer, and goes on to the next.
    void flush();
    // Ends the connection; 'reset' shows the caller that an answer was cut short.
    void close(bool reset);

    bool busy() const { return !turns_.empty(); }
    bool writing() const { return stream_ && evbuffer_get_length(bufferevent_get_output(stream_)) > 0; }
    bool closing() const { return lingering_; }
    // Bytes of a request that is still arriving.
    std::size_t unfinished() const;
    // Since when the caller has been silent, or its request has been arriving.
    time_point since() const { return since_; }

private:
    static void on_read(bufferevent*, void* self);
    static void on_write(bufferevent*, void* self);
    static void on_event(bufferevent*, short what, void* self);

    void read();
    void take_request();
    void refuse(read_fault why);
    void dispatch();
    void linger();
    bool holds_back() const;

    server& owner_;
    bufferevent* stream_;
    message_reader reader_;
    std::deque<std::shared_ptr<detail::turn>> turns_; // the oldest first
    std::size_t dispatched_ = 0;                      // of turns_, from the front
    bool last_ = false;                               // no further requests are read
    bool lingering_ = false;                          // the last answer is out; waits for the caller's close
    time_point since_;
};

} // namespace guavahaven::http
