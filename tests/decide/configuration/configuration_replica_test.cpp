#include <gtest/gtest.h>

#include "decide/configuration/configuration_replica.h"

namespace guavahaven::decide {

namespace {

// Any text but 'bad' is a configuration.
result<configuration> parse(const configuration_record& record)
{
    if (record.text_ == "bad")
        return error{code::rules_syntax, "bad"};
    configuration c;
    c.number_ = record.number_;
    c.text_ = record.text_;
    c.hash_ = hash_of(record.text_);
    return c;
}

configuration_record record_of(std::uint64_t number, const std::string& text)
{
    return {configuration_number(number), "test", 0, text};
}

configuration_whole whole_of(std::uint64_t number, const std::string& text)
{
    return {record_of(number, text), hash_of(text)};
}

std::string lines(const std::string& last)
{
    std::string text;
    for (int i = 0; i < 40; ++i)
        text += "line " + std::to_string(i) + "\n";
    return text + last + "\n";
}

} // namespace

TEST(accepted_configuration_is_never_reverted, by_whatever_comes_late_or_from_the_platform)
{
    distribution d(parse);
    ASSERT_TRUE(d.offer(whole_of(7, "seven")).adopted_);

    // When an older one arrives, by a daemon or by a platform restored from a backup
    EXPECT_FALSE(d.offer(whole_of(6, "six")).adopted_);
    const offer_outcome restored = d.offer(record_of(6, "six"));

    // Then it is refused, and the platform's state is reported with a code
    EXPECT_FALSE(restored.adopted_);
    ASSERT_TRUE(restored.problem_);
    EXPECT_EQ(restored.problem_->code_, code::platform_older_state);
    EXPECT_EQ(d.configuration()->text_, "seven");

    // And the number in force with other content is refused and reported
    for (const offer_outcome& other : {d.offer(whole_of(7, "other")), d.offer(record_of(7, "other")),
                                       d.heard_of(configuration_number(7), hash_of("other"))}) {
        EXPECT_FALSE(other.adopted_);
        ASSERT_TRUE(other.problem_);
        EXPECT_EQ(other.problem_->code_, code::configuration_conflict);
    }
    EXPECT_EQ(d.configuration()->text_, "seven");
}

TEST(no_part_of_a_configuration_is_applied, when_it_is_faulty_or_not_of_its_hash)
{
    distribution d(parse);
    ASSERT_TRUE(d.offer(whole_of(1, "one")).adopted_);

    // When the whole text is faulty, the one before stays and it is not asked for again
    EXPECT_EQ(d.offer(whole_of(2, "bad")).problem_->code_, code::rules_syntax);
    EXPECT_FALSE(d.heard_of(configuration_number(2), hash_of("bad")).whole_wanted_);
    // When it is not of the stated hash
    configuration_whole damaged = whole_of(2, "two");
    damaged.record_.text_ = "tw";
    EXPECT_EQ(d.offer(damaged).problem_->code_, code::content_hash_mismatch);
    // Then what was in force still is, as a whole
    EXPECT_EQ(d.number(), configuration_number(1));
    EXPECT_EQ(d.configuration()->text_, "one");
    // And a good one is taken
    EXPECT_TRUE(d.offer(whole_of(3, "three")).adopted_);
}

TEST(configuration_delta, brings_a_daemon_from_the_one_before)
{
    distribution ahead(parse);
    distribution behind(parse);
    for (distribution* d : {&ahead, &behind})
        ASSERT_TRUE(d->offer(whole_of(1, lines("one"))).adopted_);
    ASSERT_TRUE(ahead.offer(whole_of(2, lines("two"))).adopted_);

    // Given that the daemon behind has the base
    const auto update = ahead.update_for(behind.number(), behind.hash());
    ASSERT_TRUE(update && std::holds_alternative<configuration_delta>(*update));
    const auto& delta = std::get<configuration_delta>(*update);

    // When the delta was damaged, it is dropped and the whole asked for
    configuration_delta damaged = delta;
    damaged.parts_.back().inserted_ += "more\n";
    const offer_outcome refused = behind.offer(damaged);
    EXPECT_EQ(refused.problem_->code_, code::content_hash_mismatch);
    EXPECT_TRUE(refused.whole_wanted_);
    EXPECT_EQ(behind.number(), configuration_number(1));

    // When it is whole, the texts are the same
    EXPECT_TRUE(behind.offer(delta).adopted_);
    EXPECT_EQ(behind.configuration()->text_, ahead.configuration()->text_);
    EXPECT_EQ(behind.hash(), ahead.hash());
}

TEST(configuration_delta, gives_way_to_the_whole_for_a_daemon_without_the_base)
{
    distribution ahead(parse);
    ASSERT_TRUE(ahead.offer(whole_of(1, lines("one"))).adopted_);
    ASSERT_TRUE(ahead.offer(whole_of(2, lines("two"))).adopted_);
    distribution fresh(parse);

    const offer_outcome pushed = fresh.offer(*ahead.last_change());
    EXPECT_FALSE(pushed.adopted_);
    EXPECT_TRUE(pushed.whole_wanted_);
    const auto update = ahead.update_for(fresh.number(), fresh.hash());
    ASSERT_TRUE(update && std::holds_alternative<configuration_whole>(*update));
    EXPECT_TRUE(fresh.offer(std::get<configuration_whole>(*update)).adopted_);
}

} // namespace guavahaven::decide
