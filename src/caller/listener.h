#pragma once

// The HTTP server for callers (outbound side of the sidecar proxy): passes their requests to the entry, which
// decides what to do with them, carries out its decisions and writes the responses.

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/http.h"
#include "base/metrics.h"
#include "base/rate_limited_log.h"
#include "decide/entry/entry.h"

namespace guavahaven::caller {

class listener {
public:
    // send_to_gate sends a message to a daemon's gate, over a new connection if fresh_connection is set.
    listener(event_loop& loop, metrics& counts, decide::entry decisions,
             std::function<void(const daemon_name&, const decide::entry_to_gate&, bool fresh_connection)>
                 send_to_gate);

    status listen(const http::address& at);
    // From now on closes each connection after its next response. Requests are still accepted: all until the
    // notice is over, then those that end in time (see decide::entry_stop).
    void begin_stop(const decide::entry_stop& stop);
    void close_idle_connections() { server_.close_idle(); }
    // Sets the limits for requests that begin from now on. Time limits never go below the built-in defaults.
    void apply_limits(const decide::callers_rule& rule);

    void handle(const decide::entry_event& e);
    bool busy() const { return entry_.busy() || !server_.quiet(); }

private:
    struct open_exchange {
        std::shared_ptr<http::exchange> exchange_;
        std::uint64_t body_bytes_sent_ = 0; // bytes of the body so far
    };

    http::response reject_unreadable(http::read_fault why);
    void handle_request(const std::shared_ptr<http::exchange>& e);
    void apply(const decide::send_to_gate& a);
    void apply(const decide::reply& a);
    void apply(const decide::reply_part& a);
    void apply(const decide::reply_abort& a);
    void apply(const decide::request_ended& a);
    void log_attempt(const daemon_name& to, const decide::call& c);
    void log_doubted_attempt(const decide::send_to_gate& a);
    void log_failed_attempt(const decide::gate_message& m);
    void write_body(decide::exchange_id id, open_exchange& to, const std::string& bytes);
    void tick();
    void arm_timer();

    metrics& metrics_;
    runtime_clock clock_;
    decide::entry entry_;
    std::function<void(const daemon_name&, const decide::entry_to_gate&, bool)> send_to_gate_;
    http::server server_;
    std::map<decide::exchange_id, open_exchange> exchanges_;
    decide::exchange_id last_exchange_;
    // Failures have a rate limit of their own, so that lines about successful requests don't displace them.
    rate_limited_log served_log_{"entry", max_served_lines_per_second};
    rate_limited_log failed_log_{"entry", max_failed_lines_per_second};
    timer timer_;
    std::optional<time_point> timer_due_; // when the timer fires; empty if it is not armed
};

} // namespace guavahaven::caller
