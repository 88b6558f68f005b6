// Moves between backend server versions, with real processes under load.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "object_store/objects.h"
#include "support/mesh.h"
#include "support/paced_load.h"

namespace guavahaven {

namespace {

using operators::move_report;

std::string rules(const std::string& deadline)
{
    return R"(
class   lookup  deadline 2s          # office
service board   version v1           # office
route GET  /shifts/*   to board as lookup  # office
move board to v2 by )" +
           deadline + " from 20%   # release desk\n";
}

// Both versions beside each other in two data centres.
support::mesh_plan both_versions()
{
    return {{{"leon", "board", "v1", {}},
             {"leon", "board", "v2", {}},
             {"celaya", "board", "v1", {}},
             {"celaya", "board", "v2", {}}},
            false};
}

support::paced_plan lookups(support::mesh& mesh)
{
    support::paced_plan p;
    for (const support::node& n : mesh.nodes())
        p.entries_.push_back(n.callers());
    p.kinds_ = {{"lookup", {"GET", "/shifts/today", {}, ""}, std::chrono::seconds(2)}};
    p.per_second_ = 100;
    return p;
}

move_report move_at(const support::node& n)
{
    const auto s = n.status();
    return ok(s) && !value(s).moves_.empty() ? value(s).moves_.front() : move_report{};
}

bool everywhere(support::mesh& mesh, const std::string& state, duration timeout)
{
    return support::wait_until(
        [&] {
            return std::all_of(mesh.nodes().begin(), mesh.nodes().end(),
                               [&](const support::node& n) { return move_at(n).state_ == state; });
        },
        timeout);
}

bool withdrawn_in_platform(const support::mesh& mesh)
{
    const auto r = support::fetch(mesh.platform(), {"GET", "/objects/moves/board", {}, ""});
    if (!ok(r) || value(r).status_ != 200)
        return false;
    const auto facts = object_store::to_facts(value(r).body_);
    return ok(facts) && !value(facts).empty() && value(facts).front().withdrawn_;
}

std::uint64_t now()
{
    return static_cast<std::uint64_t>(runtime_clock().wall().time_since_epoch().count());
}

std::uint64_t runs_of_new_since(const support::mesh& mesh, std::uint64_t since)
{
    const std::vector<support::journal_entry> all = mesh.journal();
    return static_cast<std::uint64_t>(
        std::count_if(all.begin(), all.end(), [since](const support::journal_entry& e) {
            return e.event_ == "run" && e.version_ == "v2" && e.at_ > since;
        }));
}

} // namespace

TEST(moves, good_version_takes_over_by_its_deadline)
{
    support::mesh mesh(both_versions());

    // Given a move of a sound version under load
    const std::string deadline = support::utc_in(std::chrono::seconds(30));
    ASSERT_EQ(mesh.apply(rules(deadline)).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));
    support::paced_load load(lookups(mesh));

    // Then it is done before the deadline, as every daemon says
    ASSERT_TRUE(everywhere(mesh, "done", std::chrono::seconds(60))) << move_at(mesh.at(0)).reason_;
    EXPECT_EQ(move_at(mesh.at(0)).share_, 1);

    // And callers have noticed nothing
    for (const support::paced_outcome& o : load.stop())
        EXPECT_EQ(o.status_, 200) << o.key_ << " " << number(o.result_);
}

TEST(moves, bad_version_is_withdrawn_and_stays_withdrawn)
{
    support::mesh mesh(both_versions());

    // Given a move of a version that always fails, under load
    const std::string text = rules(support::utc_in(std::chrono::seconds(120)));
    ASSERT_EQ(mesh.apply(text).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));
    mesh.at(1).set_backend("fail=100");
    mesh.at(3).set_backend("fail=100");
    support::paced_load load(lookups(mesh));

    // When the badness has shown
    ASSERT_TRUE(everywhere(mesh, "taken back", std::chrono::seconds(40)));
    EXPECT_THAT(move_at(mesh.at(0)).reason_, testing::HasSubstr("GET /shifts"));
    const std::uint64_t shown = now();

    {
        SCOPED_TRACE("Then the version gets no request, although it has become sound");
        mesh.at(1).set_backend("fail=0");
        mesh.at(3).set_backend("fail=0");
        std::this_thread::sleep_for(std::chrono::seconds(1));
        EXPECT_EQ(runs_of_new_since(mesh, shown + 200'000), 0U);
    }
    {
        SCOPED_TRACE("And stays withdrawn when the same rule is applied again");
        ASSERT_EQ(mesh.apply(text + "# a comment\n").status_, 0);
        ASSERT_TRUE(mesh.wait_configuration(2));
        EXPECT_TRUE(everywhere(mesh, "taken back", std::chrono::seconds(1)));
    }
    {
        SCOPED_TRACE("But a new rule, with another deadline, moves it again");
        ASSERT_EQ(mesh.apply(rules(support::utc_in(std::chrono::seconds(100)))).status_, 0);
        ASSERT_TRUE(mesh.wait_configuration(3));
        EXPECT_TRUE(everywhere(mesh, "underway", std::chrono::seconds(10)));
        EXPECT_TRUE(support::wait_until([&] { return runs_of_new_since(mesh, shown + 1'500'000) > 0; }));
    }
}

TEST(moves, withdrawal_survives_restart_of_all)
{
    support::mesh mesh(both_versions());
    ASSERT_EQ(mesh.apply(rules(support::utc_in(std::chrono::seconds(120)))).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));
    mesh.at(1).set_backend("fail=100");
    mesh.at(3).set_backend("fail=100");
    support::paced_load load(lookups(mesh));
    ASSERT_TRUE(support::wait_until([&] { return move_at(mesh.at(0)).share_ > 0; }));

    // Given a withdrawal while the platform is down, and the platform's return
    mesh.set_platform("outage=1");
    ASSERT_TRUE(everywhere(mesh, "taken back", std::chrono::seconds(40)));
    load.stop();
    std::this_thread::sleep_for(std::chrono::seconds(4)); // all first attempts to write it have failed
    mesh.set_platform("outage=0");
    ASSERT_TRUE(support::wait_until([&] { return withdrawn_in_platform(mesh); }));

    // When all daemons are killed and started again
    for (support::node& n : mesh.nodes())
        n.daemon_->kill();
    const std::uint64_t killed = now();
    for (support::node& n : mesh.nodes())
        n.start_daemon();
    ASSERT_TRUE(mesh.wait_ready(1));

    // Then the version is still withdrawn, and never got a request in between
    support::paced_load again(lookups(mesh));
    EXPECT_TRUE(everywhere(mesh, "taken back", std::chrono::seconds(10)));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    again.stop();
    EXPECT_EQ(runs_of_new_since(mesh, killed), 0U);
}

TEST(out, data_center_gets_no_new_work)
{
    support::mesh mesh({{{"leon", "board", "v1", {"--work-ms=30"}},
                         {"celaya", "board", "v1", {"--work-ms=30"}},
                         {"celaya", "board", "v1", {"--work-ms=30"}}},
                        false});
    const std::string open = R"(
class   lookup  deadline 2s          # office
service board   version v1           # office
route GET  /shifts/*   to board as lookup  # office
)";
    ASSERT_EQ(mesh.apply(open).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));

    // Given callers that enter in every data centre
    support::paced_load load(lookups(mesh));
    const auto runs_at_leon = [&](std::uint64_t since) {
        const std::vector<support::journal_entry> all = mesh.at(0).journal();
        return std::count_if(all.begin(), all.end(), [since](const support::journal_entry& e) {
            return e.event_ == "run" && e.at_ > since;
        });
    };
    ASSERT_TRUE(support::wait_until([&] { return runs_at_leon(0) > 10; }));

    // When operators take one out
    ASSERT_EQ(mesh.apply(open + "out leon  # night shift: power work\n").status_, 0);
    ASSERT_TRUE(mesh.wait_configuration(2));
    const std::uint64_t in_force = now();
    std::this_thread::sleep_for(std::chrono::seconds(2));

    // Then it gets no new work, and those who enter there are served elsewhere
    EXPECT_EQ(runs_at_leon(in_force + 200'000), 0);

    // And after its return it does
    ASSERT_EQ(mesh.apply(open).status_, 0);
    ASSERT_TRUE(mesh.wait_configuration(3));
    EXPECT_TRUE(support::wait_until([&] { return runs_at_leon(in_force + 1'000'000) > 0; }));
    for (const support::paced_outcome& o : load.stop())
        EXPECT_EQ(o.status_, 200) << o.key_ << " " << number(o.result_);
}

} // namespace guavahaven
