#pragma once

// Interface of the task that talks to the platform's object store: reads the configuration from there,
// keeps seeds and the progress of moves there. Its results are posted to the control task as events.

#include <set>
#include <vector>

#include "decide/control.h"

namespace guavahaven {

struct platform_task_settings {
    http::address platform_;
    data_center_name data_center_;
    std::uint64_t random_seed_ = 0; // for jitter

    friend bool operator==(const platform_task_settings&, const platform_task_settings&) = default;
};

class platform_task {
public:
    virtual ~platform_task() = default;

    // Reads seeds and configuration, and retries until it succeeds.
    virtual void start() = 0;
    // Starts or stops watching the store for changes. Only a few daemons of each data centre watch; the
    // others learn of changes by gossip.
    virtual void watch(bool on) = 0;
    // Seeds are the daemons that a starting daemon contacts first. Replaces stored seeds of this data centre
    // that are not among the candidates; earlier candidates are preferred.
    virtual void store_seeds(const std::vector<daemon_name>& candidates) = 0;
    // Stores how far a move has come.
    virtual void store_move(const decide::move_fact& fact) = 0;
    // Called when a move's deadline has passed and this daemon has not learned that the move is done.
    virtual void expire_move(const decide::move_fact&) {}
    // Sets the services that have a move in the configuration in force; the stored facts of these moves are
    // to be read.
    virtual void set_moving_services(const std::set<service_name>& services) = 0;
};

} // namespace guavahaven
