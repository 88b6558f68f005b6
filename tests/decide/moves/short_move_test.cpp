// Guards against faults of short moves (less than 30 s): delays by judges that join late, a large share left
// with a bad version. Also of services whose rule names any version ('*'): their calls must not go to the
// version that a move brings in, or to one that was given up.

#include <gtest/gtest.h>

#include "decide/entry/balancer.h"
#include "decide/moves/move_tracker.h"

namespace guavahaven::decide {

namespace {

using std::chrono::seconds;

const service_name board("board");
const version_name v1("v1");
const version_name v2("v2");
const version_name any(std::string{any_version});

wall_time wall_at(double second)
{
    return wall_time(duration(static_cast<duration::rep>((1'000'000 + second) * 1e6)));
}

move_fact fact_at(const move_rule& rule, std::uint32_t stage)
{
    move_fact f;
    f.id_ = rule.id();
    f.service_ = rule.service_;
    f.version_ = rule.version_;
    f.stage_ = stage;
    f.began_ = static_cast<std::uint64_t>(wall_at(0).time_since_epoch().count());
    f.since_ = f.began_;
    return f;
}

class short_move : public testing::Test {
protected:
    short_move()
    {
        rule_.service_ = board;
        rule_.version_ = v2;
        rule_.deadline_ = wall_at(13);
        rule_.start_share_ = 0.06;
        auto rules = std::make_shared<configuration>();
        rules->services_.push_back({board, any, {}, {}});
        rules->moves_.push_back(rule_);
        known_.configuration_ = rules;
        for (int i = 0; i < 8; ++i) {
            member m;
            m.name_ = daemon_name("10.0.0." + std::to_string(i) + ":1");
            m.service_ = board;
            m.version_ = i < 4 ? v1 : v2;
            m.slots_ = 12;
            known_.members_.push_back(m);
        }
    }
    // The gates that the balancer chooses for calls to a version while this fact is in force.
    std::set<std::string> gates_of(const version_name& version, const move_fact& f)
    {
        known_.moves_ = {f};
        balancer balancer{data_center_name("leon")};
        balancer.set_view(known_, now_);
        std::set<std::string> seen;
        random_engine random(1);
        for (int i = 0; i < 200; ++i)
            if (const auto gate = balancer.choose(board, version, {}, random, now_))
                seen.insert(gate->str());
        return seen;
    }

