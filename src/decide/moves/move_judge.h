#pragma once

// Judges one move (progressive rollout): joins the statistics that the gates of the service report, and
// tests whether the new version fails, is slow or crashes more often than the old one.

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

// The daemons that judge a move: up to three that are alive and stand beside backend servers of its
// service, chosen by rendezvous hashing. Daemons with different views may choose different judges. That
// does no harm, since the judges' facts are joined and each judge keeps to the same error rate.
std::vector<daemon_name> judges_of(const move_rule& rule, const std::vector<member>& members);

// Runs of the new and of the old version.
struct run_totals {
    std::uint64_t new_ran_ = 0;
    std::uint64_t new_failed_ = 0;
    std::uint64_t old_ran_ = 0;
    std::uint64_t old_failed_ = 0;

    friend bool operator==(const run_totals&, const run_totals&) = default;
};

struct route_key {
    std::string route_;
    class_name class_;

    friend auto operator<=>(const route_key&, const route_key&) = default;
};

class move_judge {
public:
    // 'version': the new version; 'routes': how many routes lead to the service; 'seconds': expected length
    // of the move.
    move_judge(version_name version, std::size_t routes, double seconds);

    // Records a gate's cumulative counts; late and repeated reports change nothing.
    void add_report(const version_stats& e);

    // Tests the counts of all wall-clock seconds before this one; reports of them that come later are not
    // tested.
    void test_until(std::uint64_t second);

    // Why the new version is worse, once that is proven; empty before.
    std::optional<std::string> regression() const;
    // True while a regression is likely; it may not be proven yet.
    bool regression_suspected() const;

    // The first and last wall-clock second of the trial, in which the new version is tried under load. Must
    // be called before these seconds are tested.
    void set_trial(std::uint64_t first, std::uint64_t last);
    // Why the trial is not passed; empty if it is. A version that is worse only under load is seen to be so
    // in the trial alone, so suspicion is enough here and no proof is required. Failures on trial are also
    // compared with those of the old version in the whole move: it has few runs in the seconds of the trial.
    std::string trial_rejection_reason() const;
    // Runs on trial of both versions, over all routes.
    const run_totals& trial_totals() const { return trial_totals_; }

    // Runs since the gates learned of the move.
    std::map<route_key, run_totals> totals() const;
    // Concurrent runs that the gates of the new version admit now.
    std::uint32_t capacity() const;
    // Mean number of concurrent runs at all gates of the service, by their latest reports.
    double demand() const;

    // The latest report of each gate and version.
    std::vector<version_stats> latest_reports() const;

private:
    struct version_counts {
        std::uint64_t ran_ = 0;
        std::uint64_t failed_ = 0;
        std::array<std::uint64_t, slow_levels.size()> slower_than_level_{};
    };
    // Runs that are compared with each other: those of one second, route and data centre.
    struct stratum {
        version_counts new_;
        version_counts old_;
    };
    struct route_tests {
        version_test failures_;
        version_test slowness_;
        version_counts old_totals_; // of all tested seconds
        version_counts new_on_trial_;
    };
    struct crash {
        std::uint64_t fingerprint_ = 0;
        bool in_new_version_ = false;
        double share_ = 0; // of the new version in the service at the time of the crash
    };
    // The strata of one second and route, one for each data centre.
    struct comparisons {
        std::vector<comparison> failures_;
        std::vector<comparison> slowness_;
    };
    using gate_key = std::tuple<daemon_name, incarnation, version_name>;
    using strata = std::map<data_center_name, stratum>;

    static std::optional<version_counts> count_increase(const route_counts& before,
                                                        const route_counts& after);
    void add_increase(const version_stats& before, const version_stats& after);
    void add_crashes(const version_stats& e);
    comparisons test_route(const route_key& key, const strata& by_data_center);
    double new_version_share() const;
    double trial_failure_log_e_value() const;
    bool recent(const version_stats& e) const;
    double log_crash_e_value() const;
    double log_threshold() const;

    version_name version_;
    std::size_t routes_;
    double expected_seconds_;
    std::uint64_t newest_second_ = 0; // of all reports
    std::uint64_t tested_until_ = 0;  // seconds before this one have been tested
    std::map<gate_key, version_stats> latest_;
    std::map<std::uint64_t, std::map<route_key, strata>> untested_seconds_;
    std::map<route_key, route_tests> tests_;
    std::vector<crash> crashes_;
    std::uint64_t trial_first_ = 0; // wall-clock second; 0: no trial yet
    std::uint64_t trial_last_ = 0;
    run_totals trial_totals_;
    version_test trial_failures_; // in the seconds of the trial
    version_test trial_slowness_;
    double recent_new_runs_ = 0; // with exponential decay
    double recent_old_runs_ = 0;
};

} // namespace guavahaven::decide
