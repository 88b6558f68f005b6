#include "decide/moves/version_test.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace guavahaven::decide {

namespace {

constexpr double weight_at_once = 0.5; // of versions that are bad from the start
constexpr double seconds_least = 16;
constexpr double no_weight = -std::numeric_limits<double>::infinity();

double log_choose(std::uint64_t n, std::uint64_t k)
{
    const auto log_factorial = [](std::uint64_t x) { return std::lgamma(static_cast<double>(x) + 1); };
    return log_factorial(n) - log_factorial(k) - log_factorial(n - k);
}

double log_add(double a, double b)
{
    const double more = std::max(a, b);
    if (more == no_weight)
        return no_weight;
    return more + std::log1p(std::exp(std::min(a, b) - more));
}

} // namespace

double log_likelihood_ratio(const comparison& c, double odds)
{
    const std::uint64_t bad = c.new_bad_ + c.old_bad_;
    if (bad == 0 || bad == c.new_ran_ + c.old_ran_ || c.new_ran_ == 0 || c.old_ran_ == 0)
        return 0; // nothing could have been otherwise
    const std::uint64_t least = bad > c.old_ran_ ? bad - c.old_ran_ : 0;
    const std::uint64_t most = std::min(bad, c.new_ran_);
    const double log_odds = std::log(odds);
    double same = no_weight;
    double worse = no_weight;
    for (std::uint64_t x = least; x <= most; ++x) {
        const double ways = log_choose(c.new_ran_, x) + log_choose(c.old_ran_, bad - x);
        same = log_add(same, ways);
        worse = log_add(worse, ways + static_cast<double>(x) * log_odds);
    }
    return static_cast<double>(c.new_bad_) * log_odds + same - worse;
}

double log_event_ratio(bool at_new, double share, double odds)
{
    return (at_new ? std::log(odds) : 0.0) - std::log(odds * share + 1 - share);
}

version_test::version_test(double seconds_expected)
    : weight_of_second_((1 - weight_at_once) / std::max(seconds_least, seconds_expected))
{
    log_sums_.fill(no_weight);
}

void version_test::add(const std::vector<comparison>& strata)
{
    const double weight = std::min(weight_left_, began_ ? weight_of_second_ : weight_at_once);
    began_ = true;
    weight_left_ -= weight;
    for (std::size_t i = 0; i < odds_tried.size(); ++i) {
        if (weight > 0)
            log_sums_[i] = log_add(log_sums_[i], std::log(weight));
        for (const comparison& c : strata)
            log_sums_[i] += log_likelihood_ratio(c, odds_tried[i]);
    }
}

double version_test::log_e_value() const
{
    double sum = weight_left_ > 0 ? std::log(weight_left_) : no_weight;
    const double part = std::log(1.0 / static_cast<double>(odds_tried.size()));
    for (const double s : log_sums_)
        sum = log_add(sum, s + part);
    return sum;
}

} // namespace guavahaven::decide
