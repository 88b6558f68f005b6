// Guards against statistics of a gate that would mislead the judges of a move: overload counted against a
// version, a slow or hanging version that does not show, or one bad request counted many times.

#include "decide/moves/version_stats_collector.h"

#include <gtest/gtest.h>

namespace guavahaven::decide {

namespace {

class gate_under_move {
public:
    gate_under_move()
    {
        class_rule lookup;
        lookup.name_ = class_name("lookup");
        lookup.deadline_ = std::chrono::milliseconds(800);
        rules_.classes_.push_back(lookup);
        move_rule move;
        move.service_ = service_name("board");
        move.version_ = version_name("v2");
        rules_.moves_.push_back(move);
    }

    run_id start(const std::string& service = "board", const std::string& body = "")
    {
        call c;
        c.service_ = service_name(service);
        c.version_ = version_name("v2");
        c.class_ = class_name("lookup");
        c.route_ = "GET /shifts";
        c.remaining_ = std::chrono::milliseconds(800);
        c.request_.body_ = body;
        last_ = last_.next();
        book_.run_started(last_, c, rules_, now_);
        return last_;
    }
    void pass(int milliseconds) { now_ += std::chrono::milliseconds(milliseconds); }

    version_stats collected()
    {
        const std::vector<version_stats> all =
            book_.collect(rules_, {service_name("board"), version_name("v2"), {}}, now_);
        return all.empty() ? version_stats{} : all.front();
    }
    route_counts counts()
    {
        const version_stats e = collected();
        return e.routes_.empty() ? route_counts{} : e.routes_.front();
    }

    version_stats_collector book_;
    time_point now_{};
    configuration rules_;

private:
    run_id last_;
};

} // namespace

TEST(version_stats_collector, counts_answers_failures_and_slowness)
{
    gate_under_move g;

    // Given a quick answer, a quick failure, and an answer after 300 of 800 ms
    g.book_.run_answered(g.start(), 404, true, g.now_);
    g.book_.run_answered(g.start(), 500, true, g.now_);
    const run_id late = g.start();
    g.pass(300);
    g.book_.run_answered(late, 200, false, g.now_);
    EXPECT_EQ(g.counts().ran_, 2U); // the late answer is not complete yet
    g.book_.run_completed(late, g.now_);

    // Then each counts as a run, one as failed, one as slow
    const route_counts c = g.counts();
    EXPECT_EQ(c.ran_, 3U);
    EXPECT_EQ(c.failed_, 1U);
    EXPECT_EQ(c.slower_than_level_, (std::vector<std::uint64_t>{1, 1, 0, 0}));

    // And a run that never ends is counted once it has passed the last level
    g.start();
    g.pass(801);
    EXPECT_EQ(g.counts().ran_, 4U);
    EXPECT_EQ(g.counts().slower_than_level_, (std::vector<std::uint64_t>{2, 2, 1, 1}));
}

TEST(version_stats_collector, does_not_count_overload_and_other_services)
{
    gate_under_move g;

    // Given a run that the backend server shed, one that was never sent, one whose caller left at once, and
    // one of another service
    g.book_.run_answered(g.start(), 503, true, g.now_);
    g.book_.run_dropped(g.start());
    g.book_.run_cancelled(g.start(), g.now_);
    g.book_.run_answered(g.start("desk"), 500, true, g.now_);

    // Then no run is counted, but the gate reports
    EXPECT_EQ(g.counts().ran_, 0U);
    EXPECT_EQ(g.collected().move_, g.rules_.moves_.front().id());

    // And a run whose caller gave up after more than half of the deadline is counted as slow
    const run_id slow = g.start();
    g.pass(500);
    g.book_.run_cancelled(slow, g.now_);
    EXPECT_EQ(g.counts().slower_than_level_, (std::vector<std::uint64_t>{1, 1, 1, 0}));
}

TEST(version_stats_collector, a_request_that_breaks_runs_counts_once)
{
    gate_under_move g;

    // Given one request whose two runs broke off, another whose only run did, and a timeout
    g.book_.run_broken(g.start("board", "a"), g.now_);
    g.book_.run_broken(g.start("board", "a"), g.now_);
    g.book_.run_broken(g.start("board", "b"), g.now_);
    const run_id timed_out = g.start("board", "c");
    g.pass(800);
    g.book_.run_broken(timed_out, g.now_);

    // Then two requests are reported, and the timeout counts as a slow run
    EXPECT_EQ(g.collected().deaths_.size(), 2U);
    EXPECT_EQ(g.counts().ran_, 1U);
    EXPECT_EQ(g.counts().failed_, 0U);
}

TEST(version_stats_collector, counts_anew_for_a_new_rule)
{
    gate_under_move g;
    g.book_.run_answered(g.start(), 500, true, g.now_);

    // When the rule is replaced by another one for the same version
    g.rules_.moves_.front().deadline_ += std::chrono::hours(1);

    // Then the new move begins with empty counts
    EXPECT_EQ(g.counts().ran_, 0U);
    EXPECT_EQ(g.collected().move_, g.rules_.moves_.front().id());
}

TEST(version_stats_collector, reports_the_run_time_since_the_last_collection)
{
    gate_under_move g;
    g.collected();

    // Given two concurrent runs of a quarter of a second each
    const run_id a = g.start();
    const run_id b = g.start();
    g.pass(250);
    g.book_.run_answered(a, 200, true, g.now_);
    g.book_.run_answered(b, 200, true, g.now_);
    g.pass(750);

    EXPECT_EQ(g.collected().busy_, std::chrono::milliseconds(500));
    EXPECT_EQ(g.collected().busy_, duration::zero());
}

} // namespace guavahaven::decide
