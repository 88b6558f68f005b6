#include <gtest/gtest.h>

#include <algorithm>

#include "decide/configuration/first_configuration.h"
#include "decide/control.h"

namespace guavahaven::decide {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

result<configuration> parse(const configuration_record& record)
{
    configuration c;
    c.number_ = record.number_;
    c.text_ = record.text_;
    return c;
}

member daemon_at(const std::string& name)
{
    member m;
    m.name_ = daemon_name(name);
    m.incarnation_ = incarnation(1);
    m.data_center_ = data_center_name("leon");
    return m;
}

const daemon_name other("b");

struct started_daemon {
    time_point now_{seconds(100)};
    wall_time wall_{}; // of the next tick
    control control_{daemon_at("a"), 1, parse, now_};

    control_actions handle(const control_event& e) { return control_.handle(e, now_); }
    control_actions receive(const control_message& m) { return handle(control_received{other, m}); }
    // Advances the time, with a tick every 50 ms; returns all actions.
    control_actions pass(duration time)
    {
        control_actions all;
        for (const time_point end = now_ + time; now_ < end;) {
            now_ += milliseconds(50);
            wall_ += milliseconds(50);
            for (control_action& a : handle(control_tick{wall_}))
                all.push_back(std::move(a));
        }
        return all;
    }
    bool serves(std::uint64_t number) const
    {
        const configuration_ptr c = control_.current()->configuration_;
        return c && c->number_ == configuration_number(number);
    }
};

configuration_record record_of(std::uint64_t number, const std::string& text)
{
    return {configuration_number(number), "test", 0, text};
}

std::uint64_t microseconds_of(wall_time t)
{
    return static_cast<std::uint64_t>(t.time_since_epoch().count());
}

configuration_record written(std::uint64_t number, wall_time at)
{
    return {configuration_number(number), "test", microseconds_of(at), "text " + std::to_string(number)};
}

template <class Message>
const Message* find_sent(const control_actions& actions, const daemon_name& to)
{
    for (const control_action& a : actions)
        if (const auto* sent = std::get_if<send_control>(&a); sent && sent->to_ == to)
            if (const auto* m = std::get_if<Message>(&sent->message_))
                return m;
    return nullptr;
}

bool has_problem(const control_actions& actions, code c)
{
    return std::any_of(actions.begin(), actions.end(), [c](const control_action& a) {
        const auto* p = std::get_if<report_problem>(&a);
        return p && p->error_.code_ == c;
    });
}

} // namespace

// The platform may have been restored to an older state: guards against serving by the older
// configuration that it holds.
TEST(starting_daemon, serves_only_with_the_highest_configuration_it_can_learn_of)
{
    started_daemon d;
    // Given a platform that was restored to an older state, and a neighbour
    d.handle(seeds_known{{other}});
    d.handle(platform_configuration{record_of(4, "four")});
    d.handle(platform_read_result{true});
    d.pass(milliseconds(200));
    // Then the daemon does not serve before the neighbour has answered
    EXPECT_FALSE(d.serves(4));
    d.receive(full_configuration{record_of(5, "five"), hash_of("five")});
    d.receive(digest_ack{});
    d.pass(milliseconds(200));
    EXPECT_TRUE(d.serves(5));
}

// A daemon that starts within a second after the first configuration was written counts as one that missed no
// request. Guards against another daemon that serves before it has started.
TEST(starting_daemon, serves_by_the_first_configuration_only_two_seconds_after_it_was_written)
{
    // Given a daemon whose clock differs from the author's, either way
    for (const duration ahead : {milliseconds(0), milliseconds(700), milliseconds(-700)}) {
        started_daemon d;
        d.wall_ = wall_time(seconds(1000)) + ahead;
        d.pass(milliseconds(100));

        // When the first configuration is written, and a daemon starts just before it no longer counts
        const wall_time known = d.wall_;
        d.handle(platform_configuration{written(1, wall_time(seconds(1000)))});
        d.handle(platform_read_result{true});
        configuration in_force;
        in_force.number_ = first_configuration;
        in_force.written_at_ = microseconds_of(wall_time(seconds(1000)));
        const wall_time last_start = wall_time(seconds(1001)) - duration(1);
        ASSERT_TRUE(started_before_first_request(incarnation(microseconds_of(last_start)), in_force));
        ASSERT_FALSE(started_before_first_request(incarnation(microseconds_of(last_start) + 1), in_force));

        // Then this one serves only once its clock is further than the clocks may differ
        while (!d.serves(1) && d.wall_ < wall_time(seconds(1010)))
            d.pass(milliseconds(50));
        EXPECT_TRUE(d.serves(1));
        EXPECT_GE(d.wall_, last_start + max_clock_difference);
        EXPECT_LT(d.wall_, std::max(known, wall_time(seconds(1000))) + milliseconds(2100));
    }
}

