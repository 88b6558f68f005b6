#include "decide/entry/balancer.h"

#include <gtest/gtest.h>

namespace guavahaven::decide {

namespace {

const service_name board("board");
const version_name v1("v1");
const data_center_name leon("leon");
const data_center_name celaya("celaya");

// A balancer that knows the gates of one service.
class balancer_test : public testing::Test {
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
        apply_view();
        return {first, second};
    }
    void apply_view() { balancer_.set_view(known_, now_); }

    std::optional<daemon_name> choose(const std::set<daemon_name>& tried = {})
    {
        return balancer_.choose(board, v1, tried, random_, now_);
    }
    // Starts calls that stay open; returns how many went to each gate.
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
    // Chooses gates without starting calls; returns how often each was chosen.
    std::map<daemon_name, int> choose_without_load(int calls)
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

TEST_F(balancer_test, prefers_own_data_center_and_spills_by_load)
{
    // Given two gates here and two elsewhere, ten slots each
    const daemon_name local_1 = add(leon);
    const daemon_name local_2 = add(leon);
    const daemon_name remote_1 = add(celaya);
    const daemon_name remote_2 = add(celaya);
    apply_view();

    // With free capacity, all calls stay in the own data centre
    auto each = begin(14);
    EXPECT_EQ(each[local_1] + each[local_2], 14);

    // When the own gates are nearly full, some calls go to the other data centre
    each = begin(12);
    EXPECT_GT(each[local_1] + each[local_2], 2);
    EXPECT_GT(each[remote_1] + each[remote_2], 2);

    // When both are overloaded, the calls do not all go to the other data centre
    each = begin(200);
    EXPECT_GT(each[local_1] + each[local_2], 60);
    EXPECT_GT(each[remote_1] + each[remote_2], 60);
}

TEST_F(balancer_test, uses_other_data_center_when_own_has_no_gate)
{
    const daemon_name remote = add(celaya);
    apply_view();
    EXPECT_EQ(choose(), remote);
    EXPECT_EQ(choose({remote}), std::nullopt);
}

// Guards against avoiding a gate for ever on account of one report.
TEST_F(balancer_test, old_load_report_loses_weight)
{
    const auto [a, b] = two_gates();

    // Given a report that one gate is full
    balancer_.reported(a, {10, 20, 10}, now_);
    EXPECT_EQ(choose_without_load(100)[a], 0);

    // When no further report comes, the gate is tried again
    now_ += std::chrono::seconds(2);
    EXPECT_GT(choose_without_load(100)[a], 20);
    EXPECT_GT(choose_without_load(100)[b], 20);
}

// Guards against overloading a gate whose report is wrong or late.
TEST_F(balancer_test, own_calls_outweigh_idle_report)
{
    const auto [a, b] = two_gates();
    for (int i = 0; i < 8; ++i)
        balancer_.began(a);

    // When a gate with many own calls under way reports that it is idle
    balancer_.reported(a, {0, 0, 10}, now_);
    balancer_.reported(b, {1, 0, 10}, now_);

    // Then the entry's own count of open calls prevails
    EXPECT_EQ(choose_without_load(100)[a], 0);
}

TEST_F(balancer_test, refusal_outweighs_idle_report)
{
    const auto [a, b] = two_gates();
    end(a, attempt_end::refused);
    balancer_.reported(a, {0, 0, 10}, now_);
    EXPECT_EQ(choose_without_load(100)[a], 0);

    now_ += std::chrono::seconds(1);
    EXPECT_GT(choose_without_load(100)[a], 0);
    EXPECT_GT(choose_without_load(100)[b], 0);
}

// A gate that gets no calls yields no new measurement, so the old one must lose weight.
TEST_F(balancer_test, slow_gate_is_avoided_until_measurement_ages)
{
    const auto [slow, quick] = two_gates();
    for (int i = 0; i < 20; ++i) {
        end(slow, attempt_end::answered, std::chrono::milliseconds(200));
        end(quick, attempt_end::answered, std::chrono::milliseconds(2));
    }
    EXPECT_EQ(choose_without_load(100)[slow], 0);

    now_ += std::chrono::seconds(30);
    EXPECT_GT(choose_without_load(100)[slow], 20);
}

TEST_F(balancer_test, ejection_time_grows_with_repeated_failures)
{
    const daemon_name bad = add(leon);
    add(leon);
    add(leon);
    apply_view();
    const auto fail_thrice = [&] {
        for (int i = 0; i < 3; ++i)
            end(bad, attempt_end::failed);
    };

    // Two failures are not enough
    end(bad, attempt_end::failed);
    end(bad, attempt_end::failed);
    EXPECT_GT(choose_without_load(300)[bad], 0);

    // After the third it gets no call, and is tried again after at most a second
    end(bad, attempt_end::failed);
    EXPECT_EQ(choose_without_load(300)[bad], 0);
    now_ += std::chrono::milliseconds(1001);
    EXPECT_GT(choose_without_load(300)[bad], 0);

    // When it fails again, it is ejected for longer
    fail_thrice();
    now_ += std::chrono::milliseconds(999);
    EXPECT_EQ(choose_without_load(300)[bad], 0);
    now_ += std::chrono::milliseconds(1002);
    EXPECT_GT(choose_without_load(300)[bad], 0);

    // After an answer without a failure, the next ejection is short again
    for (const member& m : known_.members_)
        end(m.name_, attempt_end::answered);
    fail_thrice();
    now_ += std::chrono::milliseconds(1001);
    EXPECT_GT(choose_without_load(300)[bad], 0);
}

// When all gates fail, ejecting them all would leave the service without any.
TEST_F(balancer_test, never_ejects_more_than_half_of_a_pool)
{
    std::vector<daemon_name> gates;
    for (int i = 0; i < 6; ++i)
        gates.push_back(add(leon));
    apply_view();

    // When all gates are unreachable
    for (const daemon_name& g : gates)
        end(g, attempt_end::unreachable);

    // Then half of them still get calls
    EXPECT_EQ(balancer_.ejected(board, v1, now_), 3U);
    EXPECT_EQ(choose_without_load(300).size(), 3U);
}

// In a data centre that is cut off, each call to another one is lost, so the limit on
// ejections must not apply to unresponsive gates.
TEST_F(balancer_test, unresponsive_gates_are_avoided_without_limit)
{
    // Given a data centre that is cut off: no gate of the other ones responds
    const daemon_name local = add(leon);
    std::vector<daemon_name> remote;
    for (int i = 0; i < 3; ++i)
        remote.push_back(add(celaya));
    apply_view();
    for (const daemon_name& gate : remote)
        balancer_.mark_unresponsive(gate, random_, now_);

    // Then all calls stay, even beyond the capacity of the own gate
    EXPECT_EQ(begin(40)[local], 40);
    // A call that the own gate refused is not retried there: the refusal tells the caller
    // more than a timeout would
    EXPECT_FALSE(choose({local}));

    // They are tried again soon, so that the entry finds out that the partition has ended
    now_ += std::chrono::seconds(2);
    auto each = begin(40);
    EXPECT_GT(each[remote[0]] + each[remote[1]] + each[remote[2]], 0);
}

TEST_F(balancer_test, single_gate_is_never_ejected)
{
    const daemon_name only = add(leon);
    apply_view();
    end(only, attempt_end::unreachable);
    EXPECT_EQ(choose(), only);
}

// Guards against flooding a gate that has just started, because it is idle.
TEST_F(balancer_test, new_gate_starts_with_reduced_share)
{
    // Given two busy gates
    const auto [old_1, old_2] = two_gates();
    begin(10);

    // When a third appears, idle
    const daemon_name fresh = add(leon);
    apply_view();

    // Then it doesn't get all new calls at once
    auto each = begin(14);
    EXPECT_LE(each[fresh], 3);
    EXPECT_GE(each[fresh], 1);
    // And gets its full share after a while
    now_ += std::chrono::seconds(6);
    each = begin(6);
    EXPECT_GE(each[fresh], 3);
    EXPECT_GT(each[old_1] + each[old_2], 0);
}

// Guards against overloading single gates with the calls of those that vanished.
TEST_F(balancer_test, load_stays_even_when_half_of_the_gates_vanish)
{
    // Given ten gates, and calls that are spread over them
    for (int i = 0; i < 10; ++i)
        add(leon);
    apply_view();
    begin(50);

    // When five of them vanish, and their calls are retried
    known_.members_.resize(5);
    apply_view();
    const auto each = begin(25);

    // Then the retried calls are spread evenly over the rest
    EXPECT_EQ(each.size(), 5U);
    for (const auto& [gate, calls] : each)
        EXPECT_LE(calls, 8) << gate.str();
}

} // namespace guavahaven::decide
