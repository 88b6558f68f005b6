#pragma once

// Move facts in the platform: written by read, join and conditional update, so
// that a lost answer or a second writer does no harm; what could not be written
// is kept and tried again.

#include <functional>
#include <map>
#include <set>

#include "base/backoff.h"
#include "base/token_bucket.h"
#include "decide/control.h"
#include "object_store/store.h"

namespace guavahaven::object_store {

class move_store {
public:
    move_store(event_loop& loop, store& objects, call_budget& budget, std::uint64_t seed,
               std::function<void(decide::control_event)> tell);

    void write(const decide::move_fact& fact);
    // Tells the facts of each service, none included; tried until it succeeds.
    void read(const std::set<service_name>& services);

private:
    void read_all();
    void write_next();
    void join(const decide::move_fact& fact, const result<object>& found);
    void settled(const decide::move_fact& fact, bool done);

    store& store_;
    call_budget& budget_;
    runtime_clock clock_;
    random_engine random_;
    std::function<void(decide::control_event)> tell_;
    backoff backoff_;
    timer next_;
    timer read_again_;
    std::set<service_name> unread_;
    bool writing_ = false;
    std::map<move_id, decide::move_fact> unwritten_;
};

} // namespace guavahaven::object_store
