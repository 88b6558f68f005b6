#pragma once

// The entry (outbound proxy): picks the backend server for a caller's request, and
// retries or fails the request when the gate refuses it, the run fails or the gate
// does not respond. Typed events in, typed actions out; time and the random seed are
// passed in.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "decide/call.h"
#include "decide/caller_protocol.h"
#include "decide/entry/balancer.h"
#include "decide/entry/exposure_limit.h"
#include "decide/entry/retry_budget.h"
#include "decide/view.h"

namespace guavahaven::decide {

// One caller's request at this entry.
using exchange_id = strong_number<struct exchange_tag>;

struct caller_request {
    exchange_id exchange_;
    http::request request_;
    friend bool operator==(const caller_request&, const caller_request&) = default;
};
struct caller_gone {
    exchange_id exchange_;
    friend bool operator==(const caller_gone&, const caller_gone&) = default;
};
// The caller has read this many bytes of the body so far.
struct caller_consumed {
    exchange_id exchange_;
    std::uint64_t bytes_ = 0;
    friend bool operator==(const caller_consumed&, const caller_consumed&) = default;
};
struct gate_message {
    daemon_name from_;
    gate_to_entry message_;
    friend bool operator==(const gate_message&, const gate_message&) = default;
};
// The connection to a daemon was lost, with all messages in transit on it.
struct gate_disconnected {
    daemon_name gate_;
    bool replaced_ = false; // a newer connection to that daemon is open
    friend bool operator==(const gate_disconnected&, const gate_disconnected&) = default;
};
struct entry_view_changed {
    view_ptr view_;
};
// The daemon is told to stop. From notice_end_ on, a request is taken only if its deadline is not after end_;
// what is still open at end_ is answered then.
struct entry_stop {
    time_point notice_end_;
    time_point end_;
    friend bool operator==(const entry_stop&, const entry_stop&) = default;
};
struct entry_tick {
    friend bool operator==(const entry_tick&, const entry_tick&) = default;
};
using entry_event = std::variant<caller_request, caller_gone, caller_consumed, gate_message,
                                 gate_disconnected, entry_view_changed, entry_stop, entry_tick>;

struct send_to_gate {
    daemon_name to_;
    entry_to_gate message_;
    bool fresh_connection_ = false; // send over a new connection: the open one may be dead
    friend bool operator==(const send_to_gate&, const send_to_gate&) = default;
};
// Answers the caller; if not complete_, reply_parts follow.
struct reply {
    exchange_id exchange_;
    http::response response_;
    bool complete_ = true;
    friend bool operator==(const reply&, const reply&) = default;
};
struct reply_part {
    exchange_id exchange_;
    std::string bytes_;
    bool complete_ = false;
    friend bool operator==(const reply_part&, const reply_part&) = default;
};
// Breaks off the answer so that the caller sees that it is incomplete.
struct reply_abort {
    exchange_id exchange_;
    friend bool operator==(const reply_abort&, const reply_abort&) = default;
};
// How a request ended, for the metrics of its class.
struct request_ended {
    std::string identity_;
    std::string route_;
    service_name service_;
    version_name version_;
    daemon_name gate_; // of the last attempt; empty if there was none
    std::uint32_t attempts_ = 0;
    int status_ = 0; // of the answer; 0 if none was given
    configuration_number configuration_;
    class_name class_;
    code code_ = code::ok;
    duration took_{};
    friend bool operator==(const request_ended&, const request_ended&) = default;
};
using entry_action = std::variant<send_to_gate, reply, reply_part, reply_abort, request_ended>;
using entry_actions = std::vector<entry_action>;

class entry {
public:
    entry(daemon_name self, incarnation started, data_center_name data_center, std::uint64_t seed,
          caller_protocol protocol = {});

    entry_actions handle(const entry_event& event, time_point now);

    bool busy() const { return !requests_.empty(); }
    const caller_protocol& protocol() const { return protocol_; }

    // The balancer that picks the gates.
    const balancer& known_gates() const { return balancer_; }

    // When the next entry_tick is due; empty if no request is open.
    std::optional<time_point> next_due() const;

private:
    struct request_state {
        exchange_id exchange_;
        call call_; // of the current attempt
        time_point started_;
        time_point deadline_;
        time_point due_;
        daemon_name gate_;
        std::uint32_t sends_ = 0;
        time_point sent_;
        std::uint32_t retries_ = 0;      // after attempts that cost a gate or backend server work
        std::uint32_t max_attempts_ = 0; // backend servers that the request may reach
        std::uint32_t redirects_ = 0;    // after refusals that cost no work; they spend no retry
        bool received_ = false;          // the gate has acknowledged it
        bool fenced_ = false;
        bool ran_ = false;               // the gate has replied that the run has ended
        bool connection_lost_ = false;   // a connection to the gate was lost after the attempt was sent
        bool expired_ = false;           // past its deadline; only the reply to a fence is awaited
        bool maybe_ran_ = false;         // an earlier attempt may have run
        bool answering_ = false;         // the answer, or its first part, went to the caller
        int status_ = 0;                 // of that answer
        std::uint64_t bytes_passed_ = 0; // bytes of the body sent to the caller
        std::set<daemon_name> tried_;
    };

