// A request goes from a caller through two daemons to a backend server, by a
// rule that an operator applied.

#include <gtest/gtest.h>

#include "support/mesh.h"

namespace guavahaven {

namespace {

constexpr const char* rules = R"(
class   lookup  deadline 2s          # office
class   confirm deadline 5s once     # supervisors
service board   version v1           # office
service desk    version v1           # supervisors
route GET  /shifts/*   to board as lookup  # office
route POST /placements to desk  as confirm # supervisors
)";

} // namespace

TEST(whole_path, serves_by_the_applied_rules)
{
    support::mesh mesh({{{"leon", "board", "v1", {}}, {"celaya", "desk", "v1", {}}}, false});

    // Given that an operator has applied the rules
    const support::finished applied = mesh.apply(rules);
    ASSERT_EQ(applied.status_, 0) << applied.output_;
    ASSERT_TRUE(mesh.wait_ready(1));

    // When callers enter at the daemon of the other service's data centre
    const auto lookup = support::fetch(mesh.at(1).callers(), {"GET", "/shifts/today", {}, ""});
    const auto confirm = support::fetch(mesh.at(0).callers(), {"POST", "/placements", {}, "maria"});

    // Then each gets the whole answer to its own request
    ASSERT_TRUE(ok(lookup));
    EXPECT_EQ(value(lookup).status_, 200) << value(lookup).body_;
    EXPECT_EQ(value(lookup).body_, "v1\n");
    ASSERT_TRUE(ok(confirm));
    EXPECT_EQ(value(confirm).status_, 200) << value(confirm).body_;

    // And a path without a route is refused by its code
    const auto unknown = support::fetch(mesh.at(0).callers(), {"GET", "/elsewhere", {}, ""});
    ASSERT_TRUE(ok(unknown));
    EXPECT_EQ(value(unknown).status_, 404);
    EXPECT_EQ(http::find_header(value(unknown).headers_, "Guavahaven-Result"), "400");
}

} // namespace guavahaven
