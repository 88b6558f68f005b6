// Guards against a version that is worse under load only and passes the trial of a short move, and against a
// good version that is held back by it.

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

move_judge judge_of(const std::vector<gate_counts>& gates)
{
    move_judge judge(v2, 1, 12);
    judge.set_trial(trial_second, trial_second);
    for (const std::uint64_t second : {trial_second - 1, trial_second}) {
        for (const gate_counts& g : gates) {
            version_stats e;
            e.gate_ = daemon_name(std::string(g.data_center_) + g.version_);
            e.incarnation_ = incarnation(1);
            e.version_ = version_name(g.version_);
            e.data_center_ = data_center_name(g.data_center_);
            e.second_ = second;
            const bool after = second == trial_second;
            e.routes_.push_back(
                {"* board", class_name("lookup"), after ? g.ran_ : 0, after ? g.failed_ : 0, {0, 0, 0, 0}});
            judge.add_report(e);
        }
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
