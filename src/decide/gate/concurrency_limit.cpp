#include "decide/gate/concurrency_limit.h"

#include <algorithm>

#include "base/guards.h"

namespace guavahaven::decide {

namespace {

constexpr std::uint32_t cold_limit = 2;                        // runs at once after a cold start
constexpr duration cold_time = std::chrono::seconds(5);        // before the first probe
constexpr duration probe_wait_least = std::chrono::seconds(1); // after a fall or a refused probe
constexpr duration probe_wait_most = std::chrono::seconds(30);
constexpr double mean_weight = 0.05;     // of the newest run time
constexpr double usual_weight = 0.01;    // the same for a route's usual time
constexpr double slowness_weight = 0.1;  // the same for the slowdown
constexpr double slow_ratio = 3;         // of run times to the usual ones
constexpr double ratio_most = 6;         // so that one outlier is no slowdown
constexpr double slow_least_us = 5'000;  // a smaller delay is the machine's noise
constexpr std::size_t routes_most = 256; // with a usual time of their own

} // namespace

void concurrency_limit::cold_start(time_point now)
{
    if (!stated_)
        limit_ = std::min(cold_limit, most_);
    probe_ = {};
    probe_wait_ = probe_wait_least;
    next_probe_ = now + cold_time;
    fell_ = now;
    slowness_ = 1;
    usual_us_.clear();
}

void concurrency_limit::set_most(std::uint32_t slots, std::uint32_t connections)
{
    most_ = std::max<std::uint32_t>(1, std::min(slots, connections));
    limit_ = std::min(limit_, most_);
}

void concurrency_limit::state(std::uint32_t slots, std::uint32_t connections)
{
    stated_ = true;
    set_most(slots, connections);
    limit_ = most_;
}

bool concurrency_limit::admits(std::size_t running, time_point now) const
{
    if (running < limit_ || !guarded(guard::cold_limit))
        return true;
    return running == limit_ && limit_ < most_ && probe_ == run_id() && now >= next_probe_;
}

void concurrency_limit::started(run_id run, std::size_t running)
{
    if (running >= limit_)
        probe_ = run;
}

void concurrency_limit::answered(run_id run, const std::string& route, duration took, time_point now)
{
    const auto took_us = static_cast<double>(took.count());
    mean_us_ = mean_us_ == 0 ? took_us : mean_us_ + (took_us - mean_us_) * mean_weight;
    if (route_mean_us_.size() < routes_most || route_mean_us_.contains(route)) {
        double& mean = route_mean_us_.try_emplace(route, took_us).first->second;
        mean += (took_us - mean) * mean_weight;
    }
    watch_slowdown(route, took_us, now - took, now);
    if (probe_ != run)
        return;
    probe_ = {};
    limit_ = std::min(limit_ + 1, most_);
    if (limit_ == most_)
        probe_wait_ = probe_wait_least;
}

void concurrency_limit::watch_slowdown(const std::string& route, double took_us, time_point started,
                                       time_point now)
{
    auto usual = usual_us_.find(route);
    if (usual == usual_us_.end()) {
        if (usual_us_.size() >= routes_most)
            return;
        usual = usual_us_.emplace(route, took_us).first;
    }
    const double before = usual->second;
    usual->second += (took_us - before) * usual_weight;
    const bool slow = took_us > before + slow_least_us;
    const double ratio = slow && before > 0 ? std::min(took_us / before, ratio_most) : 1;
    slowness_ += (ratio - slowness_) * slowness_weight;
    if (!slow || slowness_ <= slow_ratio || started < fell_)
        return;
    fall(limit_ / 2, now);
    slowness_ = 1;
}

void concurrency_limit::shed(run_id run, time_point started, time_point now)
{
    if (probe_ == run) {
        probe_ = {};
        next_probe_ = now + probe_wait_;
        probe_wait_ = std::min(probe_wait_ * 2, probe_wait_most);
        return;
    }
    if (started > fell_)
        fall(limit_ > cold_limit ? cold_limit : 1, now);
}

void concurrency_limit::timed_out(run_id run, time_point started, time_point now)
{
    ended(run);
    if (started > fell_)
        fall(limit_ / 2, now);
}

void concurrency_limit::ended(run_id run)
{
    if (probe_ == run)
        probe_ = {};
}

// Runs that started before a fall tell nothing new, so that one cause makes
// the limit fall once.
void concurrency_limit::fall(std::uint32_t to, time_point now)
{
    if (stated_)
        return;
    limit_ = std::clamp<std::uint32_t>(to, 1, most_);
    fell_ = now;
    probe_ = {};
    next_probe_ = now + probe_wait_;
}

duration concurrency_limit::mean_run(const std::string& route) const
{
    const auto at = route_mean_us_.find(route);
    return at == route_mean_us_.end() ? mean_run() : duration(static_cast<duration::rep>(at->second));
}

duration concurrency_limit::mean_run() const
{
    return duration(static_cast<duration::rep>(mean_us_));
}

} // namespace guavahaven::decide
