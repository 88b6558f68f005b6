#pragma once

// Prevents a second run when a caller repeats an idempotency key through another entry. Each key has three
// replicas, daemons that are chosen by the key alone; two of them must record it before the request runs. All
// gates ask them in the same order, so a second request with the key meets the record even if one replica is
// lost.

#include <string>
#include <variant>
#include <vector>

#include "decide/gate/crash_suspects.h"
#include "decide/gate/key_memory.h"
#include "decide/view.h"

namespace guavahaven::decide {

// gate -> replica: may this attempt run under the key?
struct key_claim {
    std::string identity_; // from scoped_identity()
    call_key attempt_;
    std::uint64_t request_ = 0; // call::request_number_; later attempts of it may claim again
    friend bool operator==(const key_claim&, const key_claim&) = default;
};

// replica -> gate: reply to a claim.
struct key_claim_reply {
    std::string identity_;
    call_key attempt_;
    bool granted_ = false;
    bool recently_started_ =
        false;           // started recently, may have lost an earlier record: the grant does not count
    bool ended_ = false; // not granted: the earlier run has ended
    int status_ = 0;     // with an answer of this status; 0 if its outcome is unknown
    friend bool operator==(const key_claim_reply&, const key_claim_reply&) = default;
};

// gate -> replica: what became of the attempt.
struct key_outcome {
    std::string identity_;
    call_key attempt_;
    bool ran_ = false; // false: it never will
    int status_ = 0;   // of its answer; 0 if the outcome is unknown
    friend bool operator==(const key_outcome&, const key_outcome&) = default;
};

// replica -> gate: the outcome has arrived.
struct key_outcome_ack {
    std::string identity_;
    call_key attempt_;
    friend bool operator==(const key_outcome_ack&, const key_outcome_ack&) = default;
};

using gate_to_gate = std::variant<key_claim, key_claim_reply, key_outcome, key_outcome_ack, crash_report>;

// How many of this many replicas have to grant a key before the request may run.
std::size_t grants_needed(std::size_t replicas);

// The replicas of a key, in the order in which they are asked. They are ranked by rendezvous hashing among
// all known members, whatever their service, version and load, so that moves and limits don't reassign a key.
// Members that died or left recently still count: if two replicas were lost together and replaced, the two
// new ones would have no record of the key and grant it again.
std::vector<daemon_name> key_replicas(const view& v, const std::string& identity);

// The records that a daemon stores as a replica for other gates.
class key_replica_store {
public:
    explicit key_replica_store(time_point started) : started_(started) {}

    // Call if no configuration was in force anywhere before this daemon started (see
    // first_configuration.h): nothing ran before, so no record can be missing here.
    void set_complete() { complete_ = true; }

    key_claim_reply handle(const key_claim& claim, time_point now);
    key_outcome_ack handle(const key_outcome& outcome, time_point now);
    void forget_expired(time_point now) { records_.forget_expired(now); }

private:
    idempotency_records records_;
    time_point started_;
    bool complete_ = false;
};

} // namespace guavahaven::decide
