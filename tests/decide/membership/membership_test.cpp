// Guards against living daemons that stay declared dead, a data centre that is forgotten while the network
// cuts it off, and an overlay of connections that falls apart or burdens single daemons.

#include <gtest/gtest.h>

#include <queue>
#include <set>

#include "decide/membership/membership.h"

namespace guavahaven::decide {

namespace {

using std::chrono::seconds;

member daemon_at(const std::string& name, const std::string& data_center, std::uint64_t started = 1)
{
    member m;
    m.name_ = daemon_name(name);
    m.data_center_ = data_center_name(data_center);
    m.incarnation_ = incarnation(started);
    return m;
}

std::vector<member> data_center(const std::string& name, int size)
{
    std::vector<member> all;
    for (int i = 0; i < size; ++i)
        all.push_back(daemon_at(name + std::to_string(i), name));
    return all;
}

member_state state_of(const membership& m, const std::string& name)
{
    return m.find(daemon_name(name))->state_;
}

} // namespace

TEST(membership, refutes_the_death_of_a_living_daemon)
{
    membership self(daemon_at("a", "leon"), time_point());
    // Given that others hold it as dead
    member held = self.self();
    held.state_ = member_state::dead;
    // When it receives that
    const merge_outcome heard = self.merge({held}, time_point());
    // Then it announces itself under a higher revision, which replaces the death at other daemons
    ASSERT_EQ(heard.news_.size(), 1U);
    EXPECT_GT(heard.news_[0].revision_, held.revision_);
    membership other(daemon_at("b", "leon"), time_point());
    other.merge({daemon_at("a", "leon")}, time_point());
    other.merge({held}, time_point());
    EXPECT_EQ(state_of(other, "a"), member_state::dead);
    other.merge(heard.news_, time_point());
    EXPECT_EQ(state_of(other, "a"), member_state::alive);
}

TEST(membership, replaces_an_earlier_daemon_of_the_same_address)
{
    membership m(daemon_at("b", "leon"), time_point());
    m.merge({daemon_at("a", "leon", 1)}, time_point());
    EXPECT_EQ(m.merge({daemon_at("a", "leon", 2)}, time_point()).news_.size(), 1U);
    EXPECT_TRUE(m.merge({daemon_at("a", "leon", 1)}, time_point()).news_.empty());
    EXPECT_EQ(m.find(daemon_name("a"))->incarnation_, incarnation(2));
}

TEST(membership, distinguishes_a_single_death_from_a_data_center_cut_off)
{
    time_point now{};
    membership m(daemon_at("self", "leon"), now);
    m.merge(data_center("celaya", 8), now);
    m.merge(data_center("irapuato", 8), now);

    // When one daemon of celaya is suspected, and all of irapuato
    m.suspect(daemon_name("celaya0"), now);
    for (int i = 0; i < 8; ++i)
        m.suspect(daemon_name("irapuato" + std::to_string(i)), now);
    now += seconds(30);
    m.tick(now);

    // Then the one is declared dead, and those of irapuato stay suspects
    EXPECT_EQ(state_of(m, "celaya0"), member_state::dead);
    EXPECT_TRUE(m.cut_off(data_center_name("irapuato")));
    EXPECT_EQ(state_of(m, "irapuato0"), member_state::suspect);

    // And when one of irapuato refutes the suspicion, it is alive at once
    member back = daemon_at("irapuato0", "irapuato");
    back.revision_ = 1;
    m.merge({back}, now);
    EXPECT_EQ(state_of(m, "irapuato0"), member_state::alive);
}

TEST(membership, corrects_a_sender_that_holds_a_dead_daemon_as_alive)
{
    time_point now{};
    membership m(daemon_at("self", "leon"), now);
    m.merge({daemon_at("a", "leon")}, now);
    m.suspect(daemon_name("a"), now);
    m.tick(now + seconds(10));
    const merge_outcome heard = m.merge({daemon_at("a", "leon")}, now + seconds(11));
    ASSERT_EQ(heard.corrections_.size(), 1U);
    EXPECT_EQ(heard.corrections_[0].state_, member_state::dead);
}

TEST(membership, finds_differing_members_by_bucket)
{
    const time_point now{};
    membership a(daemon_at("a", "leon"), now);
    membership b(daemon_at("b", "leon"), now);
    for (membership* m : {&a, &b}) {
        m->merge(data_center("celaya", 300), now);
        m->merge({a.self(), b.self()}, now);
    }
    ASSERT_EQ(a.hash(), b.hash());

    // When one of 300 changes at one of the two
    member changed = daemon_at("celaya7", "celaya");
    changed.revision_ = 9;
    a.merge({changed}, now);
    EXPECT_NE(a.hash(), b.hash());

    // Then a single bucket differs, and holds a small part of the members
    const auto hashes_a = a.bucket_hashes();
    const auto hashes_b = b.bucket_hashes();
    std::vector<std::uint32_t> differing;
    for (std::uint32_t i = 0; i < hashes_a.size(); ++i)
        if (hashes_a[i] != hashes_b[i])
            differing.push_back(i);
    ASSERT_EQ(differing.size(), 1U);
    EXPECT_LT(a.members_in(differing).size(), 30U);
    b.merge(a.members_in(differing), now);
    EXPECT_EQ(a.hash(), b.hash());
}

TEST(overlay, connects_1200_daemons_and_every_pair_of_16_data_centers)
{
    constexpr int data_centers = 16;
    constexpr int each = 75;
    std::vector<member> all;
    for (int i = 0; i < data_centers * each; ++i)
        all.push_back(daemon_at("10.0." + std::to_string(i / each) + "." + std::to_string(i % each) + ":7000",
                                "dc" + std::to_string(i / each)));
    // Given the connections that each daemon opens
    std::map<daemon_name, std::set<daemon_name>> links;
    std::set<std::pair<std::string, std::string>> pairs;
    std::map<daemon_name, data_center_name> place;
    for (const member& m : all)
        place[m.name_] = m.data_center_;
    for (const member& m : all) {
        membership self(m, time_point());
        self.merge(all, time_point());
        EXPECT_LE(self.neighbours().size(), 5U);
        for (const daemon_name& n : self.neighbours()) {
            links[m.name_].insert(n);
            links[n].insert(m.name_);
            pairs.insert({m.data_center_.str(), place[n].str()});
            pairs.insert({place[n].str(), m.data_center_.str()});
        }
    }
    // Then all daemons are reached from one, in few hops
    std::map<daemon_name, int> steps{{all[0].name_, 0}};
    std::queue<daemon_name> next({all[0].name_});
    int most_steps = 0;
    for (; !next.empty(); next.pop())
        for (const daemon_name& n : links[next.front()])
            if (steps.emplace(n, steps[next.front()] + 1).second) {
                most_steps = std::max(most_steps, steps[n]);
                next.push(n);
            }
    EXPECT_EQ(steps.size(), all.size());
    EXPECT_LE(most_steps, 7);
    // And every pair of data centres is connected, and no daemon has many connections
    EXPECT_EQ(pairs.size(), static_cast<std::size_t>(data_centers * data_centers));
    for (const auto& [name, others] : links)
        EXPECT_LE(others.size(), 14U);
}

} // namespace guavahaven::decide
