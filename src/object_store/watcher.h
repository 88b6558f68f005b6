#pragma once

// The task that talks to the platform: reads the configuration at the start,
// watches it while asked to, and keeps seeds and move facts there. Its calls
// are spread, budgeted and backed off, and never hold up serving.

#include <functional>
#include <set>

#include "base/backoff.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/token_bucket.h"
#include "daemon/platform_task.h"
#include "decide/control.h"
#include "object_store/move_store.h"
#include "object_store/seed_keeper.h"
#include "object_store/store.h"

namespace guavahaven::object_store {

class watcher final : public platform_task {
public:
    watcher(event_loop& loop, metrics& counts, const platform_task_settings& settings,
            std::function<void(decide::control_event)> tell);

    // Reads seeds and configuration, again and again until it succeeds.
    void start() override;
    void watch(bool on) override;
    void keep_seeds(const std::vector<daemon_name>& candidates) override { seeds_.keep(candidates); }
    void store_move(const decide::move_fact& fact) override { moves_.write(fact); }
    // The services under a move; their facts are read while watching.
    void set_moving(const std::set<service_name>& services) override;

private:
    void read_first();
    void read_configuration();
    void watch_next();
    void took(const result<object>& found);
    void retry();

    metrics& metrics_;
    std::function<void(decide::control_event)> tell_;
    runtime_clock clock_;
    random_engine random_;
    store store_;
    call_budget budget_;
    seed_keeper seeds_;
    move_store moves_;
    backoff backoff_;
    timer start_;
    timer read_;
    timer retry_;
    std::set<service_name> moving_;
    bool seeds_read_ = false;
    bool configuration_read_ = false;
    bool watching_ = false;
    bool asked_ = false; // a watch is under way
    bool reachable_ = true;
    std::uint64_t seen_version_ = 0;
};

} // namespace guavahaven::object_store
