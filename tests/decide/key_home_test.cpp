// Idempotency keys that callers repeat through other entries and gates.

#include <gtest/gtest.h>

#include "decide/key_home.h"
#include "support/gate_harness.h"

namespace guavahaven {

using decide::key_claim;
using decide::key_outcome;
using decide::key_verdict;
using support::gate_harness;

namespace {

constexpr time_point long_after_start{std::chrono::hours(1)};

key_claim claim(const std::string& entry, std::uint64_t sequence, std::uint64_t request)
{
    return {"key", {daemon_name(entry), {incarnation(7), sequence}}, request};
}

decide::view view_of(const std::vector<std::string>& names)
{
    decide::view v;
    for (const std::string& name : names) {
        decide::member m;
        m.name_ = daemon_name(name);
        v.members_.push_back(m);
    }
    return v;
}

} // namespace

TEST(key_home, is_the_same_whatever_else_changes)
{
    const std::vector<std::string> names{"a", "b", "c", "d", "e"};
    for (int i = 0; i < 200; ++i) {
        const std::string key = "key" + std::to_string(i);
        const auto homes = key_homes(view_of(names), key);
        ASSERT_EQ(homes.size(), 2U);

        // A daemon that others hold to be gone, or that only some know, leaves one home in common
        for (const std::string& gone : names) {
            std::vector<std::string> rest = names;
            std::erase(rest, gone);
            const auto after = key_homes(view_of(rest), key);
            EXPECT_TRUE(after[0] == homes[0] || after[0] == homes[1]) << gone;
        }
        // And a service, version or backend server that comes or goes shifts nothing
        decide::view other = view_of(names);
        other.members_[0].service_ = service_name("desk");
        other.members_[1].state_ = decide::member_state::draining;
        EXPECT_EQ(key_homes(other, key), homes);
    }
}

TEST(key_home, grants_a_key_to_one_request_only)
{
    decide::key_registry home{time_point()};
    time_point now = long_after_start;
    EXPECT_TRUE(home.handle(claim("a", 1, 1), now).granted_);

    // Another entry's request is not granted, before and after the end
    EXPECT_FALSE(home.handle(claim("b", 9, 9), now).granted_);
    // A later attempt of the first is, since its entry knows that the earlier has not run
    EXPECT_TRUE(home.handle(claim("a", 4, 1), now).granted_);
    // But not an earlier one that comes late
    EXPECT_FALSE(home.handle(claim("a", 1, 1), now).granted_);

    home.handle(key_outcome{"key", claim("a", 4, 1).attempt_, true, 201}, now);
    const key_verdict later = home.handle(claim("b", 10, 10), now);
    EXPECT_FALSE(later.granted_);
    EXPECT_EQ(later.status_, 201);

    // Until its window has passed
    now += decide::remember_identity;
    home.forget(now - std::chrono::seconds(1));
    EXPECT_FALSE(home.handle(claim("b", 11, 11), now).granted_);
    home.forget(now + std::chrono::minutes(31));
    EXPECT_TRUE(home.handle(claim("b", 12, 12), now).granted_);
}

TEST(key_home, gives_a_key_back_when_nothing_ran)
{
    decide::key_registry home{time_point()};
    home.handle(claim("a", 1, 1), long_after_start);
    // The outcome of another attempt changes nothing
    home.handle(key_outcome{"key", claim("b", 1, 1).attempt_, false, 0}, long_after_start);
    EXPECT_FALSE(home.handle(claim("b", 2, 2), long_after_start).granted_);

    home.handle(key_outcome{"key", claim("a", 1, 1).attempt_, false, 0}, long_after_start);
    EXPECT_TRUE(home.handle(claim("b", 3, 3), long_after_start).granted_);
}

TEST(non_idempotent_request_runs_at_most_once, with_its_key_at_two_homes_before_the_run)
{
    gate_harness g({"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"});
    const auto asked = [&](std::string* home) { return g.last_to_gate<key_claim>(home); };
    const auto grant = [&](const key_claim& c, const std::string& home, bool recent) {
        const key_verdict v{c.identity_, c.attempt_, true, recent, 0};
        g.handle(decide::peer_gate_message{daemon_name(home), v});
    };

    // Given a key whose homes are both elsewhere
    std::string key = "k";
    const auto at_home_here = [&] {
        const auto homes = key_homes(*g.view_, scoped_identity(g.make_keyed(1, key)));
        return homes[0] == g.self_ || homes[1] == g.self_;
    };
    while (at_home_here())
        key += "k";

    // When both grant it, one after the other
    std::string home;
    std::string deputy;
    g.send(g.make_keyed(1, key));
    const auto first = asked(&home);
    ASSERT_TRUE(first);
    EXPECT_TRUE(g.runs_.empty());
    grant(*first, home, false);
    const auto second = asked(&deputy);
    ASSERT_TRUE(second);
    EXPECT_NE(home, deputy);
    EXPECT_TRUE(g.runs_.empty());
    grant(*second, deputy, false);
    // Then it runs, and both learn how it ended
    ASSERT_EQ(g.runs_.size(), 1U);
    g.answer(g.runs_[0], 201);
    std::string told;
    ASSERT_TRUE(g.last_to_gate<key_outcome>(&told));
    EXPECT_EQ(told, deputy);
    EXPECT_EQ(g.last_to_gate<key_outcome>()->status_, 201);

    // When the home knows of an earlier run, nothing runs
    key += "other";
    while (at_home_here())
        key += "k";
    g.send(g.make_keyed(2, key));
    const auto taken = asked(&home);
    g.handle(decide::peer_gate_message{daemon_name(home),
                                       key_verdict{taken->identity_, taken->attempt_, false, false, 200}});
    EXPECT_EQ(g.refused(), code::duplicate_request);
    EXPECT_EQ(g.last<decide::refusal>()->earlier_status_, 200);

    // When both have started so lately that a record may be lost, nothing runs either
    g.send(g.make_keyed(3, key));
    grant(*asked(&home), home, true);
    grant(*asked(&deputy), deputy, true);
    EXPECT_EQ(g.refused(), code::outcome_unknown);

    // Nor when a home does not answer
    g.send(g.make_keyed(4, key));
    g.pass(std::chrono::milliseconds(501));
    EXPECT_EQ(g.refused(), code::outcome_unknown);
    EXPECT_FALSE(g.last_to_gate<key_outcome>()->ran_);
    EXPECT_EQ(g.runs_.size(), 1U);
}

} // namespace guavahaven
