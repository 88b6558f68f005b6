// The gate: requests run at most once, fences are answered correctly, calls are queued by class, and the
// concurrency limit protects a backend server that is cold, sheds load, slows down or crashes.

#include <gtest/gtest.h>

#include "support/gate_harness.h"

namespace guavahaven {

using decide::run_status;
using support::gate_harness;

TEST(non_idempotent_request_runs_at_most_once, whatever_comes_twice)
{
    gate_harness g;
    const decide::call first = g.make(1);
    g.send(first);
    ASSERT_EQ(g.runs_.size(), 1U);

    // When the attempt comes again while it runs, even to a gate that stops
    g.handle(decide::stop_requested{});
    g.send(first);
    // Then it neither runs again nor is said not to have run
    EXPECT_EQ(g.runs_.size(), 1U);
    EXPECT_FALSE(g.last<decide::refusal>());

    // When it comes again after its answer
    g.answer(g.runs_[0]);
    g.send(first);
    EXPECT_EQ(g.runs_.size(), 1U);
    EXPECT_FALSE(g.last<decide::refusal>());

    // And when it comes so late that the gate has forgotten it
    g.pass(std::chrono::minutes(3));
    g.send(first);
    // Then the gate says that it does not know
    EXPECT_EQ(g.runs_.size(), 1U);
    ASSERT_TRUE(g.last<decide::run_failure>());
    EXPECT_EQ(g.last<decide::run_failure>()->code_, code::outcome_unknown);
}

TEST(expired_call, does_not_run)
{
    // Given a call that a broken link delivers after its caller's deadline
    gate_harness g;
    decide::call late = g.make(1);
    late.remaining_ = std::chrono::milliseconds(-1);
    g.send(late);
    // Then it is refused as not run, though the backend server is idle
    EXPECT_TRUE(g.runs_.empty());
    ASSERT_TRUE(g.last<decide::refusal>());
    EXPECT_EQ(g.last<decide::refusal>()->code_, code::deadline_exceeded);
}

TEST(non_idempotent_request_runs_at_most_once, when_a_caller_repeats_its_key)
{
    gate_harness g;
    g.written_at_ = gate_harness::started + 1; // nothing ran before this gate
    g.set_members({g.self_.str()});

    // Given a request under a caller's key that runs
    g.send(g.make_keyed(1, "k"), "a");
    ASSERT_EQ(g.runs_.size(), 1U);

    // When the caller repeats it through another entry
    g.send(g.make_keyed(5, "k"), "b");
    EXPECT_EQ(g.runs_.size(), 1U);

    // Then both entries get the one answer
    g.answer(g.runs_[0], 201);
    ASSERT_TRUE(g.last<decide::answer>("a"));
    ASSERT_TRUE(g.last<decide::answer>("b"));
    EXPECT_EQ(g.last<decide::answer>("b")->id_.sequence_, 5U);

    // And a later repeat learns how it ended
    g.send(g.make_keyed(9, "k"), "c");
    EXPECT_EQ(g.refused(), code::duplicate_request);
    EXPECT_EQ(g.last<decide::refusal>()->earlier_status_, 201);

    // And another body under the same key does not share the answer
    g.send(g.make_keyed(10, "other"), "a");
    decide::call changed = g.make_keyed(11, "other");
    changed.request_.body_ = "rosa";
    g.send(changed, "b");
    EXPECT_EQ(g.refused(), code::duplicate_request);
    EXPECT_EQ(g.runs_.size(), 2U);
}

// A repeat of the key waits for the run of the first attempt, whose entry then fences it. If the fence said
// that the first attempt never ran, its entry could run the request elsewhere while the repeat has it run
// here: the replicas of the key grant it to the first attempt's request.
TEST(non_idempotent_request_runs_at_most_once, when_the_first_of_two_attempts_is_fenced)
{
    gate_harness g;
    g.written_at_ = gate_harness::started + 1; // nothing ran before this gate
    g.set_members({g.self_.str()});

    // Given a request that waits for a slot, and a repeat of its key through another entry
    g.send(g.make(1));
    g.send(g.make(2));
    const decide::call first = g.make_keyed(3, "placement-7");
    g.send(first);
    const decide::call repeat = g.make_keyed(4, "placement-7");
    g.send(repeat, "other entry");
    ASSERT_EQ(g.runs_.size(), 2U);

    // When the entry of the first attempt fences it
    // Then it is not told that the request never runs, and still waits for the answer
    EXPECT_EQ(g.fence(first), run_status::running);
    g.answer(g.runs_[0]);
    ASSERT_EQ(g.runs_.size(), 3U);
    g.answer(g.runs_[2]);
    EXPECT_TRUE(g.last<decide::answer>("entry"));
    EXPECT_TRUE(g.last<decide::answer>("other entry"));
    EXPECT_EQ(g.fence(first), run_status::ran);
}

// The same while the key is still being claimed.
TEST(non_idempotent_request_runs_at_most_once, when_it_is_fenced_while_a_repeat_claims_its_key)
{
    gate_harness g({"10.0.0.2:1", "10.0.0.3:1"});
    const decide::call first = g.make_keyed(1, "placement-8");
    g.send(first);
    g.send(g.make_keyed(2, "placement-8"), "other entry");
    ASSERT_TRUE(g.runs_.empty());

    EXPECT_EQ(g.fence(first), run_status::running);
    // Once the entry of the repeat has fenced as well, nobody is left to run it for
    const decide::call repeat = g.make_keyed(2, "placement-8");
    EXPECT_EQ(g.fence(repeat, "other entry"), run_status::running);
}

TEST(non_idempotent_request_runs_at_most_once, after_its_connection_broke)
{
    gate_harness g;
    g.written_at_ = gate_harness::started + 1;
    g.set_members({g.self_.str()});
    g.send(g.make_keyed(1, "k"));

    // When the connection to the backend server breaks after sending
    g.handle(decide::run_broken{g.runs_[0]});
    ASSERT_TRUE(g.last<decide::run_failure>());

    // Then a repeat of the key does not run, and is told that the outcome is unknown
    g.send(g.make_keyed(2, "k"));
    ASSERT_TRUE(g.last<decide::run_failure>());
    EXPECT_EQ(g.last<decide::run_failure>()->code_, code::outcome_unknown);
    EXPECT_EQ(g.runs_.size(), 1U);

    // But when nothing was sent, the key may be used again
    g.send(g.make_keyed(3, "fresh"));
    g.handle(decide::run_not_sent{g.runs_.back()});
    EXPECT_EQ(g.refused(), code::backend_unreachable);
    g.send(g.make_keyed(4, "fresh"));
    EXPECT_EQ(g.runs_.size(), 3U);
}

TEST(non_idempotent_request_runs_at_most_once, when_its_caller_goes_away)
{
    gate_harness g;
    const decide::call confirm = g.make(1);
    g.send(confirm);

    // When nobody waits for it any more
    g.cancel(confirm);
    // Then the run continues, and its outcome stays known
    EXPECT_TRUE(g.actions_.empty());
    EXPECT_EQ(g.fence(confirm), run_status::running);
    g.answer(g.runs_[0]);
    EXPECT_EQ(g.fence(confirm), run_status::ran);

    // But a lookup is cancelled at the backend server
    const decide::call lookup = g.make(2, "lookup");
    g.send(lookup);
    g.cancel(lookup);
    ASSERT_FALSE(g.actions_.empty());
    EXPECT_TRUE(std::holds_alternative<decide::abort_run>(g.actions_.front()));
    EXPECT_EQ(g.fence(lookup), run_status::ran);
}

TEST(not_run_is_true, when_a_fence_is_answered)
{
    gate_harness g;

    // A call that never came never will run
    const decide::call late = g.make(1);
    EXPECT_EQ(g.fence(late), run_status::never_ran);
    g.send(late);
    EXPECT_EQ(g.refused(), code::not_run);
    EXPECT_TRUE(g.runs_.empty());

    // Neither will one that waits
    g.send(g.make(2));
    g.send(g.make(3));
    const decide::call waiting = g.make(4);
    g.send(waiting);
    EXPECT_EQ(g.fence(waiting), run_status::never_ran);
    for (const decide::run_id run : std::vector(g.runs_))
        g.answer(run);
    EXPECT_EQ(g.runs_.size(), 2U);

    // A call that may run more than once is remembered as well
    const decide::call lookup = g.make(5, "lookup");
    g.send(lookup);
    EXPECT_EQ(g.fence(lookup), run_status::running);
    g.answer(g.runs_.back());
    EXPECT_EQ(g.fence(lookup), run_status::ran);

    // Two entries that use the same call_id are distinguished
    EXPECT_EQ(g.fence(lookup, "another entry"), run_status::never_ran);

    // What has been forgotten is unknown
    g.pass(std::chrono::minutes(3));
    EXPECT_EQ(g.fence(lookup), run_status::unknown);
    EXPECT_EQ(g.fence(late), run_status::unknown);
}

TEST(not_run_is_true, after_the_gate_was_restarted)
{
    gate_harness restarted;
    decide::call before = restarted.make(1);
    before.gate_ = incarnation(gate_harness::started - 1);

    // A later gate does not know what became of a call to an earlier one
    EXPECT_EQ(restarted.fence(before), run_status::unknown);
    // And never runs it
    restarted.send(before);
    EXPECT_EQ(restarted.refused(), code::not_run);
    EXPECT_TRUE(restarted.runs_.empty());
}

TEST(cold_backend_server_gets_no_more_than_it_bears, from_its_start)
{
    gate_harness g;
    std::uint64_t sequence = 1;
    const auto flood = [&] {
        for (int i = 0; i < 20; ++i)
            g.send(g.make(sequence++, "lookup"));
    };

    // Given a flood of calls at a cold start, only two run at once
    flood();
    EXPECT_EQ(g.gate_.load().in_flight_, 2U);
    g.answer(g.runs_[0]);
    EXPECT_EQ(g.gate_.load().in_flight_, 2U);

    // When the probe delay has passed, one run (the probe) exceeds the limit
    g.pass(std::chrono::seconds(6));
    flood();
    EXPECT_EQ(g.gate_.load().in_flight_, 3U);
    // And a refused probe leaves the limit as it is, and lengthens the probe interval
    g.answer(g.runs_.back(), 503);
    EXPECT_EQ(g.gate_.load().limit_, 2U);
    EXPECT_EQ(g.gate_.load().in_flight_, 2U);
    EXPECT_EQ(g.last<decide::answer>()->response_.status_, 503);

    // When it is warm, the limit grows to the announced slots, and not above
    g.pass(std::chrono::seconds(2));
    g.warm_up();
    EXPECT_EQ(g.gate_.load().limit_, 12U);
}

TEST(cold_backend_server_gets_no_more_than_it_bears, when_it_turns_cold_without_warning)
{
    gate_harness g;
    g.warm_up();
    std::uint64_t sequence = 1;
    const auto fill = [&] {
        for (int i = 0; i < 30; ++i)
            g.send(g.make(sequence++, "lookup"));
    };
    fill();
    ASSERT_EQ(g.gate_.load().in_flight_, 12U);
    const std::vector<decide::run_id> under_way(g.runs_.end() - 12, g.runs_.end());
    g.now_ += std::chrono::milliseconds(1);

    // When it refuses once
    g.answer(under_way[0], 503);
    // Then the limit falls at once to that of a cold start; refusals of earlier runs don't lower it further
    EXPECT_EQ(g.gate_.load().limit_, 2U);
    g.answer(under_way[1], 503);
    EXPECT_EQ(g.gate_.load().limit_, 2U);
    // And nothing starts until fewer run
    for (std::size_t i = 2; i < 10; ++i)
        g.answer(under_way[i]);
    EXPECT_EQ(g.gate_.load().in_flight_, 2U);
    g.now_ += std::chrono::milliseconds(1);
    g.answer(under_way[10]);
    EXPECT_EQ(g.gate_.load().in_flight_, 2U);

    // And from a limit of one it recovers
    g.now_ += std::chrono::milliseconds(1);
    g.answer(g.runs_.back(), 503);
    EXPECT_EQ(g.gate_.load().limit_, 1U);
    g.warm_up();
    EXPECT_EQ(g.gate_.load().limit_, 12U);
}

TEST(cold_backend_server_gets_no_more_than_it_bears, when_it_died_and_came_back)
{
    const decide::backend_announced again{service_name("desk"), version_name("v1"), 12, 120, false, 2};

    // The gate notices by another start number in the announcement
    gate_harness announced;
    announced.warm_up();
    announced.handle(again);
    EXPECT_EQ(announced.gate_.load().limit_, 2U);

    // Or by a broken connection
    gate_harness broken;
    broken.warm_up();
    broken.send(broken.make(1, "lookup"));
    broken.handle(decide::run_broken{broken.runs_.back()});
    EXPECT_EQ(broken.gate_.load().limit_, 2U);

    // Or by a refused connection
    gate_harness refused;
    refused.warm_up();
    refused.send(refused.make(1, "lookup"));
    refused.handle(decide::run_not_sent{refused.runs_.back()});
    EXPECT_EQ(refused.gate_.load().limit_, 2U);
}

TEST(concurrency_limit, falls_when_the_backend_server_slows)
{
    gate_harness g;
    g.warm_up();
    // When runs take many times as long as they used to
    for (std::uint64_t i = 1; i <= 10; ++i) {
        g.send(g.make(i, "lookup"));
        g.now_ += std::chrono::milliseconds(100);
        g.answer(g.runs_.back());
    }
    // Then the limit is at least halved
    EXPECT_LE(g.gate_.load().limit_, 6U);
}

TEST(gate_queue, serves_by_shed_order_weight_and_deadline)
{
    gate_harness g;
    std::uint64_t sequence = 1;
    for (int i = 0; i < 2; ++i)
        g.send(g.make(sequence++, "lookup"), "first");

    // Given calls of all kinds that wait for a slot
    std::map<std::uint64_t, std::string> waiting;
    for (const char* of_class : {"payroll", "report", "light", "heavy", "lookup"})
        for (int i = 0; i < 4; ++i) {
            waiting[sequence] = of_class;
            g.send(g.make(sequence++, of_class));
        }

    // When slots become free one after the other
    std::string order;
    for (std::size_t next = 0; next < g.runs_.size(); ++next) {
        g.answer(g.runs_[next]);
        if (const auto answered = g.last<decide::answer>("entry"))
            order += waiting.at(answered->id_.sequence_).substr(0, 2) + " ";
    }

    // Then the class that is shed last goes first, and classes of equal shed order share by weight
    EXPECT_EQ(order.substr(0, 12), "lo lo lo lo ");
    const std::string shared = order.substr(12, 15);
    std::size_t heavy = 0;
    for (std::size_t at = shared.find("he"); at != std::string::npos; at = shared.find("he", at + 1))
        ++heavy;
    EXPECT_GE(heavy, 3U) << order;
    EXPECT_TRUE(order.ends_with("pa ") || order.ends_with("re ")) << order;
}

TEST(gate_queue, refuses_early_what_can_not_be_in_time)
{
    gate_harness g;
    // Given runs of 100 ms, two at once
    for (std::uint64_t i = 1; i <= 2; ++i) {
        g.send(g.make(i, "lookup"));
        g.now_ += std::chrono::milliseconds(100);
        g.answer(g.runs_.back());
    }
    std::uint64_t sequence = 10;
    for (int i = 0; i < 10; ++i)
        g.send(g.make(sequence++, "lookup"));

    // Then a call with 400 ms left is refused at once, as not run
    decide::call hurried = g.make(sequence++, "lookup");
    hurried.remaining_ = std::chrono::milliseconds(400);
    g.send(hurried);
    EXPECT_EQ(g.refused(), code::overloaded);
    // One that waits longer is not
    g.send(g.make(sequence++, "lookup"));
    EXPECT_FALSE(g.last<decide::refusal>());
    // And a call of a class with 'keep' waits until its deadline, and is refused then
    decide::call kept = g.make(sequence++, "payroll");
    kept.remaining_ = std::chrono::milliseconds(400);
    g.send(kept);
    EXPECT_FALSE(g.last<decide::refusal>());
    g.pass(std::chrono::milliseconds(401));
    EXPECT_EQ(g.refused(), code::deadline_exceeded);
}

TEST(gate_queue, is_bounded_and_gives_way_by_shed_order)
{
    gate_harness g;
    std::uint64_t sequence = 1;
    for (int i = 0; i < 2; ++i)
        g.send(g.make(sequence++, "lookup"));
    for (int i = 0; i < 256; ++i)
        g.send(g.make(sequence++, "report"));
    ASSERT_FALSE(g.last<decide::refusal>());

    // When it is full, one more of the class that is shed first is refused
    const decide::call more = g.make(sequence++, "report");
    g.send(more);
    EXPECT_EQ(g.refused(), code::overloaded);
    EXPECT_EQ(g.last<decide::refusal>()->id_, more.id_);

    // A call of a class that is shed last evicts another
    const decide::call lookup = g.make(sequence++, "lookup");
    g.send(lookup);
    EXPECT_EQ(g.refused(), code::overloaded);
    EXPECT_NE(g.last<decide::refusal>()->id_, lookup.id_);

    // And calls of classes with 'keep' have a bound of their own
    g.send(g.make(sequence++, "payroll"));
    EXPECT_FALSE(g.last<decide::refusal>());
}

} // namespace guavahaven
