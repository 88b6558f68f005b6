// Idempotency keys that callers repeat through other entries and gates. Guards against a second run of a
// request when replicas of its key are replaced, restarted, silent or lost.

#include <gtest/gtest.h>

#include <algorithm>

#include "decide/configuration/first_configuration.h"
#include "decide/gate/key_replica.h"
#include "support/gate_harness.h"

namespace guavahaven {

using decide::key_claim;
using decide::key_claim_reply;
using decide::key_outcome;
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
        const auto replicas = key_replicas(view_of(names), key);
        ASSERT_EQ(replicas.size(), 3U);

        // A daemon that is removed from the view does not change the order of the others
        for (const std::string& gone : names) {
            std::vector<std::string> rest = names;
            std::erase(rest, gone);
            std::vector<daemon_name> kept = replicas;
            std::erase(kept, daemon_name(gone));
            const auto after = key_replicas(view_of(rest), key);
            EXPECT_TRUE(std::equal(kept.begin(), kept.end(), after.begin())) << gone;
        }
        // And a service, version or backend server that comes or goes changes nothing
        decide::view other = view_of(names);
        other.members_[0].service_ = service_name("desk");
        other.members_[1].state_ = decide::member_state::draining;
        EXPECT_EQ(key_replicas(other, key), replicas);
    }
}

TEST(key_home, stays_with_daemons_that_have_just_died)
{
    // Given a key that two of its replicas have granted
    decide::view v = view_of({"a", "b", "c", "d", "e", "f"});
    const auto replicas = key_replicas(v, "key");

    // When both are declared dead, or leave, at once
    for (const decide::member_state gone : {decide::member_state::dead, decide::member_state::left}) {
        for (decide::member& m : v.members_)
            if (m.name_ == replicas[0] || m.name_ == replicas[1])
                m.state_ = gone;

        // Then no daemon without their records replaces them while they are still in the view
        EXPECT_EQ(key_replicas(v, "key"), replicas);
    }
}

TEST(key_home, grants_a_key_to_one_request_only)
{
    decide::key_replica_store replica{time_point()};
    time_point now = long_after_start;
    EXPECT_TRUE(replica.handle(claim("a", 1, 1), now).granted_);

    // Another entry's request is not granted, neither during the run nor after it
    EXPECT_FALSE(replica.handle(claim("b", 9, 9), now).granted_);
    // A later attempt of the first request is, since its entry knows that the earlier attempt has not run
    EXPECT_TRUE(replica.handle(claim("a", 4, 1), now).granted_);
    // But not an earlier attempt that arrives late
    EXPECT_FALSE(replica.handle(claim("a", 1, 1), now).granted_);

    replica.handle(key_outcome{"key", claim("a", 4, 1).attempt_, true, 201}, now);
    const key_claim_reply later = replica.handle(claim("b", 10, 10), now);
    EXPECT_FALSE(later.granted_);
    EXPECT_EQ(later.status_, 201);

    // Until the retention time has passed
    now += decide::identity_retention;
    replica.forget_expired(now - std::chrono::seconds(1));
    EXPECT_FALSE(replica.handle(claim("b", 11, 11), now).granted_);
    replica.forget_expired(now + std::chrono::minutes(31));
    EXPECT_TRUE(replica.handle(claim("b", 12, 12), now).granted_);
}

TEST(key_home, gives_a_key_back_when_nothing_ran)
{
    decide::key_replica_store replica{time_point()};
    replica.handle(claim("a", 1, 1), long_after_start);
    // The outcome of another attempt changes nothing
    replica.handle(key_outcome{"key", claim("b", 1, 1).attempt_, false, 0}, long_after_start);
    EXPECT_FALSE(replica.handle(claim("b", 2, 2), long_after_start).granted_);

    replica.handle(key_outcome{"key", claim("a", 1, 1).attempt_, false, 0}, long_after_start);
    EXPECT_TRUE(replica.handle(claim("b", 3, 3), long_after_start).granted_);
}

// A gate and a key, none of whose three replicas is this gate's daemon.
class keyed_call_harness {
public:
    keyed_call_harness() : g_({"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"})
    {
        for (auto all = replicas(); std::find(all.begin(), all.end(), g_.self_) != all.end();
             all = replicas())
            key_ += "k";
    }

    std::vector<daemon_name> replicas()
    {
        return key_replicas(*g_.view_, scoped_identity(g_.make_keyed(1, key_)));
    }
    void send(std::uint64_t sequence) { g_.send(g_.make_keyed(sequence, key_)); }
    // The replica that the gate sent its last claim to.
    daemon_name asked_replica()
    {
        std::string replica;
        const auto claim = g_.last_to_gate<key_claim>(&replica);
        if (claim)
            claim_ = *claim;
        return daemon_name(replica);
    }
    void reply(const daemon_name& replica, bool granted, bool recent = false, int earlier = 0)
    {
        const key_claim_reply v{claim_.identity_, claim_.attempt_, granted, recent, earlier != 0, earlier};
        g_.handle(decide::peer_gate_message{replica, v});
    }

    gate_harness g_;
    std::string key_ = "k";
    key_claim claim_;
};

