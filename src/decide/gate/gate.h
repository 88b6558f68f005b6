#pragma once

// The gate is the inbound proxy with admission control: it decides whether a call runs on the backend
// server beside this daemon. All work reaches that server through it, so a call that it refuses has not run.
// A pure state machine: events in, actions out, and the time is an argument.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "decide/gate/body_receiver.h"
#include "decide/gate/call_limiter.h"
#include "decide/gate/call_memory.h"
#include "decide/gate/call_queue.h"
#include "decide/gate/cold_rate_limiter.h"
#include "decide/gate/concurrency_limit.h"
#include "decide/gate/key_replica.h"
#include "decide/gate/stated_rate_limiter.h"
#include "decide/moves/version_stats_collector.h"
#include "decide/view.h"

namespace guavahaven::decide {

// The backend server's registration, repeated as a heartbeat.
struct backend_announced {
    service_name service_;
    version_name version_;
    std::uint32_t slots_ = 0;       // requests that it processes at once
    std::uint32_t connections_ = 0; // connections that it accepts
    bool draining_ = false;
    std::uint64_t start_ = 0; // differs between starts of the backend server; 0 if not announced
    std::string instance_{};  // its instance name; empty if not announced
    // Time until it is warm; zero if it is warm, empty if not announced. If announced, slots_ is the
    // concurrency limit; otherwise the gate adapts the limit.
    std::optional<duration> cold_left_{};
    bool predates_daemon_ = false; // started before this daemon; a previous daemon may have sent it requests
    friend bool operator==(const backend_announced&, const backend_announced&) = default;
};
// What the backend server states of itself in an answer: the requests a second that it takes, empty if it
// sets no limit.
struct backend_stated_limit {
    std::optional<double> per_second_;
    friend bool operator==(const backend_stated_limit&, const backend_stated_limit&) = default;
};
// The heartbeat timed out, or the backend server's address refuses connections.
struct backend_lost {
    friend bool operator==(const backend_lost&, const backend_lost&) = default;
};
// Graceful shutdown: accept no new calls and finish those that run.
struct stop_requested {
    friend bool operator==(const stop_requested&, const stop_requested&) = default;
};
// A message from an entry.
struct call_message {
    daemon_name from_;
    entry_to_gate message_;
    friend bool operator==(const call_message&, const call_message&) = default;
};
// The backend server's response, or its head and first part; run_continued brings the rest of the body.
struct run_answered {
    run_id run_;
    http::response response_;
    bool complete_ = true; // false: run_continued follows
    friend bool operator==(const run_answered&, const run_answered&) = default;
};
struct run_continued {
    run_id run_;
    std::string bytes_;
    bool complete_ = false;
    friend bool operator==(const run_continued&, const run_continued&) = default;
};
// No connection to the backend server could be opened, so nothing was sent.
struct run_not_sent {
    run_id run_;
    friend bool operator==(const run_not_sent&, const run_not_sent&) = default;
};
// The backend server refused the request and states that it has not run it.
struct run_refused {
    run_id run_;
    bool misdirected_ = false; // another instance than the intended one answered
    friend bool operator==(const run_refused&, const run_refused&) = default;
};
// The connection broke, or the run timed out, before the response was complete; the request may have run.
struct run_broken {
    run_id run_;
    friend bool operator==(const run_broken&, const run_broken&) = default;
};
// A message from another gate: idempotency keys and crash reports.
struct peer_gate_message {
    daemon_name from_;
    gate_to_gate message_;
    friend bool operator==(const peer_gate_message&, const peer_gate_message&) = default;
};
// The connection to another gate closed; messages in flight on it may be lost.
struct peer_gate_disconnected {
    daemon_name gate_;
    friend bool operator==(const peer_gate_disconnected&, const peer_gate_disconnected&) = default;
};
struct gate_view_changed {
    view_ptr view_;
};
struct gate_tick {
    friend bool operator==(const gate_tick&, const gate_tick&) = default;
};
using gate_event =
    std::variant<backend_announced, backend_stated_limit, backend_lost, stop_requested, call_message,
                 run_answered, run_continued, run_not_sent, run_refused, run_broken, peer_gate_message,
                 peer_gate_disconnected, gate_view_changed, gate_tick>;

// Sends a request to the backend server.
struct start_run {
    run_id run_;
    call_id call_; // the attempt that it runs for, for log lines
    http::request request_;
    duration timeout_{};
    std::string instance_; // the intended instance; empty if none was announced
    friend bool operator==(const start_run&, const start_run&) = default;
};
// Cancels the request at the backend server.
struct abort_run {
    run_id run_;
    friend bool operator==(const abort_run&, const abort_run&) = default;
};
// Stops (or resumes) reading the response, for flow control.
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
    bool fresh_connection_ = false; // open a new connection, as the existing one may be dead
    friend bool operator==(const send_to_peer_gate&, const send_to_peer_gate&) = default;
};
// Tells the rest of the daemon that there is no backend server here until it announces itself again.
struct mark_backend_down {
    friend bool operator==(const mark_backend_down&, const mark_backend_down&) = default;
};
using gate_action =
    std::variant<start_run, abort_run, pause_run, send_to_entry, send_to_peer_gate, mark_backend_down>;
