// Backend servers that bear little after a start, under a flood.

#include <gtest/gtest.h>

#include <algorithm>

#include "support/mesh.h"
#include "support/rules_text.h"

namespace guavahaven {

namespace {

std::size_t count(const support::mesh& mesh, const std::string& event)
{
    const auto all = mesh.journal();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](const auto& e) { return e.event_ == event; }));
}

void flood(support::mesh& mesh, std::size_t requests)
{
    const std::vector<http::request> all(requests, {"GET", "/shifts/today", {}, ""});
    support::fetch_all({mesh.at(0).callers()}, all, 48);
}

} // namespace

TEST(cold_backend_server_gets_no_more_than_it_bears, under_a_flood_after_a_start_and_a_restart)
{
    const std::vector<std::string> cold{"--work-ms=5", "--cold-slots=3", "--cold-ms=3000"};
    support::mesh mesh({{{"leon", "board", "v1", cold}}, false});
    ASSERT_EQ(mesh.apply(support::lookup_rules("2s")).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));

    // When many callers come at once to a cold backend server
    flood(mesh, 400);
    EXPECT_EQ(count(mesh, "over"), 0U);
    EXPECT_GT(count(mesh, "done"), 0U);

    // And when it has died meanwhile and come back cold
    mesh.at(0).backend_->kill();
    flood(mesh, 50);
    mesh.at(0).start_backend();
    const std::size_t done = count(mesh, "done");
    ASSERT_TRUE(support::wait_until([&] {
        flood(mesh, 100);
        return count(mesh, "done") > done;
    }));
    // Then it never gets more than it bears
    EXPECT_EQ(count(mesh, "over"), 0U);
}

TEST(cold_backend_server_gets_no_more_than_it_bears, but_what_shows_that_it_turned_cold)
{
    const std::vector<std::string> cold{"--work-ms=5", "--cold-slots=3", "--cold-ms=2000", "--slots=12"};
    support::mesh mesh({{{"leon", "board", "v1", cold}}, false});
    ASSERT_EQ(mesh.apply(support::lookup_rules("2s")).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));

    // Given one that is warm and busy
    ASSERT_TRUE(support::wait_until([&] {
        flood(mesh, 200);
        const auto s = mesh.at(0).status();
        return ok(s) && mesh.at(0).metric("guavahaven_gate_limit") == 12;
    }));
    const std::size_t before = count(mesh, "over");
    EXPECT_EQ(before, 0U);

    // When it turns cold without warning, under load
    mesh.at(0).set_backend("cold=1");
    flood(mesh, 300);
    // Then no more than was under way at that moment shows it
    EXPECT_LE(count(mesh, "over"), 12U);
}

} // namespace guavahaven
