// An accepted configuration is in force on every daemon and never reverts,
// whatever happens to daemons, connections, operators and the platform.

#include <gtest/gtest.h>

#include <algorithm>

#include "support/mesh.h"

namespace guavahaven {

namespace {

using support::mesh;
using support::node_plan;
using support::wait_until;

std::string rules(const std::string& path)
{
    return "class lookup deadline 2s # office\nservice board version v1 # office\nroute GET " + path +
           " to board as lookup # office\n";
}

std::vector<node_plan> daemons(const std::vector<std::string>& data_centers)
{
    std::vector<node_plan> plans;
    for (const std::string& d : data_centers)
        plans.push_back({d, "", "", {}});
    return plans;
}

// True if the daemon routes by rules with this path; it has no backend server.
bool routes(const support::node& n, const std::string& path)
{
    const auto r = support::fetch(n.callers(), {"GET", path, {}, ""});
    return ok(r) && http::find_header(value(r).headers_, "Guavahaven-Result") == "401";
}

bool all_route(mesh& m, const std::string& path)
{
    return std::all_of(m.nodes().begin(), m.nodes().end(), [&](support::node& n) {
        return !n.daemon_ || !n.daemon_->running() || routes(n, path);
    });
}

// The state of a daemon as another one has it; "" if it is unknown there.
std::string state_of(const support::node& n, const support::node& seen_by)
{
    const auto s = seen_by.status();
    if (ok(s))
        for (const operators::member_report& m : value(s).members_)
            if (m.name_ == n.name())
                return m.state_;
    return "";
}

bool all_alive(mesh& m)
{
    return std::all_of(m.nodes().begin(), m.nodes().end(), [&](support::node& a) {
        return std::all_of(m.nodes().begin(), m.nodes().end(),
                           [&](support::node& b) { return state_of(a, b) == "alive"; });
    });
}

bool reports(const support::node& n, const std::string& problem)
{
    const auto s = n.status();
    return ok(s) && std::any_of(value(s).problems_.begin(), value(s).problems_.end(),
                                [&](const std::string& p) { return p.starts_with(problem); });
}

bool any_reports(mesh& m, const std::string& problem)
{
    return std::any_of(m.nodes().begin(), m.nodes().end(),
                       [&](const support::node& n) { return reports(n, problem); });
}

} // namespace

TEST(accepted_configuration_is_never_reverted, by_a_platform_restored_to_an_older_state)
{
    mesh m({daemons({"leon", "leon", "celaya"})});
    ASSERT_EQ(m.apply(rules("/one")).status_, 0);
    ASSERT_EQ(m.apply(rules("/two")).status_, 0);
    ASSERT_TRUE(wait_until([&] { return all_route(m, "/two") && all_alive(m); }));

    // When the platform goes back to the first configuration
    m.restore_platform();
    // Then a daemon reports it, and the second stays in force
    EXPECT_TRUE(wait_until([&] { return any_reports(m, "E205"); }));
    EXPECT_TRUE(all_route(m, "/two"));

    // When an operator applies without asking a daemon, the number in force is used twice
    EXPECT_NE(m.apply(rules("/again")).output_.find("configuration 2"), std::string::npos);
    EXPECT_TRUE(wait_until([&] { return any_reports(m, "E206"); }));
    EXPECT_TRUE(all_route(m, "/two"));

    // When the remedy is followed, the rules are in force everywhere
    const support::finished remedied =
        m.apply(rules("/remedied"), "tests", {"--daemon=" + http::to_string(m.at(0).operators())});
    EXPECT_NE(remedied.output_.find("configuration 3"), std::string::npos) << remedied.output_;
    EXPECT_TRUE(wait_until([&] { return all_route(m, "/remedied"); }));
}

TEST(racing_operators, are_told_who_came_first_and_what_differs)
{
    mesh m({daemons({"leon"})});
    ASSERT_EQ(m.apply(rules("/base")).status_, 0);
    // Given that both have read the same configuration, as the platform is slow
    m.set_platform("slow_ms=300");
    std::vector<support::operator_run> runs;
    for (const std::string who : {"ana", "berta"})
        runs.push_back(m.start_apply(rules("/" + who), who));
    std::vector<support::finished> ends;
    for (support::operator_run& r : runs)
        ends.push_back(r.finish());
    // Then one is accepted, and the other sees by whom and what
    const bool first_won = ends[0].status_ == 0;
    const support::finished& lost = ends[first_won ? 1 : 0];
    EXPECT_EQ(ends[first_won ? 0 : 1].status_, 0);
    EXPECT_EQ(lost.status_, 4) << lost.output_;
    const std::string winner = first_won ? "ana" : "berta";
    EXPECT_NE(lost.output_.find(winner + " applied configuration 2 first"), std::string::npos)
        << lost.output_;
    EXPECT_NE(lost.output_.find("- route GET /" + winner), std::string::npos) << lost.output_;
    // And a file made from an older configuration is refused
    m.set_platform("slow_ms=0");
    EXPECT_EQ(m.apply(rules("/late"), "carla", {"--base=1"}).status_, 4);
    EXPECT_EQ(m.apply(rules("/now"), "carla", {"--base=2"}).status_, 0);
}

TEST(lost_answer_after_effect, is_settled_by_reading_back)
{
    mesh m({daemons({"leon"})});
    m.set_platform("lose_answers=1");
    const support::finished applied = m.apply(rules("/one"));
    EXPECT_EQ(applied.status_, 0) << applied.output_;
    EXPECT_NE(applied.output_.find("accepted as configuration 1"), std::string::npos) << applied.output_;
    EXPECT_TRUE(wait_until([&] { return all_route(m, "/one"); }));
}

TEST(daemon_started_during_outage, learns_from_its_neighbours)
{
    mesh m({daemons({"leon", "leon", "celaya"}), false, false, 2});
    ASSERT_EQ(m.apply(rules("/one")).status_, 0);
    ASSERT_TRUE(wait_until([&] { return all_route(m, "/one") && all_alive(m); }));
    // Given that the platform is down
    m.set_platform("outage=1");
    // When a daemon is replaced
    m.at(2).daemon_->kill();
    m.at(2).start_daemon();
    // Then it serves by the configuration in force, as its neighbours have it
    EXPECT_TRUE(wait_until([&] { return routes(m.at(2), "/one"); }));
    EXPECT_TRUE(wait_until([&] { return all_alive(m); }));
}

TEST(data_center_cut_off_from_platform, learns_through_the_others)
{
    mesh m({daemons({"leon", "leon", "celaya", "celaya"}), false, true, 0});
    ASSERT_EQ(m.apply(rules("/one")).status_, 0);
    ASSERT_TRUE(wait_until([&] { return all_route(m, "/one") && all_alive(m); }));
    // Given that one data centre can't reach the platform
    m.set_platform_link("celaya", "mode=cut");
    // When a configuration is accepted, and the platform goes down right after
    ASSERT_EQ(m.apply(rules("/two")).status_, 0);
    ASSERT_TRUE(wait_until([&] { return routes(m.at(0), "/two"); }));
    m.set_platform("outage=1");
    // Then it is in force there too
    EXPECT_TRUE(wait_until([&] { return all_route(m, "/two"); }));
}

TEST(frozen_daemon, returns_by_refutation_with_what_it_missed)
{
    mesh m({daemons({"leon", "leon", "celaya"})});
    ASSERT_EQ(m.apply(rules("/one")).status_, 0);
    ASSERT_TRUE(wait_until([&] { return all_route(m, "/one") && all_alive(m); }));
    // Given that a daemon stands still until the others doubt it
    m.at(1).daemon_->freeze();
    ASSERT_TRUE(wait_until([&] {
        const std::string state = state_of(m.at(1), m.at(0));
        return state == "suspect" || state == "dead";
    }));
    ASSERT_EQ(m.apply(rules("/two")).status_, 0);
    // When it goes on, it is alive for all again, and has the configuration it missed
    m.at(1).daemon_->thaw();
    EXPECT_TRUE(wait_until([&] { return all_alive(m) && all_route(m, "/two"); }));
}

TEST(silent_connections, are_found_by_exchange_on_new_ones)
{
    mesh m({daemons({"leon", "leon", "leon", "celaya"}), true, true, 0});
    ASSERT_EQ(m.apply(rules("/one")).status_, 0);
    ASSERT_TRUE(wait_until([&] { return all_route(m, "/one") && all_alive(m); }));
    // Given that those of leon learn through connections to others only
    m.set_platform_link("leon", "mode=cut");
    // And that every open connection between daemons takes bytes and delivers none
    for (const support::node& n : m.nodes())
        m.set_fault(n, "mode=silence");
    // When a configuration is accepted, it is in force everywhere all the same
    ASSERT_EQ(m.apply(rules("/two")).status_, 0);
    EXPECT_TRUE(wait_until([&] { return all_route(m, "/two") && all_alive(m); }));
}

TEST(data_center_cut_off, stays_known_and_returns)
{
    mesh m({daemons({"leon", "leon", "celaya", "celaya"}), true, false, 0});
    ASSERT_EQ(m.apply(rules("/one")).status_, 0);
    ASSERT_TRUE(wait_until([&] { return all_route(m, "/one") && all_alive(m); }));
    const auto set_between = [&](const std::string& mode) {
        for (const support::node& a : m.nodes())
            for (const support::node& b : m.nodes())
                if (a.plan().data_center_ != b.plan().data_center_)
                    m.set_fault(a, "mode=" + mode + "&source=" + b.name());
    };
    // Given that the two data centres lose each other
    set_between("cut");
    ASSERT_TRUE(wait_until(
        [&] { return state_of(m.at(2), m.at(0)) == "suspect" && state_of(m.at(3), m.at(0)) == "suspect"; }));
    // When a configuration is accepted, both have it, as both reach the platform
    ASSERT_EQ(m.apply(rules("/two")).status_, 0);
    EXPECT_TRUE(wait_until([&] { return all_route(m, "/two"); }));
    EXPECT_EQ(state_of(m.at(1), m.at(0)), "alive");
    // When they find each other again, all are alive for all
    set_between("pass");
    EXPECT_TRUE(wait_until([&] { return all_alive(m); }));
}

} // namespace guavahaven
