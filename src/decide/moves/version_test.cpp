#include "decide/moves/version_test.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace guavahaven::decide {

namespace {

constexpr double initial_weight = 0.5; // prior weight of a version that is bad from the start
constexpr double min_expected_seconds = 16;
constexpr double log_zero = -std::numeric_limits<double>::infinity();

double log_choose(std::uint64_t n, std::uint64_t k)
{
    const auto log_factorial = [](std::uint64_t x) { return std::lgamma(static_cast<double>(x) + 1); };
    return log_factorial(n) - log_factorial(k) - log_factorial(n - k);
}

// log(exp(a) + exp(b))
double log_add(double a, double b)
{
    const double more = std::max(a, b);
    if (more == log_zero)
        return log_zero;
    return more + std::log1p(std::exp(std::min(a, b) - more));
}

} // namespace

double log_likelihood_ratio(const comparison& c, double odds)
{
    const std::uint64_t bad = c.new_bad_ + c.old_bad_;
    if (bad == 0 || bad == c.new_ran_ + c.old_ran_ || c.new_ran_ == 0 || c.old_ran_ == 0)
        return 0; // only one outcome was possible
    const std::uint64_t min_new_bad = bad > c.old_ran_ ? bad - c.old_ran_ : 0;
    const std::uint64_t max_new_bad = std::min(bad, c.new_ran_);
    const double log_odds = std::log(odds);
    double same = log_zero;
    double worse = log_zero;
    for (std::uint64_t x = min_new_bad; x <= max_new_bad; ++x) {
        const double log_ways = log_choose(c.new_ran_, x) + log_choose(c.old_ran_, bad - x);
        same = log_add(same, log_ways);
        worse = log_add(worse, log_ways + static_cast<double>(x) * log_odds);
    }
    return static_cast<double>(c.new_bad_) * log_odds + same - worse;
}

double log_event_ratio(bool in_new_version, double share, double odds)
{
    return (in_new_version ? std::log(odds) : 0.0) - std::log(odds * share + 1 - share);
}

version_test::version_test(double seconds_expected)
    : weight_of_second_((1 - initial_weight) / std::max(min_expected_seconds, seconds_expected))
{
    log_sums_.fill(log_zero);
}

void version_test::add(const std::vector<comparison>& strata)
{
    const double weight = std::min(weight_left_, started_ ? weight_of_second_ : initial_weight);
    started_ = true;
    weight_left_ -= weight;
    for (std::size_t i = 0; i < odds_ratios.size(); ++i) {
        if (weight > 0)
            log_sums_[i] = log_add(log_sums_[i], std::log(weight));
        for (const comparison& c : strata)
            log_sums_[i] += log_likelihood_ratio(c, odds_ratios[i]);
    }
}

double version_test::log_e_value() const
{
    double sum = weight_left_ > 0 ? std::log(weight_left_) : log_zero;
    const double part = std::log(1.0 / static_cast<double>(odds_ratios.size()));
    for (const double s : log_sums_)
        sum = log_add(sum, s + part);
    return sum;
}

} // namespace guavahaven::decide
