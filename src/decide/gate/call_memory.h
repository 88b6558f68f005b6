#pragma once

// What a gate remembers of attempts that it no longer holds, so that a fence
// is answered truly and an attempt that comes twice does not run twice. What
// it has to forget is answered as unknown.

#include <deque>
#include <map>
#include <optional>

#include "decide/gate/held_call.h"

namespace guavahaven::decide {

class call_memory {
public:
    // The attempt was given to the backend server.
    void note_ran(const call_key& key, time_point now) { note(key, fate::ran, now); }
    // The attempt was refused or fenced and must not run any more.
    void note_never_runs(const call_key& key, time_point now) { note(key, fate::never_ran, now); }

    // ran, never_ran, or unknown if it may have been forgotten; empty if it has
    // surely never come.
    std::optional<fate> find(const call_key& key) const;

    void forget(time_point now);

    std::size_t size() const { return fates_.size(); }

private:
    struct entry_process {
        daemon_name name_;
        incarnation started_;
        friend auto operator<=>(const entry_process&, const entry_process&) = default;
    };
    struct forgotten {
        std::uint64_t through_ = 0; // sequence
        time_point at_{};
    };

    void note(const call_key& key, fate f, time_point now);
    void forget_oldest(time_point now);
    void bound_forgotten();

    std::map<call_key, fate> fates_;
    std::deque<std::pair<time_point, call_key>> order_; // by the time of the note
    std::map<entry_process, forgotten> forgotten_;
};

} // namespace guavahaven::decide
