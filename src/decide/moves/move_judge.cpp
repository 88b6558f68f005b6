#include "decide/moves/move_judge.h"

#include <algorithm>
#include <cmath>

namespace guavahaven::decide {

namespace {

constexpr std::size_t max_judges = 3;
// Probability that a version that is no worse than the old one is withdrawn, over a whole move with all
// its tests and all its judges.
constexpr double max_false_withdrawal_probability = 0.001;
constexpr double min_suspicious_e_value = 10;     // from here on the move does not advance
constexpr double min_rejecting_trial_e_value = 2; // of the seconds of the trial alone
constexpr double expected_trial_seconds = 2; // a trial of one second may extend over two wall-clock seconds
constexpr std::uint64_t min_trial_runs = 10;
constexpr double max_slow_share_of_old = 0.05; // of the old version's runs, beyond the level that is tested
constexpr std::uint64_t min_old_runs = 10;     // before a slow level is chosen
constexpr double recent_runs_decay = 0.8;      // factor for each second
constexpr std::uint64_t max_recent_age_seconds = 5;
constexpr double crash_odds_ratio = 30; // that the crash test looks for, new version to old version

std::string describe(const route_key& key, const char* what, std::uint64_t bad_new, std::uint64_t ran_new,
                     std::uint64_t bad_old, std::uint64_t ran_old)
{
    return "route " + key.route_ + " as " + key.class_.str() + ": " + what + " " + std::to_string(bad_new) +
           " of " + std::to_string(ran_new) + " runs, the old version " + std::to_string(bad_old) + " of " +
           std::to_string(ran_old);
}

} // namespace

std::vector<daemon_name> judges_of(const move_rule& rule, const std::vector<member>& members)
{
    std::vector<daemon_name> names;
    for (const member& m : members)
        if (m.state_ == member_state::alive && m.service_ == rule.service_)
            names.push_back(m.name_);
    const std::string key = std::to_string(rule.id().value());
    std::sort(names.begin(), names.end(), [&](const daemon_name& a, const daemon_name& b) {
        return rendezvous_rank(key, a) > rendezvous_rank(key, b);
    });
    names.resize(std::min(names.size(), max_judges));
    return names;
}

move_judge::move_judge(version_name version, std::size_t routes, double seconds)
    : version_(std::move(version)), routes_(std::max<std::size_t>(1, routes)), expected_seconds_(seconds),
      trial_failures_(expected_trial_seconds), trial_slowness_(expected_trial_seconds)
{
}

void move_judge::add_report(const version_stats& e)
{
    add_crashes(e);
    newest_second_ = std::max(newest_second_, e.second_);
    const auto [at, inserted] = latest_.try_emplace({e.gate_, e.incarnation_, e.version_}, e);
    if (inserted || e.second_ <= at->second.second_)
        return;
    // After a missing report the difference covers several seconds, and can't be compared with that of one.
    if (e.second_ == at->second.second_ + 1 && e.second_ >= tested_until_)
        add_increase(at->second, e);
    at->second = e;
}

// The counts between two reports; none if the gate began to count anew.
std::optional<move_judge::version_counts> move_judge::count_increase(const route_counts& before,
                                                                     const route_counts& after)
{
    if (after.ran_ < before.ran_ || after.failed_ < before.failed_)
        return {};
    version_counts increase{after.ran_ - before.ran_, after.failed_ - before.failed_, {}};
    for (std::size_t i = 0; i < std::min(slow_levels.size(), after.slower_than_level_.size()); ++i) {
        const std::uint64_t was = i < before.slower_than_level_.size() ? before.slower_than_level_[i] : 0;
        if (after.slower_than_level_[i] < was)
            return {};
        increase.slower_than_level_[i] = after.slower_than_level_[i] - was;
    }
    return increase;
}

void move_judge::add_increase(const version_stats& before, const version_stats& after)
{
    for (const route_counts& now : after.routes_) {
        const route_key key{now.route_, now.class_};
        const auto same = [&](const route_counts& r) { return route_key{r.route_, r.class_} == key; };
        const auto was = std::find_if(before.routes_.begin(), before.routes_.end(), same);
        const std::optional<version_counts> increase =
            count_increase(was == before.routes_.end() ? route_counts{} : *was, now);
        if (!increase)
            continue;
        stratum& s = untested_seconds_[after.second_][key][after.data_center_];
        version_counts& sum = after.version_ == version_ ? s.new_ : s.old_;
        sum.ran_ += increase->ran_;
        sum.failed_ += increase->failed_;
        for (std::size_t i = 0; i < slow_levels.size(); ++i)
            sum.slower_than_level_[i] += increase->slower_than_level_[i];
    }
}

// A request that breaks off runs counts once against a version, however often it is sent again.
void move_judge::add_crashes(const version_stats& e)
{
    const bool in_new_version = e.version_ == version_;
    for (const std::uint64_t fingerprint : e.deaths_) {
        const auto same = [&](const crash& d) {
            return d.fingerprint_ == fingerprint && d.in_new_version_ == in_new_version;
        };
        if (std::none_of(crashes_.begin(), crashes_.end(), same))
            crashes_.push_back({fingerprint, in_new_version, new_version_share()});
    }
}

void move_judge::test_until(std::uint64_t second)
{
    while (!untested_seconds_.empty() && untested_seconds_.begin()->first < second) {
        const auto closed = untested_seconds_.extract(untested_seconds_.begin());
        recent_new_runs_ *= recent_runs_decay;
        recent_old_runs_ *= recent_runs_decay;
        const bool on_trial = closed.key() >= trial_first_ && closed.key() <= trial_last_;
        std::vector<comparison> failures;
        std::vector<comparison> slowness;
        for (const auto& [key, by_data_center] : closed.mapped()) {
            const comparisons c = test_route(key, by_data_center);
            failures.insert(failures.end(), c.failures_.begin(), c.failures_.end());
            slowness.insert(slowness.end(), c.slowness_.begin(), c.slowness_.end());
        }
        if (!on_trial)
            continue;
        for (const auto& [key, by_data_center] : closed.mapped()) {
            for (const auto& [data_center, s] : by_data_center) {
                tests_.at(key).new_on_trial_.ran_ += s.new_.ran_;
                tests_.at(key).new_on_trial_.failed_ += s.new_.failed_;
            }
        }
        for (const comparison& c : failures) {
            trial_totals_.new_ran_ += c.new_ran_;
            trial_totals_.new_failed_ += c.new_bad_;
            trial_totals_.old_ran_ += c.old_ran_;
            trial_totals_.old_failed_ += c.old_bad_;
        }
        trial_failures_.add(failures);
        trial_slowness_.add(slowness);
    }
    tested_until_ = std::max(tested_until_, second);
}

move_judge::comparisons move_judge::test_route(const route_key& key, const strata& by_data_center)
{
    const auto at =
        tests_
            .try_emplace(
                key, route_tests{version_test(expected_seconds_), version_test(expected_seconds_), {}, {}})
            .first;
    route_tests& t = at->second;
    // Slowness is tested at the lowest level that the old version has rarely passed in the tested
    // seconds.
    std::optional<std::size_t> level;
    for (std::size_t i = 0; i < slow_levels.size() && !level; ++i) {
        const double allowed = max_slow_share_of_old * static_cast<double>(t.old_totals_.ran_);
        if (t.old_totals_.ran_ >= min_old_runs &&
            static_cast<double>(t.old_totals_.slower_than_level_[i]) <= allowed)
            level = i;
    }
    // If no data centre has runs of both versions, the sums over all data centres are compared.
    const bool across_data_centers =
        std::none_of(by_data_center.begin(), by_data_center.end(),
                     [](const auto& s) { return s.second.new_.ran_ > 0 && s.second.old_.ran_ > 0; });
    std::map<data_center_name, comparison> failures;
    std::map<data_center_name, comparison> slowness;
    const auto add = [](comparison& c, const stratum& s, std::uint64_t new_bad, std::uint64_t old_bad) {
        c.new_ran_ += s.new_.ran_;
        c.old_ran_ += s.old_.ran_;
        c.new_bad_ += new_bad;
        c.old_bad_ += old_bad;
    };
    for (const auto& [data_center, s] : by_data_center) {
        const data_center_name group = across_data_centers ? data_center_name() : data_center;
        add(failures[group], s, s.new_.failed_, s.old_.failed_);
        if (level)
            add(slowness[group], s, s.new_.slower_than_level_[*level], s.old_.slower_than_level_[*level]);
        recent_new_runs_ += static_cast<double>(s.new_.ran_);
        recent_old_runs_ += static_cast<double>(s.old_.ran_);
        t.old_totals_.ran_ += s.old_.ran_;
        t.old_totals_.failed_ += s.old_.failed_;
        for (std::size_t i = 0; i < slow_levels.size(); ++i)
            t.old_totals_.slower_than_level_[i] += s.old_.slower_than_level_[i];
    }
    const auto values = [](const std::map<data_center_name, comparison>& by_group) {
        std::vector<comparison> all;
        for (const auto& [group, c] : by_group)
            all.push_back(c);
        return all;
    };
    const comparisons c{values(failures), values(slowness)};
    t.failures_.add(c.failures_);
    t.slowness_.add(c.slowness_);
    return c;
}

void move_judge::set_trial(std::uint64_t first, std::uint64_t last)
{
    trial_first_ = first;
    trial_last_ = last;
}

std::string move_judge::trial_rejection_reason() const
{
    if (trial_totals_.new_ran_ < min_trial_runs)
        return "too little was seen of its trial under load";
    const double limit = std::log(min_rejecting_trial_e_value);
    if (trial_failures_.log_e_value() >= limit || trial_slowness_.log_e_value() >= limit ||
        trial_failure_log_e_value() >= limit)
        return "it may be worse under load";
    return {};
}

double move_judge::trial_failure_log_e_value() const
{
    std::vector<comparison> routes;
    for (const auto& [key, t] : tests_)
        routes.push_back(
            {t.new_on_trial_.ran_, t.new_on_trial_.failed_, t.old_totals_.ran_, t.old_totals_.failed_});
    version_test test(expected_trial_seconds);
    test.add(routes);
    return test.log_e_value();
}

double move_judge::log_threshold() const
{
    const double tests =
        2 * static_cast<double>(routes_) + 1; // failures and slowness of each route, and crashes
    return std::log(tests * max_judges / max_false_withdrawal_probability);
}

std::optional<std::string> move_judge::regression() const
{
    const std::map<route_key, run_totals> all = totals();
    for (const auto& [key, t] : tests_) {
        const auto at = all.find(key);
        const run_totals sum = at == all.end() ? run_totals{} : at->second;
        if (t.failures_.log_e_value() >= log_threshold())
            return describe(key, "failed", sum.new_failed_, sum.new_ran_, sum.old_failed_, sum.old_ran_);
        if (t.slowness_.log_e_value() >= log_threshold()) {
            std::uint64_t slow = 0;
            for (const auto& [gate, e] : latest_)
                for (const route_counts& r : e.routes_)
                    if (e.version_ == version_ && route_key{r.route_, r.class_} == key &&
                        !r.slower_than_level_.empty())
                        slow += r.slower_than_level_.front();
            return describe(key, "slow", slow, sum.new_ran_, t.old_totals_.slower_than_level_.front(),
                            t.old_totals_.ran_);
        }
    }
    if (log_crash_e_value() >= log_threshold())
        return "its backend servers break off runs that those of the old version do not";
    return {};
}

bool move_judge::regression_suspected() const
{
    const double limit = std::log(min_suspicious_e_value);
    return log_crash_e_value() >= limit || std::any_of(tests_.begin(), tests_.end(), [&](const auto& t) {
               return t.second.failures_.log_e_value() >= limit || t.second.slowness_.log_e_value() >= limit;
           });
}

// A request that breaks off runs of both versions says nothing about either, and is left out.
double move_judge::log_crash_e_value() const
{
    double sum = 0;
    for (const crash& d : crashes_) {
        const bool in_both_versions = std::any_of(crashes_.begin(), crashes_.end(), [&](const crash& other) {
            return other.fingerprint_ == d.fingerprint_ && other.in_new_version_ != d.in_new_version_;
        });
        if (!in_both_versions)
            sum += log_event_ratio(d.in_new_version_, d.share_, crash_odds_ratio);
    }
    return sum;
}

// Expected share of the new version in crashes if it crashes no more often than the old one. Crashes by
// the replacement of instances are proportional to the number of backend servers, those caused by requests
// to the number of runs. The larger of the two shares is used, so that the new version isn't blamed for
// either.
double move_judge::new_version_share() const
{
    double gates_new = 1;
    double gates = 2;
    for (const auto& [key, e] : latest_) {
        if (!recent(e))
            continue;
        gates += 1;
        gates_new += e.version_ == version_ ? 1 : 0;
    }
    const double of_runs = (recent_new_runs_ + 1) / (recent_new_runs_ + recent_old_runs_ + 2);
    return std::max(of_runs, gates_new / gates);
}

bool move_judge::recent(const version_stats& e) const
{
    return e.second_ + max_recent_age_seconds >= newest_second_;
}

std::map<route_key, run_totals> move_judge::totals() const
{
    std::map<route_key, run_totals> all;
    for (const auto& [key, e] : latest_) {
        for (const route_counts& r : e.routes_) {
            run_totals& sum = all[{r.route_, r.class_}];
            const bool is_new = e.version_ == version_;
            (is_new ? sum.new_ran_ : sum.old_ran_) += r.ran_;
            (is_new ? sum.new_failed_ : sum.old_failed_) += r.failed_;
        }
    }
    return all;
}

std::uint32_t move_judge::capacity() const
{
    std::uint32_t sum = 0;
    for (const auto& [key, e] : latest_)
        if (recent(e) && e.version_ == version_)
            sum += e.limit_;
    return sum;
}

double move_judge::demand() const
{
    std::chrono::duration<double>
        run_time{}; // within one second, so its length in seconds is the mean concurrency
    for (const auto& [key, e] : latest_)
        if (recent(e))
            run_time += e.busy_;
    return run_time.count();
}

std::vector<version_stats> move_judge::latest_reports() const
{
    std::vector<version_stats> all;
    for (const auto& [key, e] : latest_)
        all.push_back(e);
    return all;
}

} // namespace guavahaven::decide
