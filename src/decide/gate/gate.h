#pragma once

// The gate's decisions: whether a call runs on the backend server beside this
// daemon. It alone admits work there, so what it refuses has truly not run.
// Typed events in, typed actions out; the time is passed in.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "decide/gate/call_limiter.h"
#include "decide/gate/call_memory.h"
#include "decide/gate/call_queue.h"
#include "decide/gate/cold_rate_limiter.h"
#include "decide/gate/concurrency_limit.h"
#include "decide/gate/key_replica.h"
#include "decide/moves/version_stats_collector.h"
#include "decide/view.h"

namespace guavahaven::decide {

// The backend server's own announcement, repeated as a heartbeat.
struct backend_announced {
    service_name service_;
    version_name version_;
    std::uint32_t slots_ = 0;
    std::uint32_t connections_ = 0;
    bool draining_ = false;
    std::uint64_t start_ = 0; // differs between starts of the backend server; 0 if not announced
    std::string instance_{};  // its own name; empty if it has none
    // How much longer it is cold, if it says so; its slots then bound its runs.
    std::optional<duration> cold_left_{};
    bool older_ = false; // it was there before this daemon, and may have had requests from an earlier one
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
// The backend server says that it has not run the request.
struct run_refused {
    run_id run_;
    bool misdirected_ = false; // it is another instance than was meant
    friend bool operator==(const run_refused&, const run_refused&) = default;
};
// The connection broke before the whole answer came.
struct run_broken {
    run_id run_;
    friend bool operator==(const run_broken&, const run_broken&) = default;
};
// Another gate claims an idempotency key here, or answers a claim.
struct peer_gate_message {
    daemon_name from_;
    gate_to_gate message_;
    friend bool operator==(const peer_gate_message&, const peer_gate_message&) = default;
};
// The connection to another gate is gone, with whatever was under way on it.
struct peer_gate_lost {
    daemon_name gate_;
    friend bool operator==(const peer_gate_lost&, const peer_gate_lost&) = default;
};
struct gate_view_changed {
    view_ptr view_;
};
struct gate_tick {
    friend bool operator==(const gate_tick&, const gate_tick&) = default;
};
using gate_event = std::variant<backend_announced, backend_lost, stop_requested, call_message, run_answered,
                                run_continued, run_not_sent, run_refused, run_broken, peer_gate_message,
                                peer_gate_lost, gate_view_changed, gate_tick>;

// Give a request to the backend server.
struct start_run {
    run_id run_;
    call_id call_; // of the attempt that it runs for
    http::request request_;
    duration timeout_{};
    std::string instance_; // that is meant; empty if none was announced
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
struct send_to_peer_gate {
    daemon_name to_;
    gate_to_gate message_;
    bool fresh_connection_ = false; // do not trust the connection that is open
    friend bool operator==(const send_to_peer_gate&, const send_to_peer_gate&) = default;
};
// The backend server is gone until it announces itself again.
struct backend_down {
    friend bool operator==(const backend_down&, const backend_down&) = default;
};
using gate_action =
    std::variant<start_run, abort_run, pause_run, send_to_entry, send_to_peer_gate, backend_down>;
using gate_actions = std::vector<gate_action>;

class gate {
public:
    // started tells this process from earlier ones at the same address.
    gate(daemon_name self, incarnation started, data_center_name data_center, time_point now);

    gate_actions handle(const gate_event& event, time_point now);

    // True while calls run or wait here.
    bool busy() const;
    load_report load() const;
    // What its runs show of versions under a move.
    std::vector<evidence> collect_evidence(time_point now);
    // True if new work is taken, as far as this daemon itself is concerned.
    bool serving() const;

private:
    // A call whose key is being recorded at its homes, one after the other.
    struct claiming_call {
        held_call held_; // names the homes that were asked
        std::vector<daemon_name> homes_;
        std::size_t grants_ = 0;
        bool asked_again_ = false; // the last home, over a new connection
        time_point asked_{};
    };
    // An outcome that a home has not acknowledged.
    struct unnoted_outcome {
        daemon_name home_;
        key_outcome outcome_;
        time_point sent_{};
        std::uint32_t sends_ = 1;
    };

    void on(const backend_announced& e, time_point now);
    void on(const backend_lost& e, time_point now);
    void on(const stop_requested& e, time_point now);
    void on(const call_message& e, time_point now);
    void on(const run_answered& e, time_point now);
    void on(const run_continued& e, time_point now);
    void on(const run_not_sent& e, time_point now);
    void on(const run_refused& e, time_point now);
    void on(const run_broken& e, time_point now);
    void on(const peer_gate_message& e, time_point now);
    void on(const peer_gate_lost& e, time_point now);
    void on(const gate_view_changed& e, time_point now);
    void on(const gate_tick& e, time_point now);

