#pragma once

// Identities of requests that must run at most once, remembered from before
// the run until a stated time after its end. Nothing is forgotten early: when
// the memory is full, new identities are refused.

#include <deque>
#include <map>
#include <string>

#include "decide/gate/held_call.h"

namespace guavahaven::decide {

// How long after the end of its run an identity is remembered.
inline constexpr duration remember_identity = std::chrono::minutes(10);

// What is known of an identity.
struct known_run {
    call_key attempt_;              // that runs or ran
    std::uint64_t request_ = 0;     // sequence of the request's first attempt
    std::uint64_t fingerprint_ = 0; // of the request; 0 if not known
    bool ended_ = false;
    int status_ = 0; // of its whole answer; 0 while there is none
    time_point until_{};

    friend bool operator==(const known_run&, const known_run&) = default;
};

class key_memory {
public:
    const known_run* find(const std::string& identity) const;
    // False if there is no room. The identity is forgotten at run.until_ if its
    // end is not heard of before.
    bool begin(const std::string& identity, const known_run& run);
    // The run has ended: with a status, or 0 if its outcome is unknown.
    void end(const std::string& identity, int status, time_point now);
    // The run has surely not begun; the identity may be used again.
    void withdraw(const std::string& identity) { known_.erase(identity); }

    void forget(time_point now);

    std::size_t size() const { return known_.size(); }

private:
    std::map<std::string, known_run> known_;
    std::multimap<time_point, std::string> expiries_;
};

} // namespace guavahaven::decide