using gate_actions = std::vector<gate_action>;

class gate {
public:
    // 'started' distinguishes this process from earlier ones at the same address.
    gate(daemon_name self, incarnation started, data_center_name data_center, time_point now,
         double link_bytes_per_second = default_link_bytes_per_second);

    gate_actions handle(const gate_event& event, time_point now);

    // True while any call is receiving its body, claiming its key, waiting or running.
    bool busy() const;
    load_report load() const;
    // Cumulative statistics of the runs of a version under a move (rollout), by which the move is judged.
    std::vector<version_stats> collect_version_stats(time_point now);
    // True if a backend server is present and neither it nor this daemon is draining.
    bool serving() const;

private:
    // A call whose idempotency key is being claimed at the key's replicas, one after the other.
    struct claiming_call {
        held_call held_; // its replicas_ are those asked so far, the last of them at asked_at_
        std::vector<daemon_name> replicas_; // all replicas of the key, in the order of asking
        std::size_t grants_ = 0;
        bool retried_ = false; // the last replica was asked a second time, over a new connection
        time_point asked_at_{};
    };
    // An outcome that a replica has not acknowledged yet.
    struct unacknowledged_outcome {
        daemon_name replica_;
        key_outcome outcome_;
        time_point sent_{};
        std::uint32_t sends_ = 1;
    };

    void on(const backend_announced& e, time_point now);
    void on(const backend_stated_limit& e, time_point now);
    void on(const backend_lost& e, time_point now);
    void on(const stop_requested& e, time_point now);
    void on(const call_message& e, time_point now);
    void on(const run_answered& e, time_point now);
    void on(const run_continued& e, time_point now);
    void on(const run_not_sent& e, time_point now);
    void on(const run_refused& e, time_point now);
    void on(const run_broken& e, time_point now);
    void on(const peer_gate_message& e, time_point now);
    void on(const peer_gate_disconnected& e, time_point now);
    void on(const gate_view_changed& e, time_point now);
    void on(const gate_tick& e, time_point now);

    void handle_call(const daemon_name& from, const call& c, time_point now);
    void handle_cancel(const daemon_name& from, const cancel& c, time_point now);
    void handle_body_part(const daemon_name& from, const body_part& p, time_point now);
    void handle_answer_progress(const daemon_name& from, const answer_consumed& t);
    // Updates flow control of a run's response, and pauses or resumes reading it.
    void update_window(run_id run, held_call& held);
    void handle_fence(const daemon_name& from, const fence& f, time_point now);
    // Answers an attempt that this gate has received before. False if it is new.
    bool handle_known_attempt(const call_key& key);
    // Answers a request whose identity has a record here: attaches it to the run under way or refuses it.
    // False if it is new.
    bool handle_known_request(const call_key& key, const call& c, time_point now);

