#pragma once

// One connection of an HTTP server: reads requests, including pipelined ones, and
// writes the answers in the order of the requests.

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

    // Starts reading. The connection must be owned by a shared_ptr by then.
    void begin();

    // Writes what there is of the oldest answer; when that is complete, goes on with the next.
    void flush();
    // Closes the connection. With reset, by a TCP reset, which shows the caller that
    // the answer is incomplete.
    void close(bool reset);

    bool busy() const { return !pipeline_.empty(); }
    bool writing() const { return stream_ && evbuffer_get_length(bufferevent_get_output(stream_)) > 0; }
    bool closing() const { return lingering_; }
    // True if no request is open or arriving and all answers were passed to the operating system.
    bool idle() const { return !busy() && !writing() && !lingering_ && unfinished() == 0; }
    // True if the connection is to close after the answer to this request, one that the handler has got.
    bool closes_after(const detail::pending_response& r) const;
    // Bytes received so far of a request that has not arrived completely.
    std::size_t unfinished() const;
    // When the last request arrived or the last answer was written; the idle and
    // arrival timeouts start here.
    time_point since() const { return since_; }

private:
    static void on_read(bufferevent*, void* self);
    static void on_write(bufferevent*, void* self);
    static void on_event(bufferevent*, short what, void* self);

    void read();
    void add_request();
    void refuse(read_fault why);
    void dispatch();
    void linger();
    bool pipeline_full() const;

    server& owner_;
    bufferevent* stream_;
    message_reader reader_;
    std::deque<std::shared_ptr<detail::pending_response>> pipeline_; // oldest first
    std::size_t dispatched_ = 0; // how many of pipeline_, from the front, the handler has got
    bool stop_reading_ = false;  // no further requests are read; input is discarded
    bool lingering_ = false;     // the last answer was given; waits for the caller to close
    time_point since_;
};

} // namespace guavahaven::http