    void on(const caller_request& e, time_point now);
    void on(const caller_gone& e, time_point now);
    void on(const caller_consumed& e, time_point now);
    void on(const gate_message& e, time_point now);
    void on(const gate_disconnected& e, time_point now);
    void on(const entry_view_changed& e, time_point now);
    void on(const entry_stop& e, time_point now);
    void on(const entry_tick& e, time_point now);

    void receive(request_state& r, const call_ack& m, time_point now);
    void receive(request_state& r, const answer& m, time_point now);
    void receive(request_state& r, const answer_part& m, time_point now);
    void receive(request_state& r, const refusal& m, time_point now);
    void receive(request_state& r, const run_failure& m, time_point now);
    void receive(request_state& r, const fence_reply& m, time_point now);
    void receive(request_state& r, const body_grant& m, time_point now);

    service_name choose_service(const route_rule& route);
    version_name choose_version(const service_name& service);
    // The move of this service that has begun and is not done; null if there is none.
    const move_rule* open_move(const service_name& service) const;
    // The exposure limit of a request's service; null if none is set now.
    exposure_limit* exposure_limit_of(const request_state& r);
    // True if the move's exposure limit leaves room for one more call to its version.
    bool may_expose(const move_rule& move) const;
    // A call to the version of an open move goes to the version of the service rule once the limit is
    // reached.
    void apply_exposure_limit(request_state& r) const;
    // From now on the request may go to the version of the service rule alone. False if the configuration has
    // removed the service since the request came, and no instance of it is known.
    bool use_rule_version(request_state& r) const;
    // Starts and drops the exposure limits with the moves in the view.
    void update_exposure_limits();
    // Random Retry-After time for a request that has not run.
    duration retry_after();
    double reserve_per_daemon(std::uint32_t reserve) const;
    // At least 1.
    std::size_t alive_daemons() const;
    // The service beside this daemon; empty if none is known.
    std::string own_service() const;
    std::optional<daemon_name> choose_gate(request_state& r, time_point now);
    void attempt(request_state& r, time_point now, code last_failure);
    void send_attempt(request_state& r, const daemon_name& gate, time_point now);
    // The call as it is sent: without a body that the gate asks for in parts.
    call outgoing_call(request_state& r) const;
    void close_attempt(request_state& r, attempt_end how, time_point now);
    // After an attempt that has surely not run.
    void try_elsewhere(request_state& r, time_point now, code why);
    // After an attempt that may have run.
    void handle_unknown_outcome(request_state& r, time_point now, code why);
    void reply_duplicate(request_state& r, time_point now, int earlier_status);
    bool needs_fence(const request_state& r, time_point now) const;
    // True if the retry rule, the budget and the deadline allow one more retry.
    bool may_spend_retry(const request_state& r, time_point now) const;
    // Spends a retry if the retry rule, the budget and the deadline allow one.
    bool try_spend_retry(request_state& r, time_point now);
    void send_fence(request_state& r, time_point now);
    // A connection to the gate was lost that a newer one has replaced.
    void handle_replaced_connection(request_state& r, time_point now);
    // The gate has not acknowledged the attempt, or not replied to its fence.
    void handle_silence(request_state& r, time_point now);
    // True if the gate's process has ended or can't be reached, as far as membership knows.
    bool gate_lost(const request_state& r) const;
    // Ends a request at its deadline, or at the end of a stop.
    void expire(request_state& r, time_point now);
    // True if a stop leaves no time for a request with this deadline.
    bool too_late_to_take(time_point deadline, time_point now) const;
    bool stop_ended(time_point now) const { return stop_ && now >= stop_->end_; }
    void fail(request_state& r, time_point now, code why);
    void abort_reply(request_state& r, time_point now);
    void end(request_state& r, time_point now, code result, int status);
    void schedule(request_state& r, time_point due);

    daemon_name self_;
    incarnation started_;
    random_engine random_;
    caller_protocol protocol_;
    view_ptr view_;
    std::optional<entry_stop> stop_;
    balancer balancer_;
    std::map<service_name, retry_budget> budgets_;
    std::map<move_id, exposure_limit> exposures_;
    // The longest timeout that a caller of each class has asked for. A caller that asks
    // for less is taken to have spent the difference on earlier tries.
    std::map<class_name, duration> longest_timeouts_;
    std::uint64_t last_sequence_ = 0;
    std::map<exchange_id, request_state> requests_;
    std::map<call_id, exchange_id> attempts_; // open attempts
    std::set<std::pair<time_point, exchange_id>> due_;
    entry_actions actions_;
};

} // namespace guavahaven::decide
