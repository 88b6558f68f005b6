#pragma once

// Reads the seeds from the platform, and keeps those of the own data centre alive.

#include <functional>
#include <set>
#include <vector>

#include "base/call_budget.h"
#include "base/random.h"
#include "decide/control.h"
#include "decide/seeds.h"
#include "object_store/store.h"

namespace guavahaven::object_store {

class seed_keeper {
public:
    seed_keeper(event_loop& loop, store& objects, call_budget& budget, data_center_name own,
                std::uint64_t seed, std::function<void(decide::control_event)> tell);

    // The handler gets the number of seeds, or the error.
    void read(std::function<void(result<std::size_t>)> handler);
    // Writes seeds of the own data centre if too few are kept, or dead ones.
    void keep(std::vector<daemon_name> candidates);

private:
    void read_object(std::function<void(result<object>, std::vector<decide::seed>)> handler);
    void refresh();

    store& store_;
    call_budget& budget_;
    runtime_clock clock_;
    data_center_name own_;
    random_engine random_;
    std::function<void(decide::control_event)> tell_;
    timer refresh_;
    int tries_left_ = 0;
    std::vector<daemon_name> candidates_;
    std::set<daemon_name> told_;
    std::set<daemon_name> absent_; // kept seeds of the own data centre that were no candidates
};

} // namespace guavahaven::object_store
