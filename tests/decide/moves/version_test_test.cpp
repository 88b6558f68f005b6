// Guards the statistics of the sequential test: an error rate above the stated one would withdraw good
// versions, and counts without a comparison must have no effect.

#include "decide/moves/version_test.h"

#include <gtest/gtest.h>

#include <cmath>

#include "base/random.h"

namespace guavahaven::decide {

namespace {

comparison draw(random_engine& random, std::uint64_t new_ran, std::uint64_t old_ran, double bad_new,
                double bad_old)
{
    comparison c{new_ran, 0, old_ran, 0};
    for (std::uint64_t i = 0; i < new_ran; ++i)
        c.new_bad_ += random_share(random) < bad_new ? 1 : 0;
    for (std::uint64_t i = 0; i < old_ran; ++i)
        c.old_bad_ += random_share(random) < bad_old ? 1 : 0;
    return c;
}

} // namespace

TEST(version_test, keeps_its_error_rate_for_equal_versions)
{
    constexpr int seeds = 2000;
    constexpr double error_rate = 0.05;
    for (const double bad : {0.002, 0.05, 0.5}) {
        SCOPED_TRACE("Given versions that are bad alike in a share of " + std::to_string(bad));
        int passed = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            random_engine random(seed);
            version_test t(60);
            bool once = false;
            // When the test is checked after every second
            for (int second = 0; second < 60; ++second) {
                t.add({draw(random, 2, 20, bad, bad), draw(random, 1, 10, bad / 2, bad / 2)});
                once = once || t.log_e_value() >= std::log(1 / error_rate);
            }
            passed += once ? 1 : 0;
        }
        // Then it exceeds its threshold no more often than the stated error rate
        EXPECT_LE(passed, static_cast<int>(seeds * error_rate));
    }
}

TEST(version_test, ignores_counts_without_a_comparison)
{
    EXPECT_EQ(log_likelihood_ratio({10, 10, 0, 0}, 30), 0);   // the new version alone
    EXPECT_EQ(log_likelihood_ratio({10, 10, 10, 10}, 30), 0); // all fail alike
    EXPECT_EQ(log_likelihood_ratio({10, 0, 10, 0}, 30), 0);   // nobody fails
}

TEST(version_test, is_a_likelihood_ratio)
{
    // The mean of the ratio under equal odds is one: sum over all ways to divide five bad runs between three
    // new and seven old ones.
    double sum = 0;
    for (std::uint64_t x = 0; x <= 3; ++x) {
        const double ways = std::tgamma(4) / std::tgamma(x + 1.0) / std::tgamma(4.0 - x) * std::tgamma(8) /
                            std::tgamma(6.0 - x) / std::tgamma(3.0 + x);
        sum += ways / 252 * std::exp(log_likelihood_ratio({3, x, 7, 5 - x}, 30));
    }
    EXPECT_NEAR(sum, 1, 1e-9);
}

} // namespace guavahaven::decide
