#include "decide/entry/retry_budget.h"

#include <gtest/gtest.h>

namespace guavahaven::decide {

TEST(retry_budget, earns_its_share_of_first_attempts)
{
    retry_budget budget;
    const auto spend_all = [&budget] {
        int spent = 0;
        while (budget.spend())
            ++spent;
        return spent;
    };
    // A quiet service may retry a few
    EXPECT_EQ(spend_all(), 10);

    // Forty first attempts earn four at a tenth each, give or take the rounding
    for (int i = 0; i < 41; ++i)
        budget.earn(0.1);
    EXPECT_EQ(spend_all(), 4);

    // A long time without failures saves up no more than at the start
    for (int i = 0; i < 10'000; ++i)
        budget.earn(0.1);
    EXPECT_EQ(spend_all(), 10);
}

} // namespace guavahaven::decide
