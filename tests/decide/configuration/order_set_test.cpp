// Guards against daemons that end up with different orders because updates reached them repeated, late or in
// different order.

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

TEST(order_set, converges_whatever_the_order_of_updates)
{
    std::vector<order> news{out, back, move_early, move_late};
    std::sort(news.begin(), news.end(),
              [](const order& a, const order& b) { return a.revision_ < b.revision_; });
    std::uint64_t expected = 0;
    do {
        order_set book;
        for (const order& o : news) {
            book.merge({o});
            book.merge({o}); // repeated
        }
        // The order that was taken back is gone, and of the two texts of one move that with the earlier
        // deadline wins
        EXPECT_EQ(book.rules(), move_early.rule_ + "\n");
        expected = expected == 0 ? book.hash() : expected;
        EXPECT_EQ(book.hash(), expected);
    } while (std::next_permutation(news.begin(), news.end(),
                                   [](const order& a, const order& b) { return a.revision_ < b.revision_; }));
}

// Two daemons may identify one order differently: one that knew it before the platform lost it, and operators
// wrote it again, and one that did not.
TEST(order_set, converges_to_the_earlier_identity_of_an_order)
{
    const order as_known{"move/board", 9, "3", "move board to v2 by 2026-12-05T18:00:00.100Z as 3 # omar"};
    const order as_new{"move/board", 9, "7", "move board to v2 by 2026-12-05T18:00:01.700Z as 7 # omar"};
    order_set one;
    one.merge({as_known});
    one.merge({as_new});
    order_set other;
    other.merge({as_new});
    other.merge({as_known});
    EXPECT_EQ(one.rules(), as_known.rule_ + "\n");
    EXPECT_EQ(other.rules(), as_known.rule_ + "\n");
    EXPECT_EQ(one.hash(), other.hash());
}

TEST(order_set, takes_back_orders_that_a_complete_list_lacks)
{
    order_set book;
    book.merge({out, move_early});
    // A list that is older than an order does not take it back
    EXPECT_TRUE(book.merge_snapshot("out/", {}, 4).empty());
    // A newer one does, and leaves orders with another prefix alone
    EXPECT_EQ(book.merge_snapshot("out/", {}, 9).size(), 1U);
    EXPECT_EQ(book.rules(), move_early.rule_ + "\n");
    // A late report of the order changes nothing
    EXPECT_TRUE(book.merge({out}).empty());
}

} // namespace guavahaven::decide
