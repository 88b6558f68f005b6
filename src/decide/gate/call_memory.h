#pragma once

// Remembers for a while what became of attempts that a gate no longer holds, so that fences are answered
// correctly and an attempt that arrives twice does not run twice. Attempts that were forgotten are reported
// as unknown.

#include <deque>
#include <map>
#include <optional>

#include "decide/gate/held_call.h"

namespace guavahaven::decide {

class finished_attempts {
public:
    // The attempt was sent to the backend server.
    void record_ran(const call_key& key, time_point now) { record(key, run_status::ran, now); }
    // The attempt was refused, cancelled or fenced before it ran, and must not run any more.
    void record_never_runs(const call_key& key, time_point now) { record(key, run_status::never_ran, now); }

    // ran, never_ran, or unknown if it may have been forgotten; empty if it has certainly never arrived.
    std::optional<run_status> find(const call_key& key) const;

    void forget_expired(time_point now);

    std::size_t size() const { return fates_.size(); }

private:
    // One process of an entry; a restart gives it another incarnation.
    struct entry_process {
        daemon_name name_;
        incarnation started_;
        friend auto operator<=>(const entry_process&, const entry_process&) = default;
    };
    struct forgotten {
        std::uint64_t max_sequence_ = 0; // highest sequence number forgotten
        time_point last_forgotten_{};
    };

    void record(const call_key& key, run_status f, time_point now);
    void forget_oldest(time_point now);
    void bound_forgotten();

    std::map<call_key, run_status> fates_;
    std::deque<std::pair<time_point, call_key>> by_time_; // oldest first
    std::map<entry_process, forgotten> forgotten_;
};

} // namespace guavahaven::decide
