#pragma once

// Sends and receives messages to and from other daemons. Owns the listening socket and
// all connections, and opens connections as they are needed.

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "base/event_loop.h"
#include "base/http.h"
#include "base/metrics.h"
#include "peer/message.h"

namespace guavahaven::peer {

// A message from another daemon; never a hello.
struct message_received {
    daemon_name from_;
    message message_;
};
// The connection to a daemon was closed or could not be opened.
struct connection_lost {
    daemon_name daemon_;
    std::vector<decide::call_id> unsent_; // calls of which no byte was sent
    bool replaced_ = false;               // a newer connection to the daemon is open
};
using event = std::variant<message_received, connection_lost>;

class transport {
public:
    transport(event_loop& loop, metrics& counts, hello self, std::function<void(event)> handler);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    status listen(const http::address& at);

    // Sends over the newest connection to a daemon, or opens one if there is none.
    // With reconnect, opens a new connection that replaces the present one, which may
    // have stopped responding.
    void send(const daemon_name& to, const message& m, bool reconnect = false);

private:
    struct bufferevent_deleter {
        void operator()(bufferevent* b) const { bufferevent_free(b); }
    };
    struct listener_deleter {
        void operator()(evconnlistener* l) const { evconnlistener_free(l); }
    };
    struct connection {
        transport& owner_;
        std::unique_ptr<bufferevent, bufferevent_deleter> stream_;
        daemon_name name_; // empty until the hello of an incoming connection has arrived
        bool outgoing_ = false;
        bool carried_calls_ = false;
        time_point last_used_; // when a message was last sent or received
        frame_reader reader_;
        bool connected_ = false;
        std::vector<decide::call_id> unsent_; // calls sent before the connection is open
    };

    static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
    static void on_read(bufferevent*, void* at);
    static void on_event(bufferevent*, short what, void* at);

    connection* open(const daemon_name& to);
    connection* add_connection(bufferevent* stream, const daemon_name& name, bool outgoing);
    void write(connection& to, const message& m);
    void record_unsent(connection& l, const message& m);
    void record_use(connection& l, const message& m);
    void handle(connection& from, message m);
    void close(connection* closed);
    void close_idle();

    event_loop& loop_;
    metrics& metrics_;
    hello self_;
    std::function<void(event)> handler_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
    std::map<connection*, std::unique_ptr<connection>> connections_;
    std::map<daemon_name, connection*> by_name_; // the connection to send over
    runtime_clock clock_;
    timer idle_timer_;
};

} // namespace guavahaven::peer
