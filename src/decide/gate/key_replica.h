#pragma once

// Idempotency keys that a caller sends again through another entry. Two of
// three daemons of the mesh, chosen by the key alone, record it before the
// request runs anywhere. They are asked in one order, so a second request with
// the key meets the record although one of the three is lost.

#include <string>
#include <variant>
#include <vector>

#include "decide/gate/crash_suspects.h"
#include "decide/gate/key_memory.h"
#include "decide/view.h"

namespace guavahaven::decide {

// gate -> home: may this attempt run under the key?
struct key_claim {
    std::string identity_; // scoped
    call_key attempt_;
    std::uint64_t request_ = 0; // of the same entry; its later attempts may claim again
    friend bool operator==(const key_claim&, const key_claim&) = default;
};

// home -> gate
struct key_verdict {
    std::string identity_;
    call_key attempt_;
    bool granted_ = false;
    bool recent_ = false; // started so lately that an earlier record may be lost
    bool ended_ = false;  // not granted: the earlier run has ended
    int status_ = 0;      // with an answer of this status; 0 if its outcome is unknown
    friend bool operator==(const key_verdict&, const key_verdict&) = default;
};

// gate -> home: what became of the attempt.
struct key_outcome {
    std::string identity_;
    call_key attempt_;
    bool ran_ = false; // false: it never will
    int status_ = 0;   // of its answer; 0 if the outcome is unknown
    friend bool operator==(const key_outcome&, const key_outcome&) = default;
};

// home -> gate: the outcome has arrived.
struct key_noted {
    std::string identity_;
    call_key attempt_;
    friend bool operator==(const key_noted&, const key_noted&) = default;
};

using gate_to_gate = std::variant<key_claim, key_verdict, key_outcome, key_noted, crash_report>;

// Homes that have to grant a key, of so many.
std::size_t grants_needed(std::size_t homes);

// The daemons that keep a key, in the order in which they are asked. They are
// ranked among all members that are known, whatever their service, version and
// load, so that moves and limits don't shift a key. Those that have died or
// left of late keep their places: two newcomers in place of two homes that were
// lost together would know nothing of the key, and grant it again.
std::vector<daemon_name> key_homes(const view& v, const std::string& identity);

// What a daemon records as a home.
class key_registry {
public:
    explicit key_registry(time_point started) : started_(started) {}

    // No configuration was in force anywhere before this daemon started, so
    // nothing can have run that it has no record of.
    void set_complete() { complete_ = true; }

    key_verdict handle(const key_claim& claim, time_point now);
    key_noted handle(const key_outcome& outcome, time_point now);
    void forget(time_point now) { known_.forget(now); }

private:
    key_memory known_;
    time_point started_;
    bool complete_ = false;
};

} // namespace guavahaven::decide
