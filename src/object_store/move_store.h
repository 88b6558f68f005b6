#pragma once

// Stores move facts (how far each move has come) in the platform. A write reads the stored facts, joins the
// new one into them and updates conditionally, so that a lost response or a concurrent writer does no harm.
// Failed writes are retried.

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
    move_store(event_loop& loop, store& objects, token_bucket& budget, std::uint64_t random_seed,
               std::function<void(decide::control_event)> notify_control);

    void write(const decide::move_fact& fact);
    // Reads the stored facts of each service and passes them to the control task, also if there are none.
    // Retries until it succeeds.
    void read(const std::set<service_name>& services);

private:
    void read_all();
    void write_next();
    void join(const decide::move_fact& fact, const result<object>& found);
    void finish_write(const decide::move_fact& fact, bool succeeded);

    store& store_;
    token_bucket& budget_;
    runtime_clock clock_;
    random_engine random_;
    std::function<void(decide::control_event)> notify_control_;
    backoff backoff_;
    timer write_timer_;
    timer reread_timer_;
    std::set<service_name> unread_services_;
    bool writing_ = false;
    std::map<move_id, decide::move_fact> pending_writes_;
};

} // namespace guavahaven::object_store
