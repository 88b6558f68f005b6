#include <gtest/gtest.h>

#include "base/backoff.h"
#include "base/token_bucket.h"

namespace guavahaven {

TEST(call_budget, bounds_calls_at_once_and_per_second)
{
    call_budget budget(1, 6);
    time_point now{};
    const auto taken = [&](int tries) {
        int count = 0;
        for (int i = 0; i < tries; ++i)
            count += budget.take(now) ? 1 : 0;
        return count;
    };
    EXPECT_EQ(taken(100), 6);
    now += std::chrono::seconds(3);
    EXPECT_EQ(taken(100), 3);
    now += std::chrono::hours(1);
    EXPECT_EQ(taken(100), 6);
}

TEST(backoff, doubles_up_to_its_cap_with_jitter)
{
    random_engine random(1);
    backoff waits(std::chrono::milliseconds(500), std::chrono::seconds(15));
    duration most{};
    for (int i = 0; i < 20; ++i) {
        const duration wait = waits.next(random);
        EXPECT_GE(wait, std::chrono::milliseconds(250));
        EXPECT_LE(wait, std::chrono::seconds(15));
        most = std::max(most, wait);
    }
    EXPECT_GT(most, std::chrono::seconds(7));
    waits.reset();
    EXPECT_LE(waits.next(random), std::chrono::milliseconds(500));
}

} // namespace guavahaven
