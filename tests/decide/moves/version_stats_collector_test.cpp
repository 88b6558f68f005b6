// What counts as evidence at a gate, and what does not.

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

    evidence collected()
    {
        const std::vector<evidence> all =
            book_.collect(rules_, {service_name("board"), version_name("v2"), {}}, now_);
        return all.empty() ? evidence{} : all.front();
    }
    route_counts counts()
    {
        const evidence e = collected();
        return e.routes_.empty() ? route_counts{} : e.routes_.front();
    }

    evidence_book book_;
    time_point now_{};
    configuration rules_;

private:
    run_id last_;
};

} // namespace

TEST(evidence_book, counts_answers_failures_and_slowness)
{
    gate_under_move g;

    // Given a quick answer, a quick failure, and an answer after 300 of 800 ms
    g.book_.run_answered(g.start(), 404, true, g.now_);
    g.book_.run_answered(g.start(), 500, true, g.now_);
    const run_id late = g.start();
    g.pass(300);
    g.book_.run_answered(late, 200, false, g.now_);
    EXPECT_EQ(g.counts().ran_, 2U); // the late one is not yet whole
    g.book_.run_completed(late, g.now_);

    // Then each is counted for what it was
    const route_counts c = g.counts();
    EXPECT_EQ(c.ran_, 3U);
    EXPECT_EQ(c.failed_, 1U);
    EXPECT_EQ(c.slower_, (std::vector<std::uint64_t>{1, 1, 0, 0}));

    // And a run that never ends shows once it has passed the last level
    g.start();
    g.pass(801);
    EXPECT_EQ(g.counts().ran_, 4U);
    EXPECT_EQ(g.counts().slower_, (std::vector<std::uint64_t>{2, 2, 1, 1}));
}

TEST(evidence_book, overload_and_other_services_are_no_evidence)
{
    gate_under_move g;

    // Given a shed run, one that was never sent, one whose caller left at once, and one of another service
    g.book_.run_answered(g.start(), 503, true, g.now_);
    g.book_.run_dropped(g.start());
    g.book_.run_cancelled(g.start(), g.now_);
    g.book_.run_answered(g.start("desk"), 500, true, g.now_);

    // Then nothing is counted, though the gate does report
    EXPECT_EQ(g.counts().ran_, 0U);
    EXPECT_EQ(g.collected().move_, g.rules_.moves_.front().id());

    // But a caller who gave up after half the deadline shows that the run was slow
    const run_id slow = g.start();
    g.pass(500);
    g.book_.run_cancelled(slow, g.now_);
    EXPECT_EQ(g.counts().slower_, (std::vector<std::uint64_t>{1, 1, 1, 0}));
}

TEST(evidence_book, a_request_that_breaks_runs_counts_once)
{
    gate_under_move g;

    // Given one request that broke off two runs, another that broke one, and a timeout
    g.book_.run_broken(g.start("board", "a"), g.now_);
    g.book_.run_broken(g.start("board", "a"), g.now_);
    g.book_.run_broken(g.start("board", "b"), g.now_);
    const run_id timed_out = g.start("board", "c");
    g.pass(800);
    g.book_.run_broken(timed_out, g.now_);

    // Then two requests are told of, and the timeout is slowness
    EXPECT_EQ(g.collected().deaths_.size(), 2U);
    EXPECT_EQ(g.counts().ran_, 1U);
    EXPECT_EQ(g.counts().failed_, 0U);
}

TEST(evidence_book, evidence_ends_with_its_rule)
{
    gate_under_move g;
    g.book_.run_answered(g.start(), 500, true, g.now_);

    // When the rule gives way to another of the same version
    g.rules_.moves_.front().deadline_ += std::chrono::hours(1);

    // Then the new move begins with nothing
    EXPECT_EQ(g.counts().ran_, 0U);
    EXPECT_EQ(g.collected().move_, g.rules_.moves_.front().id());
}

TEST(evidence_book, tells_the_mean_runs_at_once)
{
    gate_under_move g;
    g.collected();

    // Given two runs at once for a quarter of a second
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
