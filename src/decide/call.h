#pragma once

// What passes between the daemon where a request enters (the entry) and the
// daemon beside the backend server that runs it (the gate). Both sides may be
// the same process.

#include <cstdint>
#include <string>
#include <variant>

#include "base/http.h"
#include "base/result.h"
#include "decide/identifiers.h"

namespace guavahaven::decide {

// One attempt of one request, unique to its entry: the entry's incarnation and
// a counter. An answer that carries another number belongs to another attempt.
struct call_id {
    incarnation entry_;
    std::uint64_t sequence_ = 0;

    friend auto operator<=>(const call_id&, const call_id&) = default;
};

// As log lines name an attempt, so that those of entry and gate can be joined.
inline std::string to_string(const call_id& id)
{
    return std::to_string(id.entry_.value()) + "-" + std::to_string(id.sequence_);
}

// What a gate knows of its backend server's load, carried on every answer.
struct load_report {
    std::uint32_t in_flight_ = 0;
    std::uint32_t queued_ = 0;
    std::uint32_t limit_ = 0; // requests at once that the gate admits now

    friend bool operator==(const load_report&, const load_report&) = default;
};

// As log lines name it: running/waiting/limit.
inline std::string to_string(const load_report& r)
{
    return std::to_string(r.in_flight_) + "/" + std::to_string(r.queued_) + "/" + std::to_string(r.limit_);
}

// entry -> gate: run this request.
struct call {
    call_id id_;
    incarnation gate_;                 // of the gate that is meant; a later one refuses
    std::string identity_;             // idempotency key, or one made up by the entry
    bool keyed_ = false;               // the identity is the caller's own key
    std::uint64_t request_number_ = 0; // sequence of the first attempt of the same request
    bool once_ = false;                // must not run twice
    service_name service_;
    version_name version_;
    class_name class_;
    std::string route_; // 'METHOD PATH' of the rule, which evidence is kept by
    configuration_number configuration_;
    duration remaining_{};      // time left to the caller's deadline
    std::uint64_t sent_ms_ = 0; // by the clock of the entry's machine, when it left for another daemon
    duration waited_{};         // before it came here, in earlier tries of its caller
    std::uint32_t depth_ = 0;
    http::request request_;

    friend bool operator==(const call&, const call&) = default;
};

// gate -> entry: the call has arrived.
struct receipt {
    call_id id_;
    friend bool operator==(const receipt&, const receipt&) = default;
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

// gate -> entry: the call was given to the backend server and got no whole
// answer; it may have run.
struct broken {
    call_id id_;
    code code_ = code::outcome_unknown;
    load_report load_;
    friend bool operator==(const broken&, const broken&) = default;
};

// entry -> gate: nobody waits for the answer any more.
struct cancel {
    call_id id_;
    friend bool operator==(const cancel&, const cancel&) = default;
};

// entry -> gate: the caller has taken this many bytes of the body so far. The
// gate reads on from the backend server no further than a flow_window beyond.
struct answer_taken {
    call_id id_;
    std::uint64_t bytes_ = 0;
    friend bool operator==(const answer_taken&, const answer_taken&) = default;
};

// entry -> gate, over a new connection: what became of the call? If it has not
// run, it must not run any more.
struct fence {
    call_id id_;
    incarnation gate_; // that the call was sent to
    friend bool operator==(const fence&, const fence&) = default;
};

// What a gate knows of a fenced call.
enum class fate : std::uint8_t {
    never_ran, // and never will
    running,   // its answer will follow on this connection
    ran,       // and its answer is gone
    unknown,   // this gate can't know, for it was started later or has forgotten
};

// gate -> entry
struct fence_verdict {
    call_id id_;
    incarnation gate_; // that answers
    fate fate_ = fate::never_ran;
    friend bool operator==(const fence_verdict&, const fence_verdict&) = default;
};

using entry_to_gate = std::variant<call, cancel, fence, answer_taken>;
using gate_to_entry = std::variant<receipt, answer, answer_part, refusal, broken, fence_verdict>;

} // namespace guavahaven::decide
