#include "decide/configuration/order_set.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace guavahaven::decide {

namespace {

const order out{"out/leon", 5, "leon", "out leon # dana"};
const order back{"out/leon", 8, "", ""};
const order move_early{"move/board", 6, "v2", "move board to v2 by 2026-12-05T18:00:00.100Z # omar"};
const order move_late{"move/board", 7, "v2", "move board to v2 by 2026-12-05T18:00:00.200Z # omar"};

} // namespace

TEST(order_book, comes_to_the_same_in_whatever_order_news_come)
{
    std::vector<order> news{out, back, move_early, move_late};
    std::sort(news.begin(), news.end(),
              [](const order& a, const order& b) { return a.revision_ < b.revision_; });
    std::uint64_t expected = 0;
    do {
        order_book book;
        for (const order& o : news) {
            book.merge({o});
            book.merge({o}); // doubled
        }
        // The order that was taken back is gone, and the earlier deadline stands
        EXPECT_EQ(book.rules(), move_early.rule_ + "\n");
        expected = expected == 0 ? book.hash() : expected;
        EXPECT_EQ(book.hash(), expected);
    } while (std::next_permutation(news.begin(), news.end(),
                                   [](const order& a, const order& b) { return a.revision_ < b.revision_; }));
}

TEST(order_book, takes_back_what_a_complete_list_lacks)
{
    order_book book;
    book.merge({out, move_early});
    // A list that is older than an order says nothing of it
    EXPECT_TRUE(book.merge_all("out/", {}, 4).empty());
    // A newer one takes it back, and leaves other kinds alone
    EXPECT_EQ(book.merge_all("out/", {}, 9).size(), 1U);
    EXPECT_EQ(book.rules(), move_early.rule_ + "\n");
    // A late report of the order changes nothing
    EXPECT_TRUE(book.merge({out}).empty());
}

} // namespace guavahaven::decide
