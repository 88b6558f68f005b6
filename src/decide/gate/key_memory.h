#pragma once

// Records of the identities (idempotency keys) of requests that must run at most once, kept from before the
// run until a fixed time after its end. No record is dropped early: when the store is full, new identities
// are refused.

#include <deque>
#include <map>
#include <string>

#include "decide/gate/held_call.h"

namespace guavahaven::decide {

// How long an identity is remembered after the end of its run.
inline constexpr duration identity_retention = std::chrono::minutes(10);

// What is known of the run under an identity.
struct idempotency_record {
    call_key attempt_;              // the attempt that runs or ran
    std::uint64_t request_ = 0;     // sequence of the request's first attempt
    std::uint64_t fingerprint_ = 0; // of the request; 0 if not known
    bool ended_ = false;
    int status_ = 0;     // of its complete answer; 0 if it has none
    time_point until_{}; // when the record is dropped

    friend bool operator==(const idempotency_record&, const idempotency_record&) = default;
};

class idempotency_records {
public:
    // Null if the identity is unknown.
    const idempotency_record* find(const std::string& identity) const;
    // Adds or replaces the record of an identity; false if the store is full. It is dropped at run.until_
    // unless record_end() comes before.
    bool record_start(const std::string& identity, const idempotency_record& run);
    // The run has ended, with this status or 0 if its outcome is unknown. Restarts the retention time.
    void record_end(const std::string& identity, int status, time_point now);
    // The run has not begun and never will; the identity may be used again.
    void remove(const std::string& identity) { records_.erase(identity); }

    void forget_expired(time_point now);

    std::size_t size() const { return records_.size(); }

private:
    std::map<std::string, idempotency_record> records_;
    std::multimap<time_point, std::string> expiries_;
};

} // namespace guavahaven::decide