// Guards against a daemon whose clock is ahead, which would serve while daemons that start still count as
// ones that missed no request.
TEST(starting_daemon, serves_two_seconds_after_it_knew_of_a_configuration_though_its_clock_is_ahead)
{
    const wall_time start(seconds(1000));
    for (const std::uint64_t number : {1U, 2U}) {
        started_daemon d;
        d.wall_ = start + seconds(7);
        d.pass(milliseconds(100));
        d.handle(platform_read_result{true});
        d.handle(platform_configuration{written(number, start)});
        d.pass(milliseconds(1900));
        EXPECT_FALSE(d.serves(number));
        d.pass(milliseconds(150));
        EXPECT_TRUE(d.serves(number));
    }
}

// Guards against a daemon that serves by the second configuration before the first one may be in force.
TEST(starting_daemon, holds_back_a_second_configuration_that_follows_at_once)
{
    const wall_time start(seconds(1000));
    for (const bool first_seen : {true, false}) {
        started_daemon d;
        d.wall_ = start;
        d.pass(milliseconds(100));
        d.handle(platform_read_result{true});
        if (first_seen)
            d.handle(platform_configuration{written(1, start)});
        d.handle(platform_configuration{written(2, start + milliseconds(50))});
        d.pass(milliseconds(1800));
        EXPECT_FALSE(d.serves(2));
        d.pass(milliseconds(200));
        EXPECT_TRUE(d.serves(2));

        // Later ones are in force at once
        d.handle(platform_configuration{written(3, d.wall_)});
        EXPECT_TRUE(d.serves(3));
    }
}

// A daemon that starts in a mesh at work does not wait for the delay of its first configuration, nor for an
// author's clock that is ahead.
TEST(starting_daemon, waits_two_seconds_at_most_for_a_later_configuration)
{
    const wall_time start(seconds(1000));
    started_daemon d;
    d.wall_ = start;
    d.pass(milliseconds(100));
    d.handle(platform_read_result{true});
    d.handle(platform_configuration{written(7, start - seconds(10))});
    EXPECT_TRUE(d.serves(7));

    started_daemon other_clock;
    other_clock.wall_ = start;
    other_clock.pass(milliseconds(100));
    other_clock.handle(platform_read_result{true});
    other_clock.handle(platform_configuration{written(7, start + std::chrono::hours(1))});
    other_clock.pass(milliseconds(1900));
    EXPECT_FALSE(other_clock.serves(7));
    other_clock.pass(milliseconds(150));
    EXPECT_TRUE(other_clock.serves(7));
}

// With an author's clock that is ahead, a daemon that starts later would count although requests ran before:
// guards against serving before the stated time, and against waiting for it in silence.
TEST(starting_daemon, waits_for_a_first_configuration_that_is_ahead_of_its_clock_and_reports_it)
{
    const wall_time start(seconds(1000));
    started_daemon d;
    d.wall_ = start;
    d.pass(milliseconds(100));
    d.handle(platform_read_result{true});
    d.handle(platform_configuration{written(1, start + seconds(60))});
    EXPECT_FALSE(has_problem(d.pass(seconds(3)), code::configuration_ahead_of_clock));
    EXPECT_TRUE(has_problem(d.pass(seconds(2)), code::configuration_ahead_of_clock));
    EXPECT_FALSE(has_problem(d.pass(seconds(50)), code::configuration_ahead_of_clock));
    EXPECT_FALSE(d.serves(1));
    d.pass(seconds(8));
    EXPECT_TRUE(d.serves(1));
}

