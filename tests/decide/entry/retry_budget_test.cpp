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
    // A new budget is full
    EXPECT_EQ(spend_all(), 10);

    // Forty first attempts earn four retries at a tenth each; one more makes up for rounding
    for (int i = 0; i < 41; ++i)
        budget.earn(0.1);
    EXPECT_EQ(spend_all(), 4);

    // A long time without retries saves no more than the maximum
    for (int i = 0; i < 10'000; ++i)
        budget.earn(0.1);
    EXPECT_EQ(spend_all(), 10);
}

} // namespace guavahaven::decide
