// Limit rules are divided among the gates of a service. Guards against quotas that add up to more or less
// than the limit, and against tokens that are handed out again with each new view.

#include <gtest/gtest.h>

#include "decide/gate/call_limiter.h"
#include "operator/rules.h"

namespace guavahaven {

namespace {

const service_name desk("desk");

decide::view view_of(const std::string& limits, const std::vector<std::string>& gates)
{
    const std::string rules = "class lookup deadline 1s # office\nclass confirm deadline 1s # office\n"
                              "service desk version v1 # office\n" +
                              limits;
    decide::view v;
    v.configuration_ = std::make_shared<const decide::configuration>(
        take(operators::parse_record({configuration_number(1), "tests", 0, rules})));
    for (const std::string& name : gates) {
        decide::member m;
        m.name_ = daemon_name(name);
        m.service_ = desk;
        v.members_.push_back(m);
    }
    return v;
}

std::size_t none_held(const std::optional<class_name>&)
{
    return 0;
}

} // namespace

TEST(limits, parts_of_all_gates_make_the_limit)
{
    const std::vector<daemon_name> gates{daemon_name("a"), daemon_name("b"), daemon_name("c")};
    for (std::uint64_t limit = 0; limit < 20; ++limit) {
        std::uint64_t sum = 0;
        for (const daemon_name& g : gates)
            sum += decide::gate_quota(limit, gates, g);
        EXPECT_EQ(sum, limit);
    }
    EXPECT_EQ(decide::gate_quota(10, gates, daemon_name("elsewhere")), 0U);
}

TEST(limits, by_the_second_are_kept_over_all_gates)
{
    // Given a limit of 40 calls per second over two gates, each offered 1000 per second
    const decide::view v = view_of("limit desk class lookup 40 per second # office\n", {"a", "b"});
    time_point now{std::chrono::hours(1)};
    decide::call_limiter a;
    decide::call_limiter b;
    a.set_view(v, desk, daemon_name("a"), now);
    b.set_view(v, desk, daemon_name("b"), now);
    std::size_t taken = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += std::chrono::milliseconds(1);
        taken += a.admit(class_name("lookup"), none_held, now) ? 1 : 0;
        taken += b.admit(class_name("lookup"), none_held, now) ? 1 : 0;
        if (i % 100 == 0)
            a.set_view(v, desk, daemon_name("a"), now); // an unchanged view does not refill the tokens
    }

    // Then ten seconds admit ten times the limit, and other classes are not limited
    EXPECT_LE(taken, 400U);
    EXPECT_GE(taken, 380U);
    EXPECT_TRUE(a.admit(class_name("confirm"), none_held, now));
}

TEST(limits, at_once_count_what_the_gate_holds)
{
    const decide::view v = view_of("limit desk 5 at once # office\n", {"a", "b"});
    decide::call_limiter b;
    b.set_view(v, desk, daemon_name("b"), time_point());
    // The second gate's part of 5 is 2
    EXPECT_TRUE(b.admit(
        class_name("lookup"), [](const auto&) { return 1; }, time_point()));
    EXPECT_FALSE(b.admit(
        class_name("lookup"), [](const auto&) { return 2; }, time_point()));
}

} // namespace guavahaven
