// Idempotency keys that callers repeat through other entries and gates.

#include <gtest/gtest.h>

#include <algorithm>

#include "decide/gate/key_replica.h"
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
        ASSERT_EQ(homes.size(), 3U);

        // A daemon that others hold to be gone leaves the order of the rest
        for (const std::string& gone : names) {
            std::vector<std::string> rest = names;
            std::erase(rest, gone);
            std::vector<daemon_name> kept = homes;
            std::erase(kept, daemon_name(gone));
            const auto after = key_homes(view_of(rest), key);
            EXPECT_TRUE(std::equal(kept.begin(), kept.end(), after.begin())) << gone;
        }
        // And a service, version or backend server that comes or goes shifts nothing
        decide::view other = view_of(names);
        other.members_[0].service_ = service_name("desk");
        other.members_[1].state_ = decide::member_state::draining;
        EXPECT_EQ(key_homes(other, key), homes);
    }
}

TEST(key_home, stays_with_daemons_that_have_just_died)
{
    // Given a key that two of its homes have granted
    decide::view v = view_of({"a", "b", "c", "d", "e", "f"});
    const auto homes = key_homes(v, "key");

    // When both are declared dead, or leave, at once
    for (const decide::member_state gone : {decide::member_state::dead, decide::member_state::left}) {
        for (decide::member& m : v.members_)
            if (m.name_ == homes[0] || m.name_ == homes[1])
                m.state_ = gone;

        // Then no daemon without their records takes their places while they are known
        EXPECT_EQ(key_homes(v, "key"), homes);
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

// A gate beside the three homes of a key, none of which is here.
class keyed_story {
public:
    keyed_story() : g_({"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"})
    {
        for (auto all = homes(); std::find(all.begin(), all.end(), g_.self_) != all.end(); all = homes())
            key_ += "k";
    }

    std::vector<daemon_name> homes() { return key_homes(*g_.view_, scoped_identity(g_.make_keyed(1, key_))); }
    void send(std::uint64_t sequence) { g_.send(g_.make_keyed(sequence, key_)); }
    // The home that is being asked.
    daemon_name asked()
    {
        std::string home;
        const auto claim = g_.last_to_gate<key_claim>(&home);
        if (claim)
            claim_ = *claim;
        return daemon_name(home);
    }
    void say(const daemon_name& home, bool granted, bool recent = false, int earlier = 0)
    {
        const key_verdict v{claim_.identity_, claim_.attempt_, granted, recent, earlier != 0, earlier};
        g_.handle(decide::peer_gate_message{home, v});
    }

    gate_harness g_;
    std::string key_ = "k";
    key_claim claim_;
};

TEST(non_idempotent_request_runs_at_most_once, with_its_key_at_two_homes_before_the_run)
{
    keyed_story s;
    const auto homes = s.homes();

    // When two homes grant the key, one after the other
    s.send(1);
    ASSERT_EQ(s.asked(), homes[0]);
    s.say(homes[0], true);
    ASSERT_EQ(s.asked(), homes[1]);
    EXPECT_TRUE(s.g_.runs_.empty());
    s.say(homes[1], true);
    // Then it runs, and both learn how it ended, until they have said so
    ASSERT_EQ(s.g_.runs_.size(), 1U);
    s.g_.answer(s.g_.runs_[0], 201);
    std::string told;
    const auto outcome = s.g_.last_to_gate<key_outcome>(&told);
    ASSERT_TRUE(outcome);
    EXPECT_EQ(daemon_name(told), homes[1]);
    EXPECT_EQ(outcome->status_, 201);
    s.g_.handle(
        decide::peer_gate_message{homes[1], decide::key_noted{outcome->identity_, outcome->attempt_}});
    s.g_.pass(std::chrono::milliseconds(301));
    ASSERT_TRUE(s.g_.last_to_gate<key_outcome>(&told));
    EXPECT_EQ(daemon_name(told), homes[0]);
}

TEST(non_idempotent_request_runs_at_most_once, when_a_home_knows_of_an_earlier_run)
{
    keyed_story s;
    s.send(1);
    s.say(s.asked(), true);
    s.say(s.asked(), false, false, 200);

    // Then nothing runs, the caller learns the status, and the first home gives the key back
    EXPECT_TRUE(s.g_.runs_.empty());
    EXPECT_EQ(s.g_.refused(), code::duplicate_request);
    EXPECT_EQ(s.g_.last<decide::refusal>()->earlier_status_, 200);
    EXPECT_FALSE(s.g_.last_to_gate<key_outcome>()->ran_);
}

TEST(non_idempotent_request_runs_at_most_once, when_homes_were_restarted_or_are_silent)
{
    keyed_story s;
    const auto homes = s.homes();

    // A home that has started lately does not count
    s.send(1);
    s.say(s.asked(), true, true);
    s.say(s.asked(), true);
    EXPECT_TRUE(s.g_.runs_.empty());
    s.say(s.asked(), true);
    EXPECT_EQ(s.g_.runs_.size(), 1U);

    // Of two such homes nothing is believed
    s.key_ += "2";
    for (auto all = s.homes(); std::find(all.begin(), all.end(), s.g_.self_) != all.end(); all = s.homes())
        s.key_ += "2";
    s.send(2);
    s.asked();
    for (const daemon_name& home : s.homes())
        s.say(home, true, home != s.homes()[0]);
    EXPECT_EQ(s.g_.runs_.size(), 1U);
    EXPECT_EQ(s.g_.refused(), code::outcome_unknown);

    // A silent home is asked again over a new connection, then the next one is
    keyed_story silent;
    silent.send(3);
    EXPECT_EQ(silent.asked(), homes[0]);
    silent.g_.pass(std::chrono::milliseconds(151));
    EXPECT_EQ(silent.asked(), homes[0]);
    silent.g_.pass(std::chrono::milliseconds(151));
    EXPECT_EQ(silent.asked(), homes[1]);
    silent.say(homes[1], true);
    // One that is lost is as well, and with one grant only nothing runs
    silent.g_.handle(decide::peer_gate_lost{homes[2]});
    EXPECT_EQ(silent.asked(), homes[2]);
    silent.g_.handle(decide::peer_gate_lost{homes[2]});
    EXPECT_EQ(silent.g_.refused(), code::outcome_unknown);
    EXPECT_TRUE(silent.g_.runs_.empty());
}

} // namespace guavahaven