    void take_call(const daemon_name& from, const call& c, time_point now);
    void take_cancel(const daemon_name& from, const cancel& c, time_point now);
    void take_progress(const daemon_name& from, const answer_taken& t);
    void keep_window(run_id run, held_call& held);
    void take_fence(const daemon_name& from, const fence& f, time_point now);
    // True if the attempt has come before, and has been dealt with.
    bool take_again(const call_key& key);
    // True if a request with the same identity is known, and has been dealt with.
    bool take_repeat(const call_key& key, const call& c, time_point now);

    // True if the backend server has room for one more run.
    bool has_room(time_point now) const;
    // Requests a second that it bears while cold.
    std::uint32_t cold_rate() const;
    // Runs at once that this rate comes to.
    std::uint32_t cold_limit() const;
    // True if calls for this version, or for any, may run on the backend server's.
    bool serves(const version_name& version) const;
    // Ends a run that was none; empty if it has ended already.
    std::optional<held_call> take_unrun(run_id run);
    // The same as lose_backend(), and other daemons are told.
    void note_down(time_point now);
    // No further request reaches it before it announces itself again.
    void lose_backend(time_point now);
    // True while operators have taken this data centre out.
    bool out() const;
    // The reason why a call is not admitted; code::ok if it is.
    code admission(const call& c) const;
    void divide_limits(time_point now);
    // Calls that are claiming, waiting or running here, of a class or of all.
    std::size_t held_count(const std::optional<class_name>& of) const;
    held_call make_held(const call_key& key, const call& c, time_point now) const;
    bool remember_once(const held_call& held);

    void claim_key(held_call held, time_point now);
    void ask_next_home(const call_key& key, time_point now);
    void ask_again(const call_key& key, time_point now);
    void ask(const claiming_call& c, bool fresh, time_point now);
    void take(const daemon_name& from, const key_claim& m, time_point now);
    void take(const daemon_name& from, const key_verdict& m, time_point now);
    void take(const daemon_name& from, const key_outcome& m, time_point now);
    void take(const daemon_name& from, const key_noted& m, time_point now);
    void take(const daemon_name& from, const crash_report& m, time_point now);
    void give_up_claim(const call_key& key, code why, int earlier_status, time_point now);
    void tend_claims(time_point now);
    void tell_homes(const held_call& held, bool ran, int status, time_point now);
    void tell_homes_again(time_point now);

    // A backend server died, or cut the connection, while this call ran there.
    void note_crash(const held_call& held, time_point now);
    code suspicion(const call& c) const;

    void enqueue(held_call held, time_point now);
    bool too_late(const held_call& held, time_point now) const;
    void start(held_call held, time_point now);
    void start_waiting(time_point now);
    void end_run(std::map<run_id, held_call>::iterator at, int status, time_point now);

    held_call* find_held(const call_key& key);
    std::map<run_id, held_call>::iterator find_running(const call_key& key);
    held_call* find_held_identity(const std::string& identity);

    // A call that was held and has surely not run; it never will.
    void refuse(const held_call& held, code why, time_point now, int earlier_status = 0);
    void refuse(const call_key& key, code why, time_point now, int earlier_status = 0);
    void withdraw(const held_call& held, time_point now);
    void answer_all(const held_call& held, const std::function<gate_to_entry(call_id)>& make);
    void send(const daemon_name& to, gate_to_entry message);

    daemon_name self_;
    incarnation started_;
    data_center_name data_center_;
    time_point made_;
    view_ptr view_;
    std::optional<backend_announced> backend_;
    bool stopping_ = false;
    concurrency_limit limit_;
    cold_pace pace_;
    bool cold_ = false;                 // by the pace, at the last event
    std::vector<held_call> broken_off_; // runs that may have crashed the backend server
    call_limiter limiter_;
    run_id last_run_;
    std::map<run_id, held_call> running_;
    call_queue waiting_;
    std::map<call_key, claiming_call> claiming_;
    std::vector<unnoted_outcome> unnoted_;
    call_memory calls_;
    key_memory keys_;
    evidence_book evidence_;
    key_registry registry_;
    suspects suspects_;
    std::uint64_t backend_start_ = 0; // of the backend server announced last
    gate_actions actions_;
};

} // namespace guavahaven::decide