// A platform outage must not keep a started daemon from serving.
TEST(starting_daemon, serves_by_its_neighbours_when_the_platform_is_down)
{
    started_daemon d;
    d.handle(seeds_known{{other}});
    d.receive(full_configuration{record_of(5, "five"), hash_of("five")});
    d.receive(digest_ack{});
    EXPECT_FALSE(d.serves(5));
    d.handle(platform_read_result{false});
    d.pass(milliseconds(200));
    EXPECT_TRUE(d.serves(5));
}

// With neither platform nor neighbours answering, the daemon must not wait for ever.
TEST(starting_daemon, serves_after_a_bounded_wait_and_reports_it)
{
    started_daemon d;
    d.handle(seeds_known{{other}});
    d.handle(platform_read_result{false});
    EXPECT_TRUE(has_problem(d.pass(seconds(6)), code::started_unconfirmed));
    // And a configuration that it learns of later is in force at once
    d.receive(full_configuration{record_of(5, "five"), hash_of("five")});
    EXPECT_TRUE(d.serves(5));
}

TEST(control, requests_full_configuration_when_a_delta_cannot_be_applied)
{
    started_daemon d;
    const configuration_delta stray{
        configuration_number(7), hash_of("seven"), record_of(8, ""), hash_of("eight"), {{0, 1, ""}}};
    const control_actions actions = d.receive(stray);
    const auto* wanted = find_sent<configuration_request>(actions, other);
    ASSERT_NE(wanted, nullptr);
    EXPECT_EQ(wanted->above_, configuration_number(0));
}

TEST(control, answers_every_digest_and_sends_what_the_sender_lacks)
{
    started_daemon d;
    d.handle(platform_configuration{record_of(3, "three")});
    const control_actions actions = d.receive(digest{});
    EXPECT_NE(find_sent<digest_ack>(actions, other), nullptr);
    const auto* whole = find_sent<full_configuration>(actions, other);
    ASSERT_NE(whole, nullptr);
    EXPECT_EQ(whole->record_.text_, "three");
}

// Guards against the end of a move that stays lost when the platform is restored to an older state.
TEST(control, stores_the_end_of_a_move_again_that_the_platform_has_lost)
{
    started_daemon d;
    move_fact active;
    active.id_ = move_id(7);
    active.service_ = service_name("board");
    active.version_ = version_name("v2");
    move_fact withdrawn = active;
    withdrawn.withdrawn_ = true;
    const auto stored = [](const control_actions& actions) {
        std::vector<store_move> found;
        for (const control_action& a : actions)
            if (const auto* s = std::get_if<store_move>(&a))
                found.push_back(*s);
        return found;
    };
    // Given a move that the platform holds as withdrawn
    EXPECT_TRUE(stored(d.handle(platform_moves{active.service_, {withdrawn}})).empty());
    // When the platform is read again and holds an older state
    const auto again = stored(d.handle(platform_moves{active.service_, {active}}));
    // Then the withdrawal is stored again
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].fact_, withdrawn);
}

// A daemon that was cut off would stay suspect if nobody told it.
TEST(control, tells_a_suspect_so_that_it_can_refute)
{
    started_daemon d;
    member doubted = daemon_at("b");
    doubted.state_ = member_state::suspect;
    d.receive(member_updates{{doubted}});
    // When the suspect sends a digest, it is told of the suspicion
    const control_actions actions = d.receive(digest{});
    const auto* told = find_sent<member_updates>(actions, other);
    ASSERT_NE(told, nullptr);
    EXPECT_EQ(told->members_, std::vector<member>{doubted});
}

// Guards against rebuilding the view for each of many member updates.
TEST(control, publishes_one_view_for_many_updates)
{
    started_daemon d;
    std::size_t views = 0;
    for (int i = 0; i < 500; ++i)
        for (const control_action& a : d.receive(member_updates{{daemon_at("c" + std::to_string(i))}}))
            views += std::holds_alternative<publish_view>(a) ? 1 : 0;
    EXPECT_LE(views, 1U);
    d.pass(milliseconds(100));
    EXPECT_EQ(d.control_.current()->members_.size(), 501U);
}

} // namespace guavahaven::decide
