// The report page and the samples behind it.

#include "operator/report.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace guavahaven::operators {

TEST(report, page_holds_its_plots_and_refers_to_nothing_else)
{
    // Given a move that a daemon judges, and callers of a class at two daemons
    const auto at = [](std::uint64_t second, std::uint64_t served, std::uint64_t runs, std::uint64_t failed) {
        sample s;
        s.at_ = 1'796'385'600 + second;
        s.classes_.push_back({"lookup", served, 0});
        s.moves_.push_back({"board", "v2", 0.05, runs, failed, 400, 0});
        return s;
    };
    const std::vector<std::vector<sample>> samples{{at(0, 0, 20, 0), at(5, 500, 20, 1), at(10, 1000, 20, 4)},
                                                   {at(0, 7, 0, 0), at(5, 257, 0, 0), at(10, 507, 0, 0)}};
    daemon_status d;
    d.moves_.push_back({"board", "v2", "taken back", 0, "<failed>", "release desk", 1, 2});

    // When the page is made
    const std::string page = report_page({d}, samples, 1'796'385'610'000'000);

    // Then it tells of the move and of the class, over all daemons
    EXPECT_THAT(page, testing::HasSubstr("move board to v2: taken back"));
    EXPECT_THAT(page, testing::HasSubstr("&lt;failed&gt;"));
    EXPECT_THAT(page, testing::HasSubstr("class lookup: requests a second"));
    EXPECT_THAT(page, testing::HasSubstr(">150</text>")); // the highest rate
    EXPECT_THAT(page, testing::HasSubstr(">0.2</text>")); // the highest share of failures

    // And it needs no other file
    EXPECT_THAT(page, testing::Not(testing::HasSubstr("http")));
    EXPECT_THAT(page, testing::Not(testing::HasSubstr("src=")));
}

TEST(report, samples_pass_as_json)
{
    sample s;
    s.at_ = 5;
    s.classes_.push_back({"lookup", 3, 1});
    s.moves_.push_back({"board", "v2", 0.4, 1, 2, 3, 4});
    const auto read = parse_samples(to_json(std::deque<sample>{s}));
    ASSERT_TRUE(ok(read));
    EXPECT_EQ(value(read), std::vector<sample>{s});
    EXPECT_FALSE(ok(parse_samples("{")));
}

} // namespace guavahaven::operators
