#include "decide/entry/balancer.h"

#include <gtest/gtest.h>

namespace guavahaven::decide {

namespace {

const service_name board("board");
const version_name v1("v1");
const data_center_name leon("leon");
const data_center_name celaya("celaya");

// Gates of one service, calls that begin there and end when told.
class balancer_story : public testing::Test {
protected:
    daemon_name add(const data_center_name& where, std::uint32_t slots = 10)
    {
        member m;
        m.name_ = daemon_name("10.0.0." + std::to_string(known_.members_.size()) + ":1");
        m.data_center_ = where;
        m.service_ = board;
        m.version_ = v1;
        m.slots_ = slots;
        known_.members_.push_back(m);
        return m.name_;
    }
    // Two gates in León, in the view.
    std::pair<daemon_name, daemon_name> two_gates()
    {
        const daemon_name first = add(leon);
        const daemon_name second = add(leon);
        take_view();
        return {first, second};
    }
    void take_view() { balancer_.set_view(known_, now_); }

    std::optional<daemon_name> choose(const std::set<daemon_name>& tried = {})
    {
        return balancer_.choose(board, v1, tried, random_, now_);
    }
    // Begins calls that stay under way; how many went to each gate.
    std::map<daemon_name, int> begin(int calls)
    {
        std::map<daemon_name, int> each;
        for (int i = 0; i < calls; ++i) {
            const auto gate = choose();
            if (!gate)
                continue;
            balancer_.began(*gate);
            ++each[*gate];
        }
        return each;
    }
    // Chooses without load; how many went to each gate.
    std::map<daemon_name, int> look(int calls)
    {
        std::map<daemon_name, int> each;
        for (int i = 0; i < calls; ++i)
            if (const auto gate = choose())
                ++each[*gate];
        return each;
    }
    void end(const daemon_name& gate, attempt_end how, duration took = std::chrono::milliseconds(2))
    {
        balancer_.began(gate);
        balancer_.ended(gate, how, took, random_, now_);
    }

