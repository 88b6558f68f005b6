#pragma once

// How many calls a gate gives its backend server at once. The limit starts
// small after a cold start and grows by single probes; a refusal by the backend
// server, its death or a clear slowdown takes it down at once.

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/strong.h"

namespace guavahaven::decide {

// One request given to the backend server; unique within this gate.
using run_id = strong_number<struct run_tag>;

class concurrency_limit {
public:
    // The backend server has just started, or may have: it bears little.
    void cold_start(time_point now);
    // The most that the backend server announces to bear.
    void set_most(std::uint32_t slots, std::uint32_t connections);

    // The backend server states its slots and its cold times, and is believed.
    void state(std::uint32_t slots, std::uint32_t connections);

    // True if one more run may start beside those under way.
    bool admits(std::size_t running, time_point now) const;
    // A run that admits() allowed has started beside 'running' others.
    void started(run_id run, std::size_t running);

    // A run ended with an answer. Run times are compared within a route.
    void answered(run_id run, const std::string& route, duration took, time_point now);
    // The backend server refused a run that started at that time.
    void shed(run_id run, time_point started, time_point now);
    // A run that started at that time did not end within its deadline.
    void timed_out(run_id run, time_point started, time_point now);
    // A run ended in another way.
    void ended(run_id run);

    std::uint32_t value() const { return limit_; }
    // Mean time of a run, lately; zero until one has ended.
    duration mean_run() const;
    // The same for one route; that of all routes until one of its runs has ended.
    duration mean_run(const std::string& route) const;

    friend bool operator==(const concurrency_limit&, const concurrency_limit&) = default;

private:
    void fall(std::uint32_t to, time_point now);
    void watch_slowdown(const std::string& route, double took_us, time_point started, time_point now);

    bool stated_ = false;
    std::uint32_t limit_ = 0;
    std::uint32_t most_ = 1;
    run_id probe_; // the run above the limit; 0 if none
    time_point next_probe_{};
    duration probe_wait_{}; // after a refused probe
    time_point fell_{};
    double mean_us_ = 0;
    double slowness_ = 1; // smoothed ratio of run times to their route's usual one
    std::map<std::string, double> usual_us_;
    std::map<std::string, double> route_mean_us_;
};

} // namespace guavahaven::decide
