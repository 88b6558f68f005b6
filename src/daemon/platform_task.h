#pragma once

// What a daemon asks of the task that talks to the platform.

#include <set>
#include <vector>

#include "decide/control.h"

namespace guavahaven {

struct platform_task_settings {
    http::address platform_;
    data_center_name data_center_;
    std::uint64_t seed_ = 0; // of the jitter

    friend bool operator==(const platform_task_settings&, const platform_task_settings&) = default;
};

class platform_task {
public:
    virtual ~platform_task() = default;

    // Reads what the daemon needs to serve, again and again until it succeeds.
    virtual void start() = 0;
    // Watches for changes, or leaves that to others.
    virtual void watch(bool on) = 0;
    // Keeps seeds of the own data centre: the first of these daemons.
    virtual void keep_seeds(const std::vector<daemon_name>& candidates) = 0;
    virtual void store_move(const decide::move_fact& fact) = 0;
    // A move was not done by its deadline, as far as this daemon knows.
    virtual void expire_move(const decide::move_fact&) {}
    // The services under a move, whose facts are to be known.
    virtual void set_moving(const std::set<service_name>& services) = 0;
};

} // namespace guavahaven