    time_point now_{std::chrono::hours(1)};
    view known_;
    balancer balancer_{leon};
    random_engine random_{1};
};

} // namespace

TEST_F(balancer_story, stays_in_the_own_data_centre_and_spills_by_load)
{
    // Given two gates here and two elsewhere, ten slots each
    const daemon_name near_1 = add(leon);
    const daemon_name near_2 = add(leon);
    const daemon_name far_1 = add(celaya);
    const daemon_name far_2 = add(celaya);
    take_view();

    // When there is room, all calls stay
    auto each = begin(14);
    EXPECT_EQ(each[near_1] + each[near_2], 14);

    // When the own gates are nearly full, some leave and some still stay
    each = begin(12);
    EXPECT_GT(each[near_1] + each[near_2], 2);
    EXPECT_GT(each[far_1] + each[far_2], 2);

    // When there is far too much for all, it is not all put on the others
    each = begin(200);
    EXPECT_GT(each[near_1] + each[near_2], 60);
    EXPECT_GT(each[far_1] + each[far_2], 60);
}

TEST_F(balancer_story, goes_elsewhere_when_the_own_data_centre_has_none)
{
    const daemon_name far = add(celaya);
    take_view();
    EXPECT_EQ(choose(), far);
    EXPECT_EQ(choose({far}), std::nullopt);
}

TEST_F(balancer_story, a_report_that_lags_loses_its_weight)
{
    const auto [a, b] = two_gates();

    // Given a report that one gate is full
    balancer_.reported(a, {10, 20, 10}, now_);
    EXPECT_EQ(look(100)[a], 0);

    // When nothing is heard of it any more, it is tried again
    now_ += std::chrono::seconds(2);
    EXPECT_GT(look(100)[a], 20);
    EXPECT_GT(look(100)[b], 20);
}

TEST_F(balancer_story, a_report_that_is_too_good_is_outweighed_by_own_calls)
{
    const auto [a, b] = two_gates();
    for (int i = 0; i < 8; ++i)
        balancer_.began(a);

    // When a gate with many own calls under way reports that it is idle
    balancer_.reported(a, {0, 0, 10}, now_);
    balancer_.reported(b, {1, 0, 10}, now_);

    // Then the report isn't believed
    EXPECT_EQ(look(100)[a], 0);
}

TEST_F(balancer_story, a_refusal_outweighs_a_good_report)
{
    const auto [a, b] = two_gates();
    end(a, attempt_end::refused);
    balancer_.reported(a, {0, 0, 10}, now_);
    EXPECT_EQ(look(100)[a], 0);

    now_ += std::chrono::seconds(1);
    EXPECT_GT(look(100)[a], 0);
    EXPECT_GT(look(100)[b], 0);
}

TEST_F(balancer_story, a_slow_gate_gets_fewer_calls_until_it_is_tried_again)
{
    const auto [slow, quick] = two_gates();
    for (int i = 0; i < 20; ++i) {
        end(slow, attempt_end::answered, std::chrono::milliseconds(200));
        end(quick, attempt_end::answered, std::chrono::milliseconds(2));
    }
    EXPECT_EQ(look(100)[slow], 0);

    now_ += std::chrono::seconds(30);
    EXPECT_GT(look(100)[slow], 20);
}

TEST_F(balancer_story, failures_eject_a_gate_for_a_growing_time)
{
    const daemon_name bad = add(leon);
    add(leon);
    add(leon);
    take_view();
    const auto fail_thrice = [&] {
        for (int i = 0; i < 3; ++i)
            end(bad, attempt_end::failed);
    };

    // Two failures are not enough
    end(bad, attempt_end::failed);
    end(bad, attempt_end::failed);
    EXPECT_GT(look(300)[bad], 0);

    // After the third it gets no call, and is tried again after at most a second
    end(bad, attempt_end::failed);
    EXPECT_EQ(look(300)[bad], 0);
    now_ += std::chrono::milliseconds(1001);
    EXPECT_GT(look(300)[bad], 0);

    // When it fails again, it is out for longer
    fail_thrice();
    now_ += std::chrono::milliseconds(999);
    EXPECT_EQ(look(300)[bad], 0);
    now_ += std::chrono::milliseconds(1002);
    EXPECT_GT(look(300)[bad], 0);

    // When it answers like the others, the next ejection is short again
    for (const member& m : known_.members_)
        end(m.name_, attempt_end::answered);
    fail_thrice();
    now_ += std::chrono::milliseconds(1001);
    EXPECT_GT(look(300)[bad], 0);
}

TEST_F(balancer_story, never_ejects_more_than_half_of_a_pool)
{
    std::vector<daemon_name> gates;
    for (int i = 0; i < 6; ++i)
        gates.push_back(add(leon));
    take_view();

    // When all gates are unreachable
    for (const daemon_name& g : gates)
        end(g, attempt_end::unreachable);

    // Then half of them still get calls
    EXPECT_EQ(balancer_.ejected(board, v1, now_), 3U);
    EXPECT_EQ(look(300).size(), 3U);
}

TEST_F(balancer_story, leaves_silent_gates_alone_however_many_they_are)
{
    // Given a data centre that is cut off: the gates of the others are silent
    const daemon_name near = add(leon);
    std::vector<daemon_name> far;
    for (int i = 0; i < 3; ++i)
        far.push_back(add(celaya));
    take_view();
    for (const daemon_name& gate : far)
        balancer_.fell_silent(gate, random_, now_);

    // Then all calls stay, also above what the own gate bears well
    EXPECT_EQ(begin(40)[near], 40);
    // Also those that it refuses: its refusal tells a caller more than silence would
    EXPECT_FALSE(choose({near}));

    // They are tried again soon, so that the end of the cut is noticed
    now_ += std::chrono::seconds(2);
    auto each = begin(40);
    EXPECT_GT(each[far[0]] + each[far[1]] + each[far[2]], 0);
}

TEST_F(balancer_story, a_single_gate_is_never_ejected)
{
    const daemon_name only = add(leon);
    take_view();
    end(only, attempt_end::unreachable);
    EXPECT_EQ(choose(), only);
}

TEST_F(balancer_story, a_newly_seen_gate_starts_with_a_part)
{
    // Given two busy gates
    const auto [old_1, old_2] = two_gates();
    begin(10);

    // When a third appears, idle
    const daemon_name fresh = add(leon);
    take_view();

    // Then it isn't given all at once
    auto each = begin(14);
    EXPECT_LE(each[fresh], 3);
    EXPECT_GE(each[fresh], 1);
    // And takes its part after a while
    now_ += std::chrono::seconds(6);
    each = begin(6);
    EXPECT_GE(each[fresh], 3);
    EXPECT_GT(each[old_1] + each[old_2], 0);
}

TEST_F(balancer_story, nobody_is_flooded_when_others_vanish)
{
    // Given ten gates, and calls that are spread over them
    for (int i = 0; i < 10; ++i)
        add(leon);
    take_view();
    begin(50);

    // When five of them vanish, and their calls are sent again
    known_.members_.resize(5);
    take_view();
    const auto each = begin(25);

    // Then the rest bear about the same
    EXPECT_EQ(each.size(), 5U);
    for (const auto& [gate, calls] : each)
        EXPECT_LE(calls, 8) << gate.str();
}

} // namespace guavahaven::decide