    // True if one more run may start now.
    bool has_room(time_point now) const;
    // Requests a second that may start while the backend server is cold.
    std::uint32_t cold_rate() const;
    // Requests a second that may start now; empty if only their number at once is limited.
    std::optional<double> rate_limit() const;
    // The concurrency that this rate amounts to, at the mean run time.
    // Runs at once that the limits on their number and on their rate allow.
    std::uint32_t rate_bound_concurrency() const;
    // True if a call for this version (or for any version) may run on the backend server's version.
    bool serves(const version_name& version) const;
    // Removes a run whose request was not executed; empty if the run has ended already.
    std::optional<held_call> remove_unexecuted_run(run_id run);
    // Like clear_backend(), and has the daemon announce that no backend server is here.
    void mark_down(time_point now);
    // Sends no further requests until the backend server announces itself again; refuses the waiting calls.
    void clear_backend(time_point now);
    // True while operators have taken this data centre out.
    bool out() const;
    // The reason to refuse a call; code::ok if it is admitted.
    code check_admission(const call& c) const;
    void divide_limits(time_point now);
    // Calls that are receiving, claiming, waiting or running here, of one class or of all.
    std::size_t held_count(const std::optional<class_name>& of) const;
    held_call make_held(const call_key& key, const call& c, time_point now) const;
    // Records the request's identity before its run. False if the records are full.
    bool record_identity(const held_call& held);

    void claim_key(held_call held, time_point now);
    void ask_next_replica(const call_key& key, time_point now);
    void retry_claim(const call_key& key, time_point now);
    void send_claim(const claiming_call& c, bool fresh, time_point now);
    void receive(const daemon_name& from, const key_claim& m, time_point now);
    void receive(const daemon_name& from, const key_claim_reply& m, time_point now);
    void receive(const daemon_name& from, const key_outcome& m, time_point now);
    void receive(const daemon_name& from, const key_outcome_ack& m, time_point now);
    void receive(const daemon_name& from, const crash_report& m, time_point now);
    void give_up_claim(const call_key& key, code why, int earlier_status, time_point now);
    void check_claim_timeouts(time_point now);
    void notify_replicas(const held_call& held, bool ran, int status, time_point now);
    void resend_outcomes(time_point now);

    // Reports to the gates of the service that a backend server crashed while this call ran on it.
    void record_crash(const held_call& held, time_point now);
    // The reason to refuse a request suspected of crashing backend servers; code::ok if there is none.
    code check_suspect(const call& c) const;

    // Asks the entries for the next parts of the bodies that are being received.
    void grant_body_parts(time_point now);
    // Claims the key of a call that has arrived whole, or has it wait for a slot.
    void claim_or_enqueue(held_call held, time_point now);
    void enqueue(held_call held, time_point now);
    // True if the call would probably not finish in time, so that it is refused early.
    bool too_late(const held_call& held, time_point now) const;
    void start(held_call held, time_point now);
    void start_waiting(time_point now);
    void end_run(std::map<run_id, held_call>::iterator at, int status, time_point now);

    held_call* find_held(const call_key& key);
    std::map<run_id, held_call>::iterator find_running(const call_key& key);
    held_call* find_held_identity(const std::string& identity);

    // Refuses the calls that wait for a slot or for their body.
    void refuse_waiting(code why, time_point now);
    // Refuses a call that has not run and never will.
    void refuse(const held_call& held, code why, time_point now, int earlier_status = 0);
    void refuse(const call_key& key, code why, time_point now, int earlier_status = 0);
    // Records that a held call has not run and never will, and releases its identity.
    void withdraw(const held_call& held, time_point now);
    void answer_all(const held_call& held, const std::function<gate_to_entry(call_id)>& make);
    void send(const daemon_name& to, gate_to_entry message);

    daemon_name self_;
    incarnation started_;
    data_center_name data_center_;
    time_point created_at_;
    view_ptr view_;
    std::optional<backend_announced> backend_;
    bool stopping_ = false;
    concurrency_limit limit_;
    cold_rate_limiter cold_limiter_;
    stated_rate_limiter stated_limiter_;
    bool cold_ = false; // cold_limiter_.cold() as of the last event
    // Broken runs of which it is open whether the backend server crashed.
    std::vector<held_call> possible_crashes_;
    call_limiter limiter_;
    run_id last_run_;
    std::map<run_id, held_call> running_;
    body_receiver bodies_;
    call_queue waiting_;
    std::map<call_key, claiming_call> claiming_;
    std::vector<unacknowledged_outcome> unacknowledged_;
    finished_attempts finished_attempts_;
    idempotency_records records_;
    version_stats_collector evidence_;
    key_replica_store key_replica_;
    crash_suspects crash_suspects_;
    std::uint64_t backend_start_ = 0; // start_ of the backend server announced last
    gate_actions actions_;
};

} // namespace guavahaven::decide
