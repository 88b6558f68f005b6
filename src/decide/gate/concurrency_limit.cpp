#include "decide/gate/concurrency_limit.h"

#include <algorithm>

#include "base/guards.h"

namespace guavahaven::decide {

namespace {

constexpr std::uint32_t cold_start_limit = 2;                        // runs at once after a cold start
constexpr duration cold_start_probe_delay = std::chrono::seconds(5); // before the first probe
constexpr duration min_probe_interval = std::chrono::seconds(1);     // after a decrease or a refused probe
constexpr duration max_probe_interval = std::chrono::seconds(30);
constexpr double mean_weight = 0.05;     // of the latest run time in the moving average
constexpr double baseline_weight = 0.01; // the same for a route's baseline
constexpr double slowdown_weight = 0.1;  // the same for the slowdown
constexpr double slowdown_threshold = 3; // of run times to the baseline, above which the limit is halved
constexpr double max_run_time_ratio = 6; // so that a single outlier is no slowdown
constexpr double min_delay_us = 5'000;   // smaller delays are scheduling noise
constexpr std::size_t max_routes = 256;  // that have averages of their own

} // namespace

void concurrency_limit::cold_start(time_point now)
{
    if (!fixed_)
        limit_ = std::min(cold_start_limit, max_);
    probe_ = {};
    probe_interval_ = min_probe_interval;
    next_probe_ = now + cold_start_probe_delay;
    last_decrease_ = now;
    slowdown_ = 1;
    baseline_us_.clear();
}

void concurrency_limit::set_max(std::uint32_t slots, std::uint32_t connections)
{
    max_ = std::max<std::uint32_t>(1, std::min(slots, connections));
    limit_ = std::min(limit_, max_);
}

void concurrency_limit::set_fixed(std::uint32_t slots, std::uint32_t connections)
{
    fixed_ = true;
    set_max(slots, connections);
    limit_ = max_;
}

bool concurrency_limit::admits(std::size_t running, time_point now) const
{
    if (running < limit_ || !guard_enabled(guard::cold_limit))
        return true;
    return running == limit_ && limit_ < max_ && probe_ == run_id() && now >= next_probe_;
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
    if (route_mean_us_.size() < max_routes || route_mean_us_.contains(route)) {
        double& mean = route_mean_us_.try_emplace(route, took_us).first->second;
        mean += (took_us - mean) * mean_weight;
    }
    update_slowdown(route, took_us, now - took, now);
    if (probe_ != run)
        return;
    probe_ = {};
    limit_ = std::min(limit_ + 1, max_);
    if (limit_ == max_)
        probe_interval_ = min_probe_interval;
}

void concurrency_limit::update_slowdown(const std::string& route, double took_us, time_point started,
                                        time_point now)
{
    auto baseline = baseline_us_.find(route);
    if (baseline == baseline_us_.end()) {
        if (baseline_us_.size() >= max_routes)
            return;
        baseline = baseline_us_.emplace(route, took_us).first;
    }
    const double before = baseline->second;
    baseline->second += (took_us - before) * baseline_weight;
    const bool slow = took_us > before + min_delay_us;
    const double ratio = slow && before > 0 ? std::min(took_us / before, max_run_time_ratio) : 1;
    slowdown_ += (ratio - slowdown_) * slowdown_weight;
    if (!slow || slowdown_ <= slowdown_threshold || started < last_decrease_)
        return;
    decrease(limit_ / 2, now);
    slowdown_ = 1;
}

void concurrency_limit::shed(run_id run, time_point started, time_point now)
{
    if (probe_ == run) {
        probe_ = {};
        next_probe_ = now + probe_interval_;
        probe_interval_ = std::min(probe_interval_ * 2, max_probe_interval);
        return;
    }
    if (started > last_decrease_)
        decrease(limit_ > cold_start_limit ? cold_start_limit : 1, now);
}

void concurrency_limit::timed_out(run_id run, time_point started, time_point now)
{
    ended(run);
    if (started > last_decrease_)
        decrease(limit_ / 2, now);
}

void concurrency_limit::ended(run_id run)
{
    if (probe_ == run)
        probe_ = {};
}

// Callers ignore runs that started before the last decrease, so that one cause lowers the limit only once.
void concurrency_limit::decrease(std::uint32_t to, time_point now)
{
    if (fixed_)
        return;
    limit_ = std::clamp<std::uint32_t>(to, 1, max_);
    last_decrease_ = now;
    probe_ = {};
    next_probe_ = now + probe_interval_;
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
