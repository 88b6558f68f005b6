#pragma once

// A call that a gate holds: waiting for a slot, or running.

#include <algorithm>
#include <vector>

#include "decide/call.h"
#include "decide/configuration.h"
#include "decide/gate/flow_window.h"

namespace guavahaven::decide {

// One attempt of an entry. Two entries may draw the same call_id, so its
// daemon belongs to it.
struct call_key {
    daemon_name entry_;
    call_id id_;

    friend auto operator<=>(const call_key&, const call_key&) = default;
};

struct held_call {
    // Whom to answer: the first sender, and those that repeated the request
    // meanwhile. An attempt whose caller has gone stays, marked.
    struct waiter {
        call_key key_;
        bool gone_ = false;
        std::uint64_t taken_ = 0; // bytes of the answer's body
        friend bool operator==(const waiter&, const waiter&) = default;
    };

    std::vector<waiter> waiters_;
    call call_;
    time_point deadline_;
    time_point useful_until_; // its deadline, or the objective of its class if that is sooner
    bool late_ = false;       // the objective of its class has passed already
    time_point started_{};    // of the run
    shed_order shed_ = shed_order::normal;
    bool keep_ = false;
    std::uint32_t priority_ = 0;
    std::uint32_t weight_ = 1;
    std::vector<daemon_name> homes_; // that were asked to record its idempotency key
    bool answering_ = false;         // a part of the answer has been passed on
    int status_ = 0;                 // of that answer
    flow_window window_;             // of that answer

    bool waited_for_by(const call_key& key) const
    {
        return std::any_of(waiters_.begin(), waiters_.end(), [&](const waiter& w) { return w.key_ == key; });
    }
    // Bytes of the answer that the slowest of those who wait has taken.
    std::uint64_t taken_by_all() const
    {
        std::uint64_t least = window_.passed();
        for (const waiter& w : waiters_)
            if (!w.gone_)
                least = std::min(least, w.taken_);
        return least;
    }
    bool abandoned() const
    {
        return std::all_of(waiters_.begin(), waiters_.end(), [](const waiter& w) { return w.gone_; });
    }

    friend bool operator==(const held_call&, const held_call&) = default;
};

} // namespace guavahaven::decide
