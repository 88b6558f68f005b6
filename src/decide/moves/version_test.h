#pragma once

// The sequential test by which a new version is compared with the old one.
//
// Counts of the same second, route and data centre are compared. If both
// versions fail alike, each share-out of that second's failures between them is
// as likely as any other draw of runs (a hypergeometric law), whatever the
// common rate of failures is at that time and place. The likelihood ratio
// against odds that are several times higher for the new version, multiplied
// over seconds, is an e-process: the chance that it ever passes 1/a is at most
// a, however often it is looked at. A mixture over the second in which the
// version turns bad finds one that goes bad late.

#include <array>
#include <cstdint>
#include <vector>

namespace guavahaven::decide {

// Runs of both versions in one stratum (a second of a data centre), and how
// many of them were bad.
struct comparison {
    std::uint64_t new_ran_ = 0;
    std::uint64_t new_bad_ = 0;
    std::uint64_t old_ran_ = 0;
    std::uint64_t old_bad_ = 0;

    friend bool operator==(const comparison&, const comparison&) = default;
};

// Logarithm of how much likelier the new version's bad runs are, given the sum of
// both, if the odds of a bad run are 'odds' times the old version's than if
// they are the same.
double log_likelihood_ratio(const comparison& c, double odds);

// The same for a single event, of which a new version at that share of all would
// have its part by chance.
double log_event_ratio(bool at_new, double share, double odds);

class version_test {
public:
    // Seconds that the move is expected to last; a change point within them is
    // found soonest.
    explicit version_test(double seconds_expected);

    // Takes the strata of one second.
    void add(const std::vector<comparison>& strata);

    // Logarithm of the e-value: evidence that the new version is worse.
    double log_e_value() const;

private:
    // Odds of a bad run against the old version's; the small one finds a small
    // excess in much traffic, the large ones a broken version in few runs.
    static constexpr std::array odds_tried{4.0, 30.0, 300.0};

    double weight_left_ = 1.0; // of change points still to come
    double weight_of_second_;
    bool began_ = false;
    std::array<double, odds_tried.size()> log_sums_{}; // over change points, of weight times ratio
};

} // namespace guavahaven::decide
