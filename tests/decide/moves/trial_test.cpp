// Guards against a version that is worse under load only and passes the trial of a short move, and against a
// good version that is held back by it.

#include <algorithm>

#include <gtest/gtest.h>

#include "decide/moves/move_judge.h"

namespace guavahaven::decide {

namespace {

const version_name v2("v2");
constexpr std::uint64_t trial_second = 1'000;

// Runs and failures of one gate in the second of the trial.
struct gate_counts {
    const char* version_;
    const char* data_center_;
    std::uint64_t ran_;
    std::uint64_t failed_;
};

using counts = std::vector<gate_counts>;

// Gates that also had 'earlier' runs in the second before the trial.
move_judge judge_of(const counts& on_trial, const counts& earlier = {})
{
    move_judge judge(v2, 1, 12);
    judge.set_trial(trial_second, trial_second);
    const auto add = [&judge](const gate_counts& g, std::uint64_t second, std::uint64_t ran,
                              std::uint64_t failed) {
        version_stats e;
        e.gate_ = daemon_name(std::string(g.data_center_) + g.version_);
        e.incarnation_ = incarnation(1);
        e.version_ = version_name(g.version_);
        e.data_center_ = data_center_name(g.data_center_);
        e.second_ = second;
        e.routes_.push_back({"* board", class_name("lookup"), ran, failed, {0, 0, 0, 0}});
        judge.add_report(e);
    };
    for (const gate_counts& g : on_trial) {
        const auto same = [&g](const gate_counts& other) {
            return std::string(other.version_) + other.data_center_ ==
                   std::string(g.version_) + g.data_center_;
        };
        const auto at = std::find_if(earlier.begin(), earlier.end(), same);
        const gate_counts before = at == earlier.end() ? gate_counts{g.version_, g.data_center_, 0, 0} : *at;
        add(g, trial_second - 2, 0, 0);
        add(g, trial_second - 1, before.ran_, before.failed_);
        add(g, trial_second, before.ran_ + g.ran_, before.failed_ + g.failed_);
    }
    judge.test_until(trial_second + 1);
    return judge;
}

} // namespace

TEST(trial_under_load, holds_back_a_version_that_fails_more_even_without_proof)
{
    // Given the counts of a simulated day on which a version that was bad under load was done
    const move_judge judge =
        judge_of({{"v2", "a", 23, 8}, {"v1", "a", 14, 1}, {"v2", "b", 24, 3}, {"v1", "b", 15, 0}});
    EXPECT_FALSE(judge.regression());
    EXPECT_EQ(judge.trial_rejection_reason(), "it may be worse under load");
}

// Guards against a version that is bad under load and done: its failures on trial were compared only with the
// old version's few runs of the same second and data centre.
TEST(trial_under_load, compares_failures_with_the_old_version_in_the_whole_move)
{
    // Given a simulated day: on trial a quarter of the new version's runs fail, and the old version has few
    // runs in the data centres of the trial, though many before it
    const counts on_trial{{"v2", "a", 36, 9}, {"v1", "a", 1, 0},  {"v2", "b", 36, 9},
                          {"v1", "b", 2, 0},  {"v1", "c", 16, 0}, {"v1", "d", 16, 0}};
    const counts earlier{{"v1", "a", 200, 4}, {"v1", "b", 200, 4}, {"v1", "c", 200, 4}, {"v1", "d", 200, 5}};
    EXPECT_EQ(judge_of(on_trial, earlier).trial_rejection_reason(), "it may be worse under load");
    {
        SCOPED_TRACE("A version that fails as often as the old one did before the trial passes");
        const counts alike{{"v2", "a", 36, 1}, {"v1", "a", 1, 0},  {"v2", "b", 36, 1},
                           {"v1", "b", 2, 0},  {"v1", "c", 16, 0}, {"v1", "d", 16, 1}};
        EXPECT_EQ(judge_of(alike, earlier).trial_rejection_reason(), "");
    }
}

TEST(trial_under_load, passes_a_version_that_fails_as_rarely_as_the_old_one)
{
    const move_judge judge =
        judge_of({{"v2", "a", 23, 1}, {"v1", "a", 14, 1}, {"v2", "b", 24, 0}, {"v1", "b", 15, 0}});
    EXPECT_EQ(judge.trial_rejection_reason(), "");
}

TEST(trial_under_load, is_not_passed_without_reports_of_it)
{
    EXPECT_EQ(judge_of({{"v2", "a", 3, 0}, {"v1", "a", 14, 0}}).trial_rejection_reason(),
              "too little was seen of its trial under load");
}

} // namespace guavahaven::decide
