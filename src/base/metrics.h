#pragma once

// Counters, gauges and latency histograms (Boost.Accumulators), and their text form
// for metric scrapers (Prometheus).

#include <sstream> // the quantile header below relies on it

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace guavahaven {

// Distribution of durations: bucket counts with fixed upper bounds, and quantile
// estimates since the process's start.
class histogram {
public:
    histogram();

    void record(duration d);

    std::uint64_t count() const;
    double sum_seconds() const;
    double max_seconds() const;
    // Estimate in seconds; the probability is 0.5, 0.9, 0.99 or 0.999. Zero if empty.
    double quantile(double probability) const;

    // Upper bounds of the buckets, in seconds.
    static constexpr std::array bounds{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                       0.1,    0.2,   0.5,   1.0,   2.0,  5.0,  10.0};
    // Count of each bucket alone, not cumulative. Values above the last bound are in none.
    const std::array<std::uint64_t, bounds.size()>& buckets() const { return buckets_; }

private:
    using statistics =
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max,
                                   boost::accumulators::tag::extended_p_square_quantile>;
    boost::accumulators::accumulator_set<double, statistics> values_;
    std::array<std::uint64_t, bounds.size()> buckets_{};
};

// All metrics of one process, by name and labels. Labels are given in their text
// form, such as 'class="lookup"'. A metric that does not exist yet is created.
class metrics {
public:
    std::uint64_t& counter(const std::string& name, const std::string& labels = "");
    // All counters with a name, by their labels.
    std::map<std::string, std::uint64_t> counters(const std::string& name) const;
    void set_gauge(const std::string& name, double value, const std::string& labels = "");
    histogram& timing(const std::string& name, const std::string& labels = "");

    // Prometheus text format: one 'name{labels} value' a line, grouped by name.
    std::string exposition() const;

private:
    template <class T>
    using family = std::map<std::string, std::map<std::string, T>>;

    family<std::uint64_t> counters_;
    family<double> gauges_;
    family<histogram> timings_;
};

} // namespace guavahaven
