#pragma once

// A call that a gate holds: claiming its idempotency key, waiting for a slot, or running.

#include <algorithm>
#include <vector>

#include "decide/call.h"
#include "decide/configuration.h"
#include "decide/gate/flow_window.h"

namespace guavahaven::decide {

// Identifies an attempt. Two entries may choose the same call_id, so the entry's name is part of the key.
struct call_key {
    daemon_name entry_;
    call_id id_;

    friend auto operator<=>(const call_key&, const call_key&) = default;
};

struct held_call {
    // An attempt that waits for the answer: the first one, and repeats of the same request that arrived
    // meanwhile. An attempt that was cancelled stays in the list, marked.
    struct waiter {
        call_key key_;
        bool cancelled_ = false;
        std::uint64_t consumed_bytes_ = 0; // bytes of the answer's body that its caller has consumed
        friend bool operator==(const waiter&, const waiter&) = default;
    };

    std::vector<waiter> waiters_;
    call call_;
    time_point deadline_;
    time_point useful_until_; // its deadline, or the objective of its class if that is sooner
    bool late_ = false;       // it can't meet the objective of its class any more
    time_point started_{};    // of the run
    shed_order shed_ = shed_order::normal;
    bool keep_ = false;
    std::uint32_t priority_ = 0;
    std::uint32_t weight_ = 1;
    std::vector<daemon_name> replicas_; // those asked so far to record its idempotency key
    bool answer_started_ = false;       // a part of the answer has been forwarded
    int status_ = 0;                    // of that answer
    flow_window window_;                // of that answer

    bool has_waiter(const call_key& key) const
    {
        return std::any_of(waiters_.begin(), waiters_.end(), [&](const waiter& w) { return w.key_ == key; });
    }
    // True if an attempt other than this one waits and has not been cancelled.
    bool has_other_waiters(const call_key& key) const
    {
        return std::any_of(waiters_.begin(), waiters_.end(),
                           [&](const waiter& w) { return w.key_ != key && !w.cancelled_; });
    }
    // Bytes of the answer that every waiter has consumed, cancelled ones aside.
    std::uint64_t consumed_by_all() const
    {
        std::uint64_t minimum = window_.forwarded();
        for (const waiter& w : waiters_)
            if (!w.cancelled_)
                minimum = std::min(minimum, w.consumed_bytes_);
        return minimum;
    }
    // True if all waiters have cancelled.
    bool abandoned() const
    {
        return std::all_of(waiters_.begin(), waiters_.end(), [](const waiter& w) { return w.cancelled_; });
    }

    friend bool operator==(const held_call&, const held_call&) = default;
};

} // namespace guavahaven::decide
