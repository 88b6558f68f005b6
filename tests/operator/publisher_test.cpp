// Putting rules in force while operators race and the platform fails.

#include <gtest/gtest.h>

#include "operator/publisher.h"
#include "support/mesh.h"

namespace guavahaven::operators {

namespace {

class publishing : public testing::Test {
protected:
    publishing() : mesh_(support::mesh_plan{}), store_(loop_, mesh_.platform()), publisher_(store_) {}

    template <class T, class Operation>
    result<T> wait_for(const Operation& operation)
    {
        result<T> outcome = error{};
        operation([&](result<T> r) {
            outcome = std::move(r);
            loop_.stop();
        });
        loop_.run();
        return outcome;
    }

    published now()
    {
        return guavahaven::take(wait_for<published>([&](auto h) { publisher_.read(h); }));
    }

    result<publish_outcome> publish(const published& base, const std::string& author, const std::string& text)
    {
        return wait_for<publish_outcome>([&](auto h) {
            publisher_.publish(base, configuration_number(), author, text, wall_time(std::chrono::seconds(1)),
                               h);
        });
    }

    support::mesh mesh_;
    event_loop loop_;
    object_store::store store_;
    publisher publisher_;
};

} // namespace

TEST_F(publishing, numbers_follow_each_other)
{
    // Given an empty platform
    EXPECT_EQ(now().record_.number_, configuration_number(0));

    // When two texts are put in force one after the other
    const auto first = publish(now(), "ana", "one");
    const auto second = publish(now(), "ana", "two");

    // Then each is one above the last, and the past one can be read
    ASSERT_TRUE(ok(first) && ok(second));
    EXPECT_EQ(value(second).now_.record_.number_, configuration_number(2));
    const auto past = wait_for<decide::configuration_record>(
        [&](auto h) { publisher_.read_past(configuration_number(1), h); });
    ASSERT_TRUE(ok(past));
    EXPECT_EQ(value(past).text_, "one");
}

// Guards against a second configuration that a daemon takes for older than the first, and serves by while the
// first one is still held back.
TEST_F(publishing, states_no_earlier_time_than_the_configuration_before)
{
    // Given a configuration by an author whose clock is ahead
    publish(now(), "ana", "one");
    published ahead = now();
    ahead.record_.written_at_ += 5'000'000;

    // When the next one is put in force
    const auto second = publish(ahead, "eva", "two");

    // Then it does not say that it was written before that one
    ASSERT_TRUE(ok(second));
    EXPECT_EQ(value(second).now_.record_.written_at_, ahead.record_.written_at_);
}

TEST_F(publishing, of_racing_operators_one_wins_and_the_other_is_told_by_whom)
{
    // Given two operators who have seen the same configuration
    const published seen = now();

    // When both put a text in force
    const auto ana = publish(seen, "ana", "text of ana");
    const auto eva = publish(seen, "eva", "text of eva");

    // Then the first is in force, and the second learns whose it is
    ASSERT_TRUE(ok(ana) && ok(eva));
    EXPECT_TRUE(value(ana).written_);
    EXPECT_FALSE(value(eva).written_);
    ASSERT_TRUE(value(eva).winner_);
    EXPECT_EQ(value(eva).winner_->record_.author_, "ana");
    EXPECT_EQ(now().record_.text_, "text of ana");
}

TEST_F(publishing, an_answer_lost_after_the_write_is_settled_by_reading_back)
{
    // Given a platform that loses the answer to the next write
    const published seen = now();
    mesh_.set_platform("lose_answers=1");

    // When a text is put in force
    const auto outcome = publish(seen, "ana", "text of ana");

    // Then the operator is told that it was written, and its number is the next one
    ASSERT_TRUE(ok(outcome)) << to_string(failure(outcome));
    EXPECT_TRUE(value(outcome).written_);
    EXPECT_EQ(now().record_.number_, configuration_number(1));
}

TEST_F(publishing, an_outage_is_told_and_changes_nothing)
{
    publish(now(), "ana", "one");
    const published seen = now();
    mesh_.set_platform("outage=1");
    const auto outcome = publish(seen, "ana", "two");
    mesh_.set_platform("outage=0");
    ASSERT_FALSE(ok(outcome));
    EXPECT_EQ(failure(outcome).code_, code::platform_unreachable);
    EXPECT_EQ(now().record_.text_, "one");
}

} // namespace guavahaven::operators
