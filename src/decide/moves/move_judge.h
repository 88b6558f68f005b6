#pragma once

// What one daemon that judges a move knows of it: the evidence of the gates,
// and whether it shows the new version to be worse than the old one.

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "decide/moves/version_stats_collector.h"
#include "decide/moves/version_test.h"

namespace guavahaven::decide {

// The daemons that judge a move: a few living ones beside backend servers of its
// service, by rendezvous rank. Views that differ yield other judges, which is
// harmless: facts are joined, and each judge keeps to the same error rate.
std::vector<daemon_name> judges_of(const move_rule& rule, const std::vector<member>& members);

// Runs by version.
struct run_totals {
    std::uint64_t new_ran_ = 0;
    std::uint64_t new_failed_ = 0;
    std::uint64_t old_ran_ = 0;
    std::uint64_t old_failed_ = 0;

    friend bool operator==(const run_totals&, const run_totals&) = default;
};

// A route and the class of its requests.
struct route_key {
    std::string route_;
    class_name class_;

    friend auto operator<=>(const route_key&, const route_key&) = default;
};

class move_judge {
public:
    // 'routes': how many routes lead to the service; 'seconds': expected length of the move.
    move_judge(version_name version, std::size_t routes, double seconds);

    // Takes a gate's counts; late and doubled ones do no harm.
    void take(const evidence& e);

    // Tests the evidence of the seconds before this one.
    void test_until(std::uint64_t second);

    // Why the version is bad, once that is shown.
    std::optional<std::string> badness() const;
    // True while a badness is likely but not yet shown.
    bool doubtful() const;

    // The wall-clock seconds in which the version is tried under load, first and
    // last; to be stated before they are tested.
    void set_trial(std::uint64_t first, std::uint64_t last);
    // Why the trial does not speak for the version; empty if it does. A version
    // that is bad under load only shows it nowhere else, so that less than a
    // proof of badness counts.
    std::string trial_objection() const;

    std::map<route_key, run_totals> totals() const;
    // Runs at once that the gates of the new version admit now.
    std::uint32_t capacity() const;
    // Runs at once that all gates of the service had of late, on average.
    double demand() const;

    std::vector<evidence> known() const;

private:
    struct side {
        std::uint64_t ran_ = 0;
        std::uint64_t failed_ = 0;
        std::array<std::uint64_t, slow_levels.size()> slower_{};
    };
    struct stratum {
        side new_;
        side old_;
    };
    struct route_tests {
        version_test failures_;
        version_test slowness_;
        side old_seen_; // of all seconds tested
    };
    struct death {
        std::uint64_t fingerprint_ = 0;
        bool at_new_ = false;
        double share_ = 0; // of the new version in the service when it happened
    };
    // Of one second and route, by data centre.
    struct comparisons {
        std::vector<comparison> failures_;
        std::vector<comparison> slowness_;
    };
    using gate_key = std::tuple<daemon_name, incarnation, version_name>;
    using strata = std::map<data_center_name, stratum>;

    static std::optional<side> growth(const route_counts& before, const route_counts& after);
    void take_growth(const evidence& before, const evidence& after);
    void take_deaths(const evidence& e);
    comparisons test_route(const route_key& key, const strata& by_data_center);
    double share_of_new() const;
    bool recent(const evidence& e) const;
    double log_death_e_value() const;
    double log_threshold() const;

    version_name version_;
    std::size_t routes_;
    double seconds_;
    std::uint64_t newest_ = 0; // second of the newest evidence
    std::uint64_t tested_ = 0; // seconds before this one are closed
    std::map<gate_key, evidence> last_;
    std::map<std::uint64_t, std::map<route_key, strata>> seconds_open_;
    std::map<route_key, route_tests> tests_;
    std::vector<death> deaths_;
    std::uint64_t trial_first_ = 0; // 0: none
    std::uint64_t trial_last_ = 0;
    std::uint64_t trial_runs_ = 0; // of the new version
    version_test trial_failures_;
    version_test trial_slowness_;
    double recent_new_ = 0; // runs, fading
    double recent_old_ = 0;
};

} // namespace guavahaven::decide