    move_rule rule_;
    view known_;
    time_point now_{seconds(100)};
};

} // namespace

TEST_F(short_move, is_not_delayed_by_judges_that_join_while_it_is_under_way)
{
    // Given a move that has been at its first share for a while
    const move_fact known = fact_at(rule_, 0);
    // When a judge that has just started states the same stage with a later beginning
    move_fact news = known;
    news.since_ += 4'000'000;
    news.began_ = news.since_;
    // Then the stage keeps its first beginning, in whichever order the facts are merged
    EXPECT_EQ(merge(known, news), known);
    EXPECT_EQ(merge(news, known), known);
    // And the next stage keeps its own beginning
    move_fact next = fact_at(rule_, 1);
    next.since_ += 6'000'000;
    EXPECT_EQ(merge(merge(known, next), news), next);
    EXPECT_EQ(merge(merge(next, news), known), next);
}

TEST_F(short_move, facts_join_to_the_same_in_every_order)
{
    move_fact withdrawn = fact_at(rule_, 0);
    withdrawn.withdrawn_ = true;
    withdrawn.reason_ = "failed";
    withdrawn.since_ += 10;
    move_fact later = fact_at(rule_, 2);
    later.since_ += 20;
    move_fact both = fact_at(rule_, 1);
    both.withdrawn_ = true;
    both.since_ += 15;
    EXPECT_EQ(merge(merge(withdrawn, later), both), merge(withdrawn, merge(later, both)));
    EXPECT_EQ(merge(merge(both, withdrawn), later), merge(both, merge(withdrawn, later)));
}

TEST_F(short_move, gives_the_new_version_less_than_a_tenth_of_the_calls)
{
    // A bad version gets no more than its shares at the stages until the move is done: half of the time the
    // first share, one second of trial, the rest of the time the first share again
    double sum = 0;
    for (double t = 0; t < 13; t += 0.1) {
        const std::uint32_t stage = t < 6.5 ? 0 : t < 7.5 ? 1 : 2;
        sum += 0.1 * share_of(rule_, fact_at(rule_, stage));
    }
    EXPECT_LT(sum / 16, 0.1);
    EXPECT_TRUE(on_trial(rule_, fact_at(rule_, 1)));
    EXPECT_EQ(stage_count(rule_, fact_at(rule_, 0)), 3U);
}

TEST_F(short_move, tries_half_of_the_new_backend_servers_under_load)
{
    EXPECT_EQ(gates_of(v2, fact_at(rule_, 0)).size(), 4U);
    EXPECT_EQ(gates_of(v2, fact_at(rule_, 1)), (std::set<std::string>{"10.0.0.4:1", "10.0.0.5:1"}));
}

// Guards against a trial that shows nothing: the few calls of a bounded move, spread over half of the new
// backend servers, kept none of them busy.
TEST_F(short_move, tries_one_new_backend_server_under_load_if_its_calls_are_bounded)
{
    auto rules = std::make_shared<configuration>(*known_.configuration_);
    rules->moves_.front().exposure_share_ = 0.02;
    rules->moves_.front().exposure_reserve_ = 45;
    known_.configuration_ = rules;
    EXPECT_EQ(gates_of(v2, fact_at(rule_, 0)).size(), 4U);
    EXPECT_EQ(gates_of(v2, fact_at(rule_, 1)), (std::set<std::string>{"10.0.0.4:1"}));
    EXPECT_EQ(share_of(rules->moves_.front(), fact_at(rule_, 1)), 0.9);
}

// Guards against a version that is done seconds before its deadline and gets all calls until then, though its
// badness has never shown: 430 of 1625 requests, 212 allowed.
TEST_F(short_move, is_done_only_just_before_its_deadline_if_its_calls_are_bounded)
{
    const move_schedule bounded{wall_at(0), wall_at(13), 3, true};
    EXPECT_EQ(bounded.done_at(wall_at(7.5)), wall_at(13) - bounded_move_done_margin);
    // Without a bound it is done once it has been watched for a quarter of its length
    const move_schedule unbounded{wall_at(0), wall_at(13), 3, false};
    EXPECT_EQ(unbounded.done_at(wall_at(7.5)), wall_at(10.75));
}

TEST_F(short_move, ends_a_trial_whose_judges_are_paused)
{
    move_tracker tracker;
    tracker.set_configuration(*known_.configuration_);
    tracker.merge(std::vector<move_fact>{fact_at(rule_, 1)});
    EXPECT_EQ(tracker.effective_facts(*known_.configuration_, wall_at(1.2)).front().stage_, 1U);
    EXPECT_EQ(tracker.effective_facts(*known_.configuration_, wall_at(2)).front().stage_, 2U);
}

TEST_F(short_move, any_version_excludes_the_one_that_a_move_brings_in)
{
    EXPECT_EQ(*gates_of(any, fact_at(rule_, 0)).rbegin(), "10.0.0.3:1");
    // Once the move is done, the new version is the only one left
    move_fact done = fact_at(rule_, 2);
    done.done_ = true;
    EXPECT_TRUE(gates_of(any, done).empty());
    EXPECT_EQ(gates_of(v2, done).size(), 4U);
}

TEST_F(short_move, any_version_excludes_one_that_was_given_up)
{
    move_tracker tracker;
    tracker.set_configuration(*known_.configuration_);
    tracker.merge(std::vector<move_fact>{fact_at(rule_, 0)});
    // Another move replaces this one before it is done
    configuration next = *known_.configuration_;
    next.moves_.front().version_ = version_name("v3");
    tracker.set_configuration(next);
    EXPECT_EQ(tracker.abandoned(), (std::set<std::pair<service_name, version_name>>{{board, v2}}));
    known_.abandoned_versions_ = tracker.abandoned();
    known_.configuration_ = std::make_shared<const configuration>(next);
    EXPECT_EQ(*gates_of(any, move_fact{}).rbegin(), "10.0.0.3:1");
}

} // namespace guavahaven::decide
