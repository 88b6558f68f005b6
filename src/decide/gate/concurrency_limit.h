#pragma once

// Adaptive limit on the requests that a gate sends to its backend server at once. It starts small after a
// cold start and grows by single probes; a refusal by the backend server, its crash or a clear slowdown
// lowers it at once.

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "base/strong.h"

namespace guavahaven::decide {

// One request sent to the backend server; unique within this gate.
using run_id = strong_number<struct run_tag>;

class concurrency_limit {
public:
    // The backend server has started, or may have, and handles few requests at first.
    void cold_start(time_point now);
    // Sets the upper bound: the smaller of the slots and connections that the backend server announced.
    void set_max(std::uint32_t slots, std::uint32_t connections);

    // Switches adaptation off: the limit is what the backend server announced. For servers that also announce
    // how long they are cold.
    void set_fixed(std::uint32_t slots, std::uint32_t connections);

    // True if one more run may start while 'running' others are under way.
    bool admits(std::size_t running, time_point now) const;
    // A run that admits() allowed has started beside 'running' others.
    void started(run_id run, std::size_t running);

    // A run ended with an answer. Its time is compared to the usual time of its route.
    void answered(run_id run, const std::string& route, duration took, time_point now);
    // The backend server refused a run that started at that time.
    void shed(run_id run, time_point started, time_point now);
    // A run that started at that time did not end within its deadline.
    void timed_out(run_id run, time_point started, time_point now);
    // A run ended in another way.
    void ended(run_id run);

    std::uint32_t value() const { return limit_; }
    // Moving average of the run time; zero until a run has ended.
    duration mean_run() const;
    // The same for one route; that of all routes until one of its runs has ended.
    duration mean_run(const std::string& route) const;

    friend bool operator==(const concurrency_limit&, const concurrency_limit&) = default;

private:
    void decrease(std::uint32_t to, time_point now);
    void update_slowdown(const std::string& route, double took_us, time_point started, time_point now);

    bool fixed_ = false;
    std::uint32_t limit_ = 0;
    std::uint32_t max_ = 1;
    run_id probe_; // the run that exceeds the limit to test for room; 0 if none
    time_point next_probe_{};
    duration probe_interval_{}; // after a decrease or a refused probe
    time_point last_decrease_{};
    double mean_us_ = 0;
    double slowdown_ = 1; // moving average of the ratio of run times to their route's baseline
    std::map<std::string, double> baseline_us_; // slow moving average, by route
    std::map<std::string, double> route_mean_us_;
};

} // namespace guavahaven::decide
