#pragma once

// The task that talks to the platform: watches the configuration while asked
// to, reads seeds and move facts, and writes facts by read, join and
// conditional update.

#include <functional>
#include <map>
#include <set>

#include "base/metrics.h"
#include "base/random.h"
#include "decide/control.h"
#include "platform/store.h"

namespace guavahaven::platform {

struct watcher_settings {
    http::address platform_;
    data_center_name data_center_;
    daemon_name self_;
    std::uint64_t seed_ = 0; // of the jitter
};

class watcher {
public:
    watcher(event_loop& loop, metrics& counts, const watcher_settings& settings,
            std::function<void(decide::control_event)> tell);

    // Reads seeds, configuration and move facts once, then registers as a seed.
    void start();
    void watch(bool on);
    // Joins a fact into the platform's object of its service; tried until it succeeds.
    void store_move(const decide::move_fact& fact);
    // The services under a move, whose facts are read by the daemons that watch
    // the platform; the others learn them from these.
    void read_moves(const std::set<service_name>& services);

private:
    void read_seeds();
    void register_seed(std::uint64_t version, std::vector<decide::seed> known);
    void watch_next();
    void took_configuration(const result<object>& found);
    void read_unread_moves();
    void write_move(const decide::move_fact& fact);
    void move_written(const decide::move_fact& fact, bool written);
    void retry_moves();
    void retry_moves_now();
    duration retry_delay();

    metrics& metrics_;
    watcher_settings settings_;
    std::function<void(decide::control_event)> tell_;
    store store_;
    random_engine random_;
    timer retry_;
    timer move_retry_;
    bool move_retry_pending_ = false;
    std::set<service_name> unread_moves_;
    std::map<move_id, decide::move_fact> unwritten_moves_;
    bool watching_ = false;
    bool asked_ = false; // a watch is under way
    bool reachable_ = true;
    std::uint64_t seen_version_ = 0;
};

} // namespace guavahaven::platform
