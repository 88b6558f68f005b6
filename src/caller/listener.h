#pragma once

// The task that talks to callers: takes their HTTP requests, feeds the entry's
// decisions, and carries answers back whole.

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/http.h"
#include "base/metrics.h"
#include "base/rate_limited_log.h"
#include "decide/entry/entry.h"

namespace guavahaven::caller {

class door {
public:
    // to_gate sends a message to a daemon's gate; with fresh, over a new connection.
    door(event_loop& loop, metrics& counts, decide::entry decisions,
         std::function<void(const daemon_name&, const decide::entry_to_gate&, bool fresh)> to_gate);

    status listen(const http::address& at);
    // Closes each connection with its next answer.
    void say_last() { stopping_ = true; }
    // Takes no further connections.
    void stop();
    // Bounds on requests that begin from now on.
    void limit(const decide::callers_rule& rule);

    void handle(const decide::entry_event& e);
    bool busy() const { return entry_.busy() || !server_.quiet(); }

private:
    struct open_exchange {
        std::shared_ptr<http::exchange> exchange_;
        std::uint64_t given_ = 0; // bytes of the body
    };

    http::response refuse(http::read_fault why);
    void take_request(const std::shared_ptr<http::exchange>& e);
    void apply(const decide::send_to_gate& a);
    void apply(const decide::reply& a);
    void apply(const decide::reply_part& a);
    void apply(const decide::reply_abort& a);
    void apply(const decide::request_ended& a);
    void log_sent(const daemon_name& to, const decide::call& c);
    void log_setback(const decide::gate_message& m);
    void give(decide::exchange_id id, open_exchange& to, const std::string& bytes);
    void tick();
    void arm();

    metrics& metrics_;
    runtime_clock clock_;
    decide::entry entry_;
    std::function<void(const daemon_name&, const decide::entry_to_gate&, bool)> to_gate_;
    http::server server_;
    std::map<decide::exchange_id, open_exchange> exchanges_;
    decide::exchange_id last_exchange_;
    bool stopping_ = false;
    // Failures have lines of their own, so that what goes well doesn't crowd them out.
    paced_log served_log_{"entry", served_lines_per_second};
    paced_log failed_log_{"entry", failed_lines_per_second};
    timer timer_;
    std::optional<time_point> armed_; // when the timer fires
};

} // namespace guavahaven::caller
