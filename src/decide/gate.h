#pragma once

// The gate's decisions: whether a call runs on the backend server beside this
// daemon. It alone admits work there, so what it refuses has truly not run.
// Typed events in, typed actions out; the time is passed in.

#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "decide/call.h"
#include "decide/flow_window.h"
#include "decide/view.h"

namespace guavahaven::decide {

// One request given to the backend server; unique within this gate.
using run_id = strong_number<struct run_tag>;

// The backend server's own announcement, repeated as a heartbeat.
struct backend_announced {
    service_name service_;
    version_name version_;
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;
    bool draining_ = false;
    friend bool operator==(const backend_announced&, const backend_announced&) = default;
};
// No announcement came for too long, or its address refuses connections.
struct backend_lost {
    friend bool operator==(const backend_lost&, const backend_lost&) = default;
};
// The daemon is to stop: no new work, finish what runs.
struct stop_requested {
    friend bool operator==(const stop_requested&, const stop_requested&) = default;
};
struct call_message {
    daemon_name from_;
    entry_to_gate message_;
    friend bool operator==(const call_message&, const call_message&) = default;
};
// The backend server's answer, whole or in parts.
struct run_answered {
    run_id run_;
    http::response response_;
    bool complete_ = true;
    friend bool operator==(const run_answered&, const run_answered&) = default;
};
struct run_continued {
    run_id run_;
    std::string bytes_;
    bool complete_ = false;
    friend bool operator==(const run_continued&, const run_continued&) = default;
};
// No connection could be opened, so that nothing was sent.
struct run_not_sent {
    run_id run_;
    friend bool operator==(const run_not_sent&, const run_not_sent&) = default;
};
// The connection broke before the whole answer came.
struct run_broken {
    run_id run_;
    friend bool operator==(const run_broken&, const run_broken&) = default;
};
struct gate_view_changed {
    view_ptr view_;
};
struct gate_tick {
    friend bool operator==(const gate_tick&, const gate_tick&) = default;
};
using gate_event = std::variant<backend_announced, backend_lost, stop_requested, call_message, run_answered,
                                run_continued, run_not_sent, run_broken, gate_view_changed, gate_tick>;

// Give a request to the backend server.
struct start_run {
    run_id run_;
    http::request request_;
    duration timeout_{};
    friend bool operator==(const start_run&, const start_run&) = default;
};
// Cancel it there.
struct abort_run {
    run_id run_;
    friend bool operator==(const abort_run&, const abort_run&) = default;
};
// Stop reading its answer, or go on.
struct pause_run {
    run_id run_;
    bool paused_ = true;
    friend bool operator==(const pause_run&, const pause_run&) = default;
};
struct send_to_entry {
    daemon_name to_;
    gate_to_entry message_;
    friend bool operator==(const send_to_entry&, const send_to_entry&) = default;
};
using gate_action = std::variant<start_run, abort_run, pause_run, send_to_entry>;
using gate_actions = std::vector<gate_action>;

class gate {
public:
    explicit gate(data_center_name data_center);

    gate_actions handle(const gate_event& event, time_point now);

    // True while calls run or wait here.
    bool busy() const;
    load_report load() const;
    // True if new work is taken, as far as this daemon itself is concerned.
    bool serving() const;

private:
    struct held_call {
        daemon_name from_;
        call call_;
        time_point deadline_;
        flow_window window_; // of its answer
    };
    // What is remembered of a call that must not run twice.
    struct remembered {
        call_id id_;
        time_point until_;
    };

    void on(const backend_announced& e, time_point now);
    void on(const backend_lost& e, time_point now);
    void on(const stop_requested& e, time_point now);
    void on(const call_message& e, time_point now);
    void on(const run_answered& e, time_point now);
    void on(const run_continued& e, time_point now);
    void on(const run_not_sent& e, time_point now);
    void on(const run_broken& e, time_point now);
    void on(const gate_view_changed& e, time_point now);
    void on(const gate_tick& e, time_point now);

    void take_call(const daemon_name& from, const call& c, time_point now);
    void take_cancel(const daemon_name& from, const cancel& c);
    void take_progress(const daemon_name& from, const answer_taken& t);
    void keep_window(run_id run, held_call& held);
    void take_fence(const daemon_name& from, const fence& f, time_point now);

    // The reason why a call is not admitted; code::ok if it is.
    code admission(const call& c) const;
    void start(held_call held, time_point now);
    void start_waiting(time_point now);
    void end_run(std::map<run_id, held_call>::iterator at, time_point now);
    void refuse(const daemon_name& to, call_id id, code why);
    void send(const daemon_name& to, gate_to_entry message);
    void shrink_limit();
    void grow_limit();
    void forget(time_point now);

    data_center_name data_center_;
    view_ptr view_;
    std::optional<backend_announced> backend_;
    bool stopping_ = false;
    double limit_ = 0; // calls at once
    run_id last_run_;
    std::map<run_id, held_call> running_;
    std::deque<held_call> waiting_;
    std::map<std::string, remembered> identities_;
    std::map<call_id, time_point> fenced_; // ids that must not run any more, with when to forget them
    gate_actions actions_;
};

} // namespace guavahaven::decide
