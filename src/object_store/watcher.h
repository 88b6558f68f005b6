#pragma once

// The task that talks to the platform's object store: reads the configuration at the start, watches it while
// asked to, and stores seeds and move facts there. Its calls are jittered, rate limited and backed off, and
// never delay the handling of requests.

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
            std::function<void(decide::control_event)> notify_control);

    void start() override;
    void watch(bool on) override;
    void store_seeds(const std::vector<daemon_name>& candidates) override { seeds_.update(candidates); }
    void store_move(const decide::move_fact& fact) override { moves_.write(fact); }
    // The facts of their moves are read only while this daemon watches.
    void set_moving_services(const std::set<service_name>& services) override;

private:
    void read_first();
    void read_configuration();
    void watch_next();
    void handle_read(const result<object>& found);
    void retry();

    metrics& metrics_;
    std::function<void(decide::control_event)> notify_control_;
    runtime_clock clock_;
    random_engine random_;
    store store_;
    token_bucket budget_;
    seed_keeper seeds_;
    move_store moves_;
    backoff backoff_;
    timer start_timer_;
    timer read_timer_;
    timer retry_timer_;
    std::set<service_name> moving_services_;
    bool seeds_read_ = false;
    bool configuration_read_ = false;
    bool watching_ = false;
    bool watch_pending_ = false; // a watch has been sent and not yet answered
    bool reachable_ = true;
    std::uint64_t known_version_ = 0;
};

} // namespace guavahaven::object_store
