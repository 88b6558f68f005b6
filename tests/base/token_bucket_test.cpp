#include <gtest/gtest.h>

#include "base/backoff.h"
#include "base/token_bucket.h"

namespace guavahaven {

TEST(token_bucket, bounds_calls_at_once_and_per_second)
{
    token_bucket budget(1, 6);
    time_point now{};
    const auto granted = [&](int tries) {
        int count = 0;
        for (int i = 0; i < tries; ++i)
            count += budget.try_acquire(now) ? 1 : 0;
        return count;
    };
    EXPECT_EQ(granted(100), 6);
    now += std::chrono::seconds(3);
    EXPECT_EQ(granted(100), 3);
    now += std::chrono::hours(1);
    EXPECT_EQ(granted(100), 6);
}

TEST(backoff, doubles_up_to_its_cap_with_jitter)
{
    random_engine random(1);
    backoff waits(std::chrono::milliseconds(500), std::chrono::seconds(15));
    duration longest{};
    for (int i = 0; i < 20; ++i) {
        const duration wait = waits.next(random);
        EXPECT_GE(wait, std::chrono::milliseconds(250));
        EXPECT_LE(wait, std::chrono::seconds(15));
        longest = std::max(longest, wait);
    }
    EXPECT_GT(longest, std::chrono::seconds(7));
    waits.reset();
    EXPECT_LE(waits.next(random), std::chrono::milliseconds(500));
}

} // namespace guavahaven
