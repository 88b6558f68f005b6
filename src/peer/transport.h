#pragma once

// Connections to other daemons: one task that owns the listening socket and
// all links, and passes whole messages in and out.

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

// A message from a daemon, never a hello.
struct received {
    daemon_name from_;
    message message_;
};
// The connection to a daemon is gone or could not be opened.
struct lost {
    daemon_name daemon_;
    std::vector<decide::call_id> unsent_; // calls of which not a byte left this process
};
using event = std::variant<received, lost>;

class mesh {
public:
    mesh(event_loop& loop, metrics& counts, hello self, std::function<void(event)> handler);
    ~mesh();
    mesh(const mesh&) = delete;
    mesh& operator=(const mesh&) = delete;

    status listen(const http::address& at);

    // Sends over the newest connection with a daemon, or opens one. With fresh,
    // a new connection takes the place of the open one, which may be silent.
    void send(const daemon_name& to, const message& m, bool fresh = false);

private:
    struct bufferevent_deleter {
        void operator()(bufferevent* b) const { bufferevent_free(b); }
    };
    struct listener_deleter {
        void operator()(evconnlistener* l) const { evconnlistener_free(l); }
    };
    struct link {
        mesh& owner_;
        std::unique_ptr<bufferevent, bufferevent_deleter> stream_;
        daemon_name name_; // empty until an incoming link's hello has come
        bool outgoing_ = false;
        bool carries_calls_ = false;
        time_point used_; // when a message last went or came
        frame_reader reader_;
        bool connected_ = false;
        std::vector<decide::call_id> unsent_; // calls that wait for the connection to open
    };

    static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
    static void on_read(bufferevent*, void* at);
    static void on_event(bufferevent*, short what, void* at);

    link* open(const daemon_name& to);
    link* adopt(bufferevent* stream, const daemon_name& name, bool outgoing);
    void write(link& to, const message& m);
    void note_unsent(link& l, const message& m);
    void note_use(link& l, const message& m);
    void take(link& from, message m);
    void close(link* gone);
    void close_idle();

    event_loop& loop_;
    metrics& metrics_;
    hello self_;
    std::function<void(event)> handler_;
    std::unique_ptr<evconnlistener, listener_deleter> listener_;
    std::map<link*, std::unique_ptr<link>> links_;
    std::map<daemon_name, link*> by_name_; // the link to send over
    runtime_clock clock_;
    timer idle_timer_;
};

} // namespace guavahaven::peer
