#pragma once

// Reads the seeds (the daemons that a starting daemon contacts first) from the platform, and replaces those
// of its own data centre that have failed.

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
    // A daemon that knows no seeds waits for a random time of at most max_first_delay before it reads them
    // again and writes some: when a whole fleet starts at once, most daemons then find the seeds that the
    // first ones wrote.
    seed_keeper(event_loop& loop, store& objects, token_bucket& budget, data_center_name own,
                std::uint64_t random_seed, duration max_first_delay,
                std::function<void(decide::control_event)> notify_control);

    // The handler gets the number of stored seeds, or an error.
    void read(std::function<void(result<std::size_t>)> handler);
    // After a random delay, writes new seeds of the own data centre if too few are stored, or ones that are
    // not among the candidates (alive daemons of the data centre, preferred ones first).
    void update(std::vector<daemon_name> candidates);

private:
    void read_object(freshness wanted,
                     std::function<void(result<object>, std::vector<decide::seed>)> handler);
    void refresh();

    store& store_;
    token_bucket& budget_;
    runtime_clock clock_;
    data_center_name own_;
    random_engine random_;
    duration max_first_delay_;
    std::function<void(decide::control_event)> notify_control_;
    timer refresh_;
    int tries_left_ = 0;
    std::vector<daemon_name> candidates_;
    std::set<daemon_name> reported_seeds_;
    std::set<daemon_name> previous_non_candidates_; // stored seeds of the own data centre that were not
                                                    // candidates at the last check
};

} // namespace guavahaven::object_store
