#pragma once

// Messages between the entry (outbound proxy: the daemon where a request enters) and
// the gate (inbound proxy with admission control: the daemon beside the backend server
// that runs it). Both may be the same process.

#include <cstdint>
#include <string>
#include <variant>

#include "base/http.h"
#include "base/result.h"
#include "decide/identifiers.h"

namespace guavahaven::decide {

// Identifies one attempt of one request: the entry's incarnation and a counter, unique
// within the entry. Each message about the attempt carries it.
struct call_id {
    incarnation entry_;
    std::uint64_t sequence_ = 0;

    friend auto operator<=>(const call_id&, const call_id&) = default;
};

// The form in log lines; the same at entry and gate, so that their lines can be joined.
inline std::string to_string(const call_id& id)
{
    return std::to_string(id.entry_.value()) + "-" + std::to_string(id.sequence_);
}

// The load of a gate's backend server, sent with each answer, refusal and failure.
struct load_report {
    std::uint32_t in_flight_ = 0;
    std::uint32_t queued_ = 0;
    std::uint32_t limit_ = 0; // concurrent requests that the gate admits now

    friend bool operator==(const load_report&, const load_report&) = default;
};

// The form in log lines: running/queued/limit.
inline std::string to_string(const load_report& r)
{
    return std::to_string(r.in_flight_) + "/" + std::to_string(r.queued_) + "/" + std::to_string(r.limit_);
}

// entry -> gate: run this request.
struct call {
    call_id id_;
    incarnation gate_;                 // of the addressed gate; a restarted one refuses the call
    std::string identity_;             // idempotency key, or one that the entry generated
    bool keyed_ = false;               // the identity is the caller's own key
    std::uint64_t request_number_ = 0; // sequence of the first attempt of the same request
    bool once_ = false;                // must not run twice
    service_name service_;
    version_name version_;
    class_name class_;
    std::string route_; // 'METHOD [HOST]PATH' of the route rule; a move's statistics are kept by it
    configuration_number configuration_;
    duration remaining_{};      // time left to the caller's deadline
    std::uint64_t sent_ms_ = 0; // wall clock of the entry's machine when it was sent to another daemon
    duration waited_{};         // estimated time that its caller has spent on earlier tries
    std::uint32_t depth_ = 0;   // nested calls above it
    std::uint64_t body_bytes_ =
        0; // of the request's body; if the body here is shorter, the gate asks for it in parts
    http::request request_;

    friend bool operator==(const call&, const call&) = default;
};

// A longer body is not sent with the call, unless the request has a caller's key.
inline constexpr std::size_t max_inline_body_bytes = 8 * 1024;

// gate -> entry: send this part of the call's body.
struct body_grant {
    call_id id_;
    std::uint64_t offset_ = 0;
    std::uint64_t bytes_ = 0;
    friend bool operator==(const body_grant&, const body_grant&) = default;
};

// entry -> gate: a part of the call's body, as granted.
struct body_part {
    call_id id_;
    std::uint64_t offset_ = 0;
    std::string bytes_;
    friend bool operator==(const body_part&, const body_part&) = default;
};

// gate -> entry: acknowledges that the call has arrived.
struct call_ack {
    call_id id_;
    friend bool operator==(const call_ack&, const call_ack&) = default;
};

// gate -> entry: the backend server's answer, or its first part.
struct answer {
    call_id id_;
    load_report load_;
    http::response response_;
    bool complete_ = true; // false: parts follow
    friend bool operator==(const answer&, const answer&) = default;
};

// gate -> entry: a further part of an answer.
struct answer_part {
    call_id id_;
    std::uint64_t offset_ = 0; // bytes of the body before this part
    std::string bytes_;
    bool complete_ = false;
    friend bool operator==(const answer_part&, const answer_part&) = default;
};

// gate -> entry: the call has not run here and never will.
struct refusal {
    call_id id_;
    code code_ = code::not_run;
    load_report load_;
    int earlier_status_ = 0; // of an earlier run under the same idempotency key; 0 if not known
    friend bool operator==(const refusal&, const refusal&) = default;
};

// gate -> entry: the call was sent to the backend server but no complete answer came;
// it may have run.
struct run_failure {
    call_id id_;
    code code_ = code::outcome_unknown;
    load_report load_;
    friend bool operator==(const run_failure&, const run_failure&) = default;
};

// entry -> gate: the answer is no longer needed.
struct cancel {
    call_id id_;
    friend bool operator==(const cancel&, const cancel&) = default;
};

// entry -> gate: flow control. The caller has read this many bytes of the body so far;
// the gate reads at most a flow_window beyond them from the backend server.
struct answer_consumed {
    call_id id_;
    std::uint64_t bytes_ = 0;
    friend bool operator==(const answer_consumed&, const answer_consumed&) = default;
};

// entry -> gate: asks what became of the call, and forbids it to run if it has not
// begun. Sent over a new connection if the old one is lost or unresponsive.
struct fence {
    call_id id_;
    incarnation gate_; // that the call was sent to
    friend bool operator==(const fence&, const fence&) = default;
};

// State of a fenced call at its gate.
enum class run_status : std::uint8_t {
    never_ran, // and never will
    running,   // or held for another attempt of the same request; its answer follows on this connection
    ran,       // but its answer is no longer available
    unknown,   // this gate was started later, or its record of the call has been dropped
};

// gate -> entry: reply to a fence.
struct fence_reply {
    call_id id_;
    incarnation gate_; // of the replying gate
    run_status run_status_ = run_status::never_ran;
    friend bool operator==(const fence_reply&, const fence_reply&) = default;
};

using entry_to_gate = std::variant<call, cancel, fence, answer_consumed, body_part>;
using gate_to_entry =
    std::variant<call_ack, answer, answer_part, refusal, run_failure, fence_reply, body_grant>;

} // namespace guavahaven::decide
