// Limit rules over a mesh of real processes.

#include <gtest/gtest.h>

#include <algorithm>

#include "support/mesh.h"

namespace guavahaven {

TEST(limits, are_kept_over_the_fleet_and_refusals_have_not_run)
{
    const std::vector<std::string> slow{"--work-ms=300"};
    support::mesh mesh({{{"leon", "board", "v1", slow}, {"celaya", "board", "v1", slow}}});

    // Given a limit of two calls at once over two backend servers
    const support::finished applied = mesh.apply(R"(
class   lookup deadline 5s        # office
service board  version v1         # office
route GET /shifts/* to board as lookup # office
limit board class lookup 2 at once     # office: the board's database
)");
    ASSERT_EQ(applied.status_, 0) << applied.output_;
    ASSERT_TRUE(mesh.wait_ready(1));

    // When many callers ask at once through both daemons
    const std::vector<http::request> requests(16, {"GET", "/shifts/today", {}, ""});
    const auto responses =
        support::fetch_all({mesh.at(0).callers(), mesh.at(1).callers()}, requests, requests.size());

    // Then each is answered or refused by the code of the limit, and the refused have not run
    std::size_t answered = 0;
    for (const support::timed_response& r : responses) {
        ASSERT_TRUE(ok(r.response_));
        const int got = value(r.response_).status_;
        answered += got == 200 ? 1 : 0;
        EXPECT_TRUE(got == 200 || got == 429) << got;
    }
    const std::vector<support::journal_entry> journal = mesh.journal();
    const auto runs = std::count_if(journal.begin(), journal.end(),
                                    [](const support::journal_entry& e) { return e.event_ == "run"; });
    EXPECT_EQ(static_cast<std::size_t>(runs), answered);
    EXPECT_GE(answered, 1U);

    // And no more than two ran at once
    int at_once = 0;
    for (const support::journal_entry& e : journal) {
        at_once += e.event_ == "run" ? 1 : -1;
        EXPECT_LE(at_once, 2);
    }
}

} // namespace guavahaven
