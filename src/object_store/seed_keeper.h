#pragma once

// Reads the seeds from the platform, and keeps those of the own data centre alive.

#include <functional>
#include <set>
#include <vector>

#include "base/random.h"
#include "base/token_bucket.h"
#include "decide/control.h"
#include "decide/membership/seeds.h"
#include "object_store/store.h"

namespace guavahaven::object_store {

class seed_keeper {
public:
    // first_spread is the longest that a daemon which knows no seeds waits before
    // it looks again and writes some: of a fleet that starts at once, most then
    // find what the first ones wrote.
    seed_keeper(event_loop& loop, store& objects, call_budget& budget, data_center_name own,
                std::uint64_t seed, duration first_spread, std::function<void(decide::control_event)> tell);

    // The handler gets the number of seeds, or the error.
    void read(std::function<void(result<std::size_t>)> handler);
    // Writes seeds of the own data centre if too few are kept, or dead ones.
    void keep(std::vector<daemon_name> candidates);

private:
    void read_object(freshness wanted,
                     std::function<void(result<object>, std::vector<decide::seed>)> handler);
    void refresh();

    store& store_;
    call_budget& budget_;
    runtime_clock clock_;
    data_center_name own_;
    random_engine random_;
    duration first_spread_;
    std::function<void(decide::control_event)> tell_;
    timer refresh_;
    int tries_left_ = 0;
    std::vector<daemon_name> candidates_;
    std::set<daemon_name> told_;
    std::set<daemon_name> absent_; // kept seeds of the own data centre that were no candidates
};

} // namespace guavahaven::object_store
