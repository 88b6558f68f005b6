#include "decide/entry/entry.h"

#include <gtest/gtest.h>

#include <deque>

#include "operator/rules.h"

namespace guavahaven::decide {

namespace {

constexpr const char* rules = R"(
class   lookup  deadline 400ms        # office
class   confirm deadline 2s once      # supervisors
service board   version v1            # office
service desk    version v1            # supervisors
route GET  /shifts/*   to board as lookup  # office
route POST /placements to desk  as confirm # supervisors
)";

const exchange_id first(1);
const exchange_id second(2);

template <class T>
std::vector<T> all_of_type(const entry_actions& actions)
{
    std::vector<T> found;
    for (const entry_action& a : actions)
        if (const auto* t = std::get_if<T>(&a))
            found.push_back(*t);
    return found;
}

// An entry in León that knows three gates of each service there.
class entry_story : public testing::Test {
protected:
    entry_story() : entry_(daemon_name("10.0.0.9:1"), incarnation(1), data_center_name("leon"), 1)
    {
        auto known = std::make_shared<view>();
        known->configuration_ = std::make_shared<const configuration>(
            guavahaven::take(operators::parse_record({configuration_number(1), "tests", 0, rules})));
        for (int i = 0; i < 6; ++i) {
            member m;
            m.name_ = daemon_name("10.0.0." + std::to_string(i) + ":1");
            m.data_center_ = data_center_name("leon");
            m.service_ = service_name(i < 3 ? "board" : "desk");
            m.version_ = version_name("v1");
            m.slots_ = 12;
            known->members_.push_back(m);
        }
        act(entry_view_changed{known});
    }

    void act(const entry_event& e) { last_ = entry_.handle(e, now_); }
    void from_gate(const send_to_gate& sent, const gate_to_entry& m) { act(gate_message{sent.to_, m}); }

    // Sends a request; what the gate gets.
    send_to_gate ask(exchange_id id, const char* method, const char* target)
    {
        act(caller_request{id, {method, target, {}, ""}});
        return sent();
    }
    // The attempt that was sent last.
    send_to_gate sent() const
    {
        for (const send_to_gate& s : all_of_type<send_to_gate>(last_))
            if (std::holds_alternative<call>(s.message_))
                return s;
        ADD_FAILURE() << "no attempt was sent";
        return {};
    }
    bool sent_again() const
    {
        const auto all = all_of_type<send_to_gate>(last_);
        return std::any_of(all.begin(), all.end(),
                           [](const auto& s) { return std::holds_alternative<call>(s.message_); });
    }
    static call_id id_of(const send_to_gate& s) { return std::get<call>(s.message_).id_; }
    std::vector<reply> replies() const { return all_of_type<reply>(last_); }
    code replied_code() const
    {
        const auto all = replies();
        if (all.size() != 1)
            return code::ok;
        return static_cast<code>(
            std::stoi(http::find_header(all[0].response_.headers_, caller_protocol().result_header_)));
    }
    void advance(duration by)
    {
        now_ += by;
        act(entry_tick{});
    }

    time_point now_{std::chrono::hours(1)};
    entry entry_;
    entry_actions last_;
};

} // namespace

TEST_F(entry_story, late_and_crossed_answers_reach_no_other_caller)
{
    // Given two callers whose requests are at gates
    const send_to_gate one = ask(first, "GET", "/shifts/1");
    const send_to_gate two = ask(second, "GET", "/shifts/2");

    // When the answers come in the other order, and each of them twice
    from_gate(two, answer{id_of(two), {}, {200, {}, "two"}, true});
    ASSERT_EQ(replies().size(), 1U);
    EXPECT_EQ(replies()[0].exchange_, second);
    EXPECT_EQ(replies()[0].response_.body_, "two");
    from_gate(two, answer{id_of(two), {}, {200, {}, "two"}, true});
    EXPECT_TRUE(last_.empty()) << "a doubled answer reached a caller";

    // Then each caller has its own, once
    from_gate(one, answer{id_of(one), {}, {200, {}, "one"}, true});
    ASSERT_EQ(replies().size(), 1U);
    EXPECT_EQ(replies()[0].exchange_, first);
    EXPECT_EQ(replies()[0].response_.body_, "one");
}

TEST_F(entry_story, an_answer_of_an_attempt_given_up_is_ignored)
{
    // Given a request that was refused at one gate and went to another
    const send_to_gate before = ask(first, "POST", "/placements");
    from_gate(before, refusal{id_of(before), code::draining, {}, 0});
    const send_to_gate after = sent();
    ASSERT_NE(before.to_, after.to_);

    // When the first gate answers all the same, or another gate in its name
    from_gate(before, answer{id_of(before), {}, {200, {}, "late"}, true});
    EXPECT_TRUE(last_.empty());
    from_gate(before, answer{id_of(after), {}, {200, {}, "crossed"}, true});
    EXPECT_TRUE(last_.empty());

    // Then the caller gets the answer of the gate that has the request
    from_gate(after, answer{id_of(after), {}, {200, {}, "own"}, true});
    ASSERT_EQ(replies().size(), 1U);
    EXPECT_EQ(replies()[0].response_.body_, "own");
}

TEST_F(entry_story, parts_of_an_answer_keep_their_order_or_end_it)
{
    const send_to_gate s = ask(first, "GET", "/shifts/1");
    from_gate(s, answer{id_of(s), {}, {200, {}, "abc"}, false});
    from_gate(s, answer_part{id_of(s), 3, "def", false});
    ASSERT_EQ(all_of_type<reply_part>(last_).size(), 1U);

    // A doubled start or part is passed on once
    from_gate(s, answer{id_of(s), {}, {200, {}, "abc"}, false});
    EXPECT_TRUE(last_.empty());
    from_gate(s, answer_part{id_of(s), 3, "def", false});
    EXPECT_TRUE(last_.empty());

    // After a gap the answer is cut, never ended as if it were whole
    from_gate(s, answer_part{id_of(s), 9, "jkl", true});
    EXPECT_TRUE(all_of_type<reply_part>(last_).empty());
    EXPECT_EQ(all_of_type<reply_abort>(last_), std::vector{reply_abort{first}});
    // And the gate is told to stop
    ASSERT_EQ(all_of_type<send_to_gate>(last_).size(), 1U);
    EXPECT_TRUE(std::holds_alternative<cancel>(all_of_type<send_to_gate>(last_)[0].message_));
}

TEST_F(entry_story, an_answer_that_breaks_is_cut)
{
    const send_to_gate s = ask(first, "GET", "/shifts/1");
    from_gate(s, answer{id_of(s), {}, {200, {}, "abc"}, false});

    // When the backend server breaks in the middle
    from_gate(s, broken{id_of(s), code::outcome_unknown, {}});

    // Then nothing is sent again, since the caller has a part already
    EXPECT_FALSE(sent_again());
    EXPECT_EQ(all_of_type<reply_abort>(last_), std::vector{reply_abort{first}});
}

TEST_F(entry_story, what_may_have_run_once_is_never_sent_again)
{
    const send_to_gate s = ask(first, "POST", "/placements");
    from_gate(s, receipt{id_of(s)});

    // When the backend server breaks while it runs
    from_gate(s, broken{id_of(s), code::outcome_unknown, {}});

    // Then the caller hears that the outcome is unknown
    EXPECT_FALSE(sent_again());
    EXPECT_EQ(replied_code(), code::outcome_unknown);
}

TEST_F(entry_story, a_silent_gate_is_asked_for_the_fate_over_a_new_connection)
{
    // Given a request that must run once, and a gate that does not acknowledge it
    const send_to_gate s = ask(first, "POST", "/placements");
    advance(std::chrono::milliseconds(300));

    // Then its fate is asked for over a new connection
    const auto asked = all_of_type<send_to_gate>(last_);
    ASSERT_EQ(asked.size(), 1U);
    EXPECT_TRUE(asked[0].fresh_connection_);
    EXPECT_EQ(asked[0].message_, entry_to_gate(fence{id_of(s), incarnation()}));

    // And only when it has not run and never will, it is sent elsewhere
    from_gate(s, fence_verdict{id_of(s), incarnation(), fate::never_ran});
    EXPECT_NE(sent().to_, s.to_);

    // A doubled verdict sends nothing more
    from_gate(s, fence_verdict{id_of(s), incarnation(), fate::never_ran});
    EXPECT_TRUE(last_.empty());
}

TEST_F(entry_story, a_gate_that_gave_no_sign_gets_no_further_requests_for_a_while)
{
    // Given a request whose gate gives no sign of having it
    const send_to_gate silent = ask(first, "GET", "/shifts/1");
    advance(std::chrono::milliseconds(260));
    // When more requests follow, then they go to the others
    for (std::uint64_t i = 2; i < 30; ++i)
        EXPECT_NE(ask(exchange_id(i), "GET", "/shifts/1").to_, silent.to_);
}

TEST_F(entry_story, an_expired_request_that_only_waited_is_told_as_not_run)
{
    const send_to_gate s = ask(first, "POST", "/placements");
    from_gate(s, receipt{id_of(s)});
    advance(std::chrono::seconds(2));
    ASSERT_TRUE(replies().empty());

    from_gate(s, fence_verdict{id_of(s), incarnation(), fate::never_ran});
    EXPECT_EQ(replied_code(), code::not_run);
}

TEST_F(entry_story, an_expired_request_that_runs_is_told_as_unknown)
{
    const send_to_gate s = ask(first, "POST", "/placements");
    from_gate(s, receipt{id_of(s)});
    advance(std::chrono::seconds(2));
    from_gate(s, fence_verdict{id_of(s), incarnation(), fate::running});
    EXPECT_EQ(replied_code(), code::outcome_unknown);
    EXPECT_FALSE(entry_.busy());
}

TEST_F(entry_story, not_run_is_not_said_after_an_attempt_that_may_have_run)
{
    // Given a lookup whose first attempt broke
    const send_to_gate s = ask(first, "GET", "/shifts/1");
    from_gate(s, broken{id_of(s), code::outcome_unknown, {}});

    // When all other gates refuse it
    while (sent_again()) {
        const send_to_gate again = sent();
        from_gate(again, refusal{id_of(again), code::draining, {}, 0});
    }

    // Then the caller isn't told that it has not run
    EXPECT_EQ(replied_code(), code::outcome_unknown);
}

TEST_F(entry_story, no_amplification_when_a_service_fails)
{
    // Given a service of which every backend server refuses its own work
    std::size_t attempts = 0;
    constexpr std::uint64_t requests = 1000;

    // When many callers ask
    for (std::uint64_t i = 1; i <= requests; ++i) {
        send_to_gate s = ask(exchange_id(i), "GET", "/shifts/1");
        for (;;) {
            ++attempts;
            from_gate(s, answer{id_of(s), {}, {503, {}, "busy"}, true});
            if (!sent_again())
                break;
            s = sent();
        }
        // Then each gets the failure, marked so that nobody above tries again
        ASSERT_EQ(replies().size(), 1U);
        EXPECT_EQ(http::find_header(replies()[0].response_.headers_, caller_protocol().retried_header_), "1");
    }

    // And the service gets little more than the callers' own requests
    EXPECT_LE(attempts, requests * 11 / 10 + 10);
    EXPECT_GT(attempts, requests);
}

TEST_F(entry_story, a_failure_that_was_retried_below_is_not_retried_here)
{
    const send_to_gate s = ask(first, "GET", "/shifts/1");
    from_gate(s, answer{id_of(s), {}, {503, {{caller_protocol().retried_header_, "1"}}, "busy"}, true});
    EXPECT_FALSE(sent_again());
    ASSERT_EQ(replies().size(), 1U);
}

TEST_F(entry_story, the_time_left_and_the_depth_go_down_the_chain)
{
    // Given a call from a backend server that has 300 ms left, two levels down
    act(caller_request{first,
                       {"GET",
                        "/shifts/1",
                        {{caller_protocol().deadline_header_, "300"}, {caller_protocol().depth_header_, "2"}},
                        ""}});
    const auto passed = std::get<call>(sent().message_);
    EXPECT_EQ(passed.remaining_, std::chrono::milliseconds(300));
    EXPECT_EQ(http::find_header(passed.request_.headers_, caller_protocol().deadline_header_), "300");
    EXPECT_EQ(http::find_header(passed.request_.headers_, caller_protocol().depth_header_), "3");

    // When its caller goes away, the gate hears of it
    const send_to_gate s = sent();
    act(caller_gone{first});
    ASSERT_EQ(all_of_type<send_to_gate>(last_).size(), 1U);
    EXPECT_EQ(all_of_type<send_to_gate>(last_)[0].message_, entry_to_gate(cancel{id_of(s)}));
    EXPECT_FALSE(entry_.busy());
    EXPECT_FALSE(entry_.next_due());
}

TEST_F(entry_story, a_backend_server_that_only_sheds_gets_few_calls)
{
    // Given one of three gates whose backend server answers 503 to all, and at
    // once, while the others take 6 ms and so always have calls under way
    const daemon_name shedding("10.0.0.1:1");
    constexpr std::uint64_t calls = 600;
    constexpr std::size_t under_way = 6;
    std::uint64_t asked_of_it = 0;
    std::deque<send_to_gate> open;
    for (std::uint64_t i = 1; i <= calls; ++i) {
        send_to_gate at = ask(exchange_id(i), "GET", "/shifts/1");
        bool sent_on = true;
        while (sent_on && at.to_ == shedding) {
            ++asked_of_it;
            from_gate(at, answer{id_of(at), {0, 0, 12}, {503, {}, "busy"}, true});
            sent_on = sent_again();
            if (sent_on)
                at = sent();
        }
        if (sent_on)
            open.push_back(at);
        advance(std::chrono::milliseconds(1));
        if (open.size() > under_way) {
            from_gate(open.front(), answer{id_of(open.front()), {3, 0, 12}, {200, {}, "x"}, true});
            open.pop_front();
        }
    }
    // Then its quick answers draw no calls to it
    EXPECT_LT(asked_of_it, calls / 10);
}

} // namespace guavahaven::decide
