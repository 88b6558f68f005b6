#pragma once

// A sequential statistical test of whether a new version is worse than the old one.
//
// It compares counts of the same second, route and data centre. If both versions fail at the same rate, the
// new version's part of the failures in such a stratum has a hypergeometric distribution, whatever the common
// failure rate is at that time and place. The likelihood ratio of odds that are several times higher for the
// new version against equal odds, multiplied over the seconds, is an e-process: the probability that it ever
// exceeds 1/a is at most a, however often it is checked. It is a mixture over the second in which the version
// turns bad (the change point), so that a version that turns bad late is found too.

#include <array>
#include <cstdint>
#include <vector>

namespace guavahaven::decide {

// Runs of both versions in one stratum (one second, route and data centre), and how many of them were bad
// (failed or slow).
struct comparison {
    std::uint64_t new_ran_ = 0;
    std::uint64_t new_bad_ = 0;
    std::uint64_t old_ran_ = 0;
    std::uint64_t old_bad_ = 0;

    friend bool operator==(const comparison&, const comparison&) = default;
};

// Logarithm of a likelihood ratio: how much likelier the new version's number of bad runs is, given the
// number of both versions, if its odds of a bad run are 'odds' times the old version's than if they are
// equal.
double log_likelihood_ratio(const comparison& c, double odds);

// The same for a single event that would fall to the new version with probability 'share' if both versions
// were equal.
double log_event_ratio(bool in_new_version, double share, double odds);

class version_test {
public:
    // 'seconds_expected': length of the move. A change point within it is found sooner than a later one.
    explicit version_test(double seconds_expected);

    // Adds the strata of one second.
    void add(const std::vector<comparison>& strata);

    // Logarithm of the e-value: the higher, the stronger the evidence that the new version is worse.
    double log_e_value() const;

private:
    // Tested odds of a bad run, relative to the old version's. The small one detects a small excess in much
    // traffic, the large ones a broken version in few runs.
    static constexpr std::array odds_ratios{4.0, 30.0, 300.0};

    double weight_left_ = 1.0; // of the change points still to come
    double weight_of_second_;
    bool started_ = false;
    // For each odds ratio: the sum over the change points so far of weight times likelihood ratio.
    std::array<double, odds_ratios.size()> log_sums_{};
};

} // namespace guavahaven::decide
