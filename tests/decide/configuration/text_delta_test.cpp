// Guards against deltas that yield another text than the new one, are as large as the full text, or read
// beyond the base if they are malformed.

#include <gtest/gtest.h>

#include "decide/configuration/text_delta.h"

namespace guavahaven::decide {

TEST(text_delta, yields_the_new_text_from_the_base)
{
    const std::string base = "a\nb\nc\nd\nb\n";
    for (const std::string after : {"a\nb\nc\nd\nb\n", "a\nx\nc\nd\nb\n", "new\na\nb\nc\nd\nb\n", "d\nc\n",
                                    "", "b\nb\nb", "a\nb\nc\nd\nb\nlast without end"}) {
        SCOPED_TRACE(after);
        EXPECT_EQ(apply_delta(base, make_delta(base, after)), after);
    }
}

TEST(text_delta, costs_little_for_one_changed_line)
{
    // Given a text of many lines
    std::string base;
    for (int i = 0; i < 500; ++i)
        base += "route GET /path/" + std::to_string(i) + " to board as lookup # office\n";
    // When one line is changed
    std::string after = base;
    after.replace(after.find("/path/250"), 9, "/path/xyz");
    // Then the delta is about as long as that line
    EXPECT_LT(delta_size(make_delta(base, after)), 150U);
    EXPECT_EQ(apply_delta(base, make_delta(base, after)), after);
}

TEST(text_delta, with_lines_beyond_the_base_yields_no_text)
{
    EXPECT_EQ(apply_delta("a\n", {{1, 1, ""}}), std::nullopt);
    EXPECT_EQ(apply_delta("a\n", {{0xffffffff, 2, ""}}), std::nullopt);
    EXPECT_EQ(apply_delta("a\n", {{0, 0xffffffff, ""}}), std::nullopt);
}

} // namespace guavahaven::decide
