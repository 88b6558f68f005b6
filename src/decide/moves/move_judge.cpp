#include "decide/moves/move_judge.h"

#include <algorithm>
#include <cmath>

namespace guavahaven::decide {

namespace {

constexpr std::size_t judge_count = 3;
// Chance that a version that is no worse than the old one is withdrawn, over a
// whole move, all its tests and all its judges.
constexpr double false_withdrawals = 0.001;
constexpr double doubt = 10;        // e-value from which a move waits
constexpr double trial_doubt = 2;   // e-value of the seconds on trial alone
constexpr double trial_seconds = 2; // that a trial of one second touches
constexpr std::uint64_t trial_runs_least = 10;
constexpr double slow_share_of_old = 0.05;   // at most, beyond the level that is tested
constexpr std::uint64_t old_runs_least = 10; // before a slow level is chosen
constexpr double fading = 0.8;               // of the recent runs, each second
constexpr std::uint64_t recent_seconds = 5;
constexpr double death_odds = 30; // tried against the old version's

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
    names.resize(std::min(names.size(), judge_count));
    return names;
}

move_judge::move_judge(version_name version, std::size_t routes, double seconds)
    : version_(std::move(version)), routes_(std::max<std::size_t>(1, routes)), seconds_(seconds),
      trial_failures_(trial_seconds), trial_slowness_(trial_seconds)
{
}

void move_judge::take(const evidence& e)
{
    take_deaths(e);
    newest_ = std::max(newest_, e.second_);
    const auto [at, fresh] = last_.try_emplace({e.gate_, e.incarnation_, e.version_}, e);
    if (fresh || e.second_ <= at->second.second_)
        return;
    // Counts that cover several seconds can't be set against those of one.
    if (e.second_ == at->second.second_ + 1 && e.second_ >= tested_)
        take_growth(at->second, e);
    at->second = e;
}

// What was counted between two reports; none if the counts began anew.
std::optional<move_judge::side> move_judge::growth(const route_counts& before, const route_counts& after)
{
    if (after.ran_ < before.ran_ || after.failed_ < before.failed_)
        return {};
    side grown{after.ran_ - before.ran_, after.failed_ - before.failed_, {}};
    for (std::size_t i = 0; i < std::min(slow_levels.size(), after.slower_.size()); ++i) {
        const std::uint64_t was = i < before.slower_.size() ? before.slower_[i] : 0;
        if (after.slower_[i] < was)
            return {};
        grown.slower_[i] = after.slower_[i] - was;
    }
    return grown;
}

void move_judge::take_growth(const evidence& before, const evidence& after)
{
    for (const route_counts& now : after.routes_) {
        const route_key key{now.route_, now.class_};
        const auto same = [&](const route_counts& r) { return route_key{r.route_, r.class_} == key; };
        const auto was = std::find_if(before.routes_.begin(), before.routes_.end(), same);
        const std::optional<side> grown = growth(was == before.routes_.end() ? route_counts{} : *was, now);
        if (!grown)
            continue;
        stratum& s = seconds_open_[after.second_][key][after.data_center_];
        side& sum = after.version_ == version_ ? s.new_ : s.old_;
        sum.ran_ += grown->ran_;
        sum.failed_ += grown->failed_;
        for (std::size_t i = 0; i < slow_levels.size(); ++i)
            sum.slower_[i] += grown->slower_[i];
    }
}

// Each request counts once against a version, however often it is sent again.
void move_judge::take_deaths(const evidence& e)
{
    const bool at_new = e.version_ == version_;
    for (const std::uint64_t fingerprint : e.deaths_) {
        const auto same = [&](const death& d) {
            return d.fingerprint_ == fingerprint && d.at_new_ == at_new;
        };
        if (std::none_of(deaths_.begin(), deaths_.end(), same))
            deaths_.push_back({fingerprint, at_new, share_of_new()});
    }
}

void move_judge::test_until(std::uint64_t second)
{
    while (!seconds_open_.empty() && seconds_open_.begin()->first < second) {
        const auto closed = seconds_open_.extract(seconds_open_.begin());
        recent_new_ *= fading;
        recent_old_ *= fading;
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
        for (const comparison& c : failures)
            trial_runs_ += c.new_ran_;
        trial_failures_.add(failures);
        trial_slowness_.add(slowness);
    }
    tested_ = std::max(tested_, second);
}

move_judge::comparisons move_judge::test_route(const route_key& key, const strata& by_data_center)
{
    const auto at =
        tests_.try_emplace(key, route_tests{version_test(seconds_), version_test(seconds_), {}}).first;
    route_tests& t = at->second;
    // The lowest level that the old version rarely passes, by what is past.
    std::optional<std::size_t> level;
    for (std::size_t i = 0; i < slow_levels.size() && !level; ++i) {
        const double allowed = slow_share_of_old * static_cast<double>(t.old_seen_.ran_);
        if (t.old_seen_.ran_ >= old_runs_least && static_cast<double>(t.old_seen_.slower_[i]) <= allowed)
            level = i;
    }
    // Where no data centre has both versions, the data centres are compared with each other.
    const bool apart = std::none_of(by_data_center.begin(), by_data_center.end(), [](const auto& s) {
        return s.second.new_.ran_ > 0 && s.second.old_.ran_ > 0;
    });
    std::map<data_center_name, comparison> failures;
    std::map<data_center_name, comparison> slowness;
    const auto add = [](comparison& c, const stratum& s, std::uint64_t new_bad, std::uint64_t old_bad) {
        c.new_ran_ += s.new_.ran_;
        c.old_ran_ += s.old_.ran_;
        c.new_bad_ += new_bad;
        c.old_bad_ += old_bad;
    };
    for (const auto& [data_center, s] : by_data_center) {
        const data_center_name place = apart ? data_center_name() : data_center;
        add(failures[place], s, s.new_.failed_, s.old_.failed_);
        if (level)
            add(slowness[place], s, s.new_.slower_[*level], s.old_.slower_[*level]);
        recent_new_ += static_cast<double>(s.new_.ran_);
        recent_old_ += static_cast<double>(s.old_.ran_);
        t.old_seen_.ran_ += s.old_.ran_;
        for (std::size_t i = 0; i < slow_levels.size(); ++i)
            t.old_seen_.slower_[i] += s.old_.slower_[i];
    }
    const auto values = [](const std::map<data_center_name, comparison>& by_place) {
        std::vector<comparison> all;
        for (const auto& [place, c] : by_place)
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

std::string move_judge::trial_objection() const
{
    if (trial_runs_ < trial_runs_least)
        return "too little was seen of its trial under load";
    const double limit = std::log(trial_doubt);
    if (trial_failures_.log_e_value() >= limit || trial_slowness_.log_e_value() >= limit)
        return "it may be worse under load";
    return {};
}

double move_judge::log_threshold() const
{
    const double tests = 2 * static_cast<double>(routes_) + 1; // failures and slowness of each, and deaths
    return std::log(tests * judge_count / false_withdrawals);
}

std::optional<std::string> move_judge::badness() const
{
    const std::map<route_key, run_totals> all = totals();
    for (const auto& [key, t] : tests_) {
        const auto at = all.find(key);
        const run_totals sum = at == all.end() ? run_totals{} : at->second;
        if (t.failures_.log_e_value() >= log_threshold())
            return describe(key, "failed", sum.new_failed_, sum.new_ran_, sum.old_failed_, sum.old_ran_);
        if (t.slowness_.log_e_value() >= log_threshold()) {
            std::uint64_t slow = 0;
            for (const auto& [gate, e] : last_)
                for (const route_counts& r : e.routes_)
                    if (e.version_ == version_ && route_key{r.route_, r.class_} == key && !r.slower_.empty())
                        slow += r.slower_.front();
            return describe(key, "slow", slow, sum.new_ran_, t.old_seen_.slower_.front(), t.old_seen_.ran_);
        }
    }
    if (log_death_e_value() >= log_threshold())
        return "its backend servers break off runs that those of the old version do not";
    return {};
}

bool move_judge::doubtful() const
{
    const double limit = std::log(doubt);
    return log_death_e_value() >= limit || std::any_of(tests_.begin(), tests_.end(), [&](const auto& t) {
               return t.second.failures_.log_e_value() >= limit || t.second.slowness_.log_e_value() >= limit;
           });
}

// A request under which runs of both versions break off says nothing of either.
double move_judge::log_death_e_value() const
{
    double sum = 0;
    for (const death& d : deaths_) {
        const bool at_both = std::any_of(deaths_.begin(), deaths_.end(), [&](const death& other) {
            return other.fingerprint_ == d.fingerprint_ && other.at_new_ != d.at_new_;
        });
        if (!at_both)
            sum += log_event_ratio(d.at_new_, d.share_, death_odds);
    }
    return sum;
}

// Instances that are replaced break off runs by their number, requests that
// crash them by the calls that they get: the larger share is the fairer one.
double move_judge::share_of_new() const
{
    double gates_new = 1;
    double gates = 2;
    for (const auto& [key, e] : last_) {
        if (!recent(e))
            continue;
        gates += 1;
        gates_new += e.version_ == version_ ? 1 : 0;
    }
    const double of_runs = (recent_new_ + 1) / (recent_new_ + recent_old_ + 2);
    return std::max(of_runs, gates_new / gates);
}

bool move_judge::recent(const evidence& e) const
{
    return e.second_ + recent_seconds >= newest_;
}

std::map<route_key, run_totals> move_judge::totals() const
{
    std::map<route_key, run_totals> all;
    for (const auto& [key, e] : last_) {
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
    for (const auto& [key, e] : last_)
        if (recent(e) && e.version_ == version_)
            sum += e.limit_;
    return sum;
}

double move_judge::demand() const
{
    std::chrono::duration<double> busy{}; // within one second
    for (const auto& [key, e] : last_)
        if (recent(e))
            busy += e.busy_;
    return busy.count();
}

std::vector<evidence> move_judge::known() const
{
    std::vector<evidence> all;
    for (const auto& [key, e] : last_)
        all.push_back(e);
    return all;
}

} // namespace guavahaven::decide