TEST(non_idempotent_request_runs_at_most_once, with_its_key_at_two_homes_before_the_run)
{
    keyed_call_harness s;
    const auto replicas = s.replicas();

    // When two replicas grant the key, one after the other
    s.send(1);
    ASSERT_EQ(s.asked_replica(), replicas[0]);
    s.reply(replicas[0], true);
    ASSERT_EQ(s.asked_replica(), replicas[1]);
    EXPECT_TRUE(s.g_.runs_.empty());
    s.reply(replicas[1], true);
    // Then it runs, and the outcome is sent to both until they acknowledge it
    ASSERT_EQ(s.g_.runs_.size(), 1U);
    s.g_.answer(s.g_.runs_[0], 201);
    std::string receiver;
    const auto outcome = s.g_.last_to_gate<key_outcome>(&receiver);
    ASSERT_TRUE(outcome);
    EXPECT_EQ(daemon_name(receiver), replicas[1]);
    EXPECT_EQ(outcome->status_, 201);
    s.g_.handle(decide::peer_gate_message{replicas[1],
                                          decide::key_outcome_ack{outcome->identity_, outcome->attempt_}});
    s.g_.pass(std::chrono::milliseconds(301));
    ASSERT_TRUE(s.g_.last_to_gate<key_outcome>(&receiver));
    EXPECT_EQ(daemon_name(receiver), replicas[0]);
}

TEST(non_idempotent_request_runs_at_most_once, when_a_home_knows_of_an_earlier_run)
{
    keyed_call_harness s;
    s.send(1);
    s.reply(s.asked_replica(), true);
    s.reply(s.asked_replica(), false, false, 200);

    // Then nothing runs, the caller receives the earlier status, and the first replica releases the key
    EXPECT_TRUE(s.g_.runs_.empty());
    EXPECT_EQ(s.g_.refused(), code::duplicate_request);
    EXPECT_EQ(s.g_.last<decide::refusal>()->earlier_status_, 200);
    EXPECT_FALSE(s.g_.last_to_gate<key_outcome>()->ran_);
}

TEST(non_idempotent_request_runs_at_most_once, when_homes_were_restarted_or_are_silent)
{
    keyed_call_harness s;
    const auto replicas = s.replicas();

    // The grant of a replica that started recently does not count
    s.send(1);
    s.reply(s.asked_replica(), true, true);
    s.reply(s.asked_replica(), true);
    EXPECT_TRUE(s.g_.runs_.empty());
    s.reply(s.asked_replica(), true);
    EXPECT_EQ(s.g_.runs_.size(), 1U);

    // With two such replicas there are too few grants
    s.key_ += "2";
    for (auto all = s.replicas(); std::find(all.begin(), all.end(), s.g_.self_) != all.end();
         all = s.replicas())
        s.key_ += "2";
    s.send(2);
    s.asked_replica();
    for (const daemon_name& replica : s.replicas())
        s.reply(replica, true, replica != s.replicas()[0]);
    EXPECT_EQ(s.g_.runs_.size(), 1U);
    EXPECT_EQ(s.g_.refused(), code::outcome_unknown);

    // A silent replica is asked again over a new connection, then the next one is asked
    keyed_call_harness silent;
    silent.send(3);
    EXPECT_EQ(silent.asked_replica(), replicas[0]);
    silent.g_.pass(std::chrono::milliseconds(151));
    EXPECT_EQ(silent.asked_replica(), replicas[0]);
    silent.g_.pass(std::chrono::milliseconds(151));
    EXPECT_EQ(silent.asked_replica(), replicas[1]);
    silent.reply(replicas[1], true);
    // So is one whose connection is lost, and with only one grant nothing runs
    silent.g_.handle(decide::peer_gate_disconnected{replicas[2]});
    EXPECT_EQ(silent.asked_replica(), replicas[2]);
    silent.g_.handle(decide::peer_gate_disconnected{replicas[2]});
    EXPECT_EQ(silent.g_.refused(), code::outcome_unknown);
    EXPECT_TRUE(silent.g_.runs_.empty());
}

// Guards against a fleet that refuses keyed requests for two minutes because its daemons started some tens of
// milliseconds after its first configuration was written, and against a restarted daemon that counts.
TEST(non_idempotent_request_runs_at_most_once, at_a_daemon_that_has_just_started_only_if_nothing_ran_before)
{
    using std::chrono::milliseconds;
    struct start {
        duration after_writing_;
        bool served_;
    };
    for (const start& s : {start{milliseconds(-1), true}, start{milliseconds(80), true},
                           start{milliseconds(900), true}, start{milliseconds(1000), false},
                           start{milliseconds(5000), false}, start{std::chrono::hours(1), false}}) {
        // Given a daemon that started so long after the first configuration was written
        gate_harness g;
        g.written_at_ =
            gate_harness::started - static_cast<std::uint64_t>(s.after_writing_.count()); // also below 0
        g.set_members({g.self_.str()});

        // When a keyed request comes at once
        g.send(g.make_keyed(1, "k"));

        // Then it runs just if no daemon can have served a request before this one started
        EXPECT_EQ(g.runs_.size(), s.served_ ? 1U : 0U) << s.after_writing_.count();
        EXPECT_EQ(g.refused(), s.served_ ? code::ok : code::outcome_unknown) << s.after_writing_.count();
    }

    // And a later configuration, or one whose author's time is not known, proves nothing
    decide::configuration later;
    later.number_ = configuration_number(2);
    later.written_at_ = gate_harness::started + 1;
    EXPECT_FALSE(decide::started_before_first_request(incarnation(gate_harness::started), later));
    decide::configuration untimed;
    untimed.number_ = configuration_number(1);
    EXPECT_FALSE(decide::started_before_first_request(incarnation(1), untimed));
}

} // namespace guavahaven
