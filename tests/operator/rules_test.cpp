#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "operator/rules.h"

namespace guavahaven::operators {

namespace {

// A valid file of four lines; each case adds its line as the fifth.
const std::string base = "class lookup deadline 2s # office\n"
                         "service board version v1 # office\n"
                         "route GET /shifts/* to board as lookup # office\n"
                         "retry board budget 10% # office\n";

struct faulty_line {
    std::string line_;
    int column_ = 0;
    code code_ = code::ok;
};

std::vector<rules_fault> faults_of(const std::string& text)
{
    const parsed_rules parsed = parse_rules(text);
    const auto* faults = std::get_if<std::vector<rules_fault>>(&parsed);
    return faults ? *faults : std::vector<rules_fault>{};
}

std::string example(const std::string& name)
{
    std::ifstream in(std::string(SOURCE_DIR "/examples/") + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

TEST(rules, every_fault_has_its_line_column_and_code)
{
    // Given a valid file
    ASSERT_TRUE(faults_of(base).empty());

    // When a line with one fault is added, then just this fault is told, with its place
    const std::vector<faulty_line> cases{
        {"class lookup2 deadline 2s", 26, code::rules_missing_comment},
        {"class lookup2 deadline 2s #  ", 27, code::rules_missing_comment},
        {"klass x # office", 1, code::rules_bad_value},
        {"class x # office", 8, code::rules_syntax},
        {"class x deadline never # office", 18, code::rules_bad_value},
        {"class x deadline 0s # office", 18, code::rules_bad_value},
        {"class x deadline 25h # office", 18, code::rules_bad_value},
        {"class x deadline 2s shed sometimes # office", 26, code::rules_syntax},
        {"class x deadline 2s weight 0 # office", 28, code::rules_bad_value},
        {"class x! deadline 2s # office", 7, code::rules_bad_value},
        {"service desk v1 # office", 14, code::rules_syntax},
        {"service desk version v1 v2 # office", 25, code::rules_syntax},
        {"route FETCH /x to board as lookup # office", 7, code::rules_bad_value},
        {"route GET x to board as lookup # office", 11, code::rules_bad_value},
        {"route GET /x header =1 to board as lookup # office", 21, code::rules_bad_value},
        {"route GET /x to ghost as lookup # office", 0, code::rules_unknown_service},
        {"route GET /x to board as ghost # office", 0, code::rules_unknown_class},
        {"route GET /shifts/* to board as lookup # again", 0, code::rules_ambiguous_route},
        {"split board v1 60% v2 30% # office", 23, code::rules_bad_value},
        {"split board v1 101% # office", 16, code::rules_bad_value},
        {"limit board -1 per second # office", 13, code::rules_bad_value},
        {"limit board 5 per minute # office", 19, code::rules_syntax},
        {"limit board class ghost 5 at once # office", 0, code::rules_unknown_class},
        {"retry ghost budget 10% # office", 0, code::rules_unknown_service},
        {"retry board budget 10% # again", 0, code::rules_duplicate},
        {"move board to v2 by tomorrow # office", 21, code::rules_bad_value},
        {"move ghost to v2 by 2030-01-01T00:00Z # office", 0, code::rules_unknown_service},
        {"out # office", 4, code::rules_syntax},
        {"class lookup deadline 1s # again", 0, code::rules_duplicate},
        {"service board version v2 # again", 0, code::rules_duplicate},
    };
    for (const faulty_line& c : cases) {
        SCOPED_TRACE(c.line_);
        const std::vector<rules_fault> faults = faults_of(base + c.line_ + "\n");
        ASSERT_EQ(faults.size(), 1U);
        EXPECT_EQ(faults.front().line_, 5);
        EXPECT_EQ(faults.front().column_, c.column_);
        EXPECT_EQ(name(faults.front().error_.code_), name(c.code_));
        EXPECT_FALSE(remedy(faults.front().error_.code_).empty());
    }
}

TEST(rules, tells_all_faults_at_once_in_the_order_of_lines)
{
    const std::vector<rules_fault> faults =
        faults_of(base + "out\nnonsense # office\nout leon # office\nout # x\n");
    ASSERT_EQ(faults.size(), 4U);
    EXPECT_EQ(faults[0].line_, 5);
    EXPECT_EQ(faults[1].line_, 5);
    EXPECT_EQ(faults[2].line_, 6);
    EXPECT_EQ(faults[3].line_, 8);
}

TEST(rules, refuses_a_file_that_is_too_large)
{
    const std::vector<rules_fault> faults = faults_of(std::string(rules_most + 1, '#'));
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults.front().error_.code_, code::rules_too_large);
}

TEST(rules, names_the_file_and_the_place_of_a_fault)
{
    const rules_fault fault{3, 7, {code::rules_syntax, "expected 'to'"}};
    EXPECT_EQ(to_string("a.rules", fault), "a.rules:3:7: E110 rules_syntax: expected 'to' (" +
                                               std::string(remedy(code::rules_syntax)) + ")");
}

TEST(rules, examples_are_valid)
{
    for (const char* name : {"bajio.rules", "sicilia.rules"}) {
        SCOPED_TRACE(name);
        const parsed_rules parsed = parse_rules(example(name));
        ASSERT_TRUE(std::holds_alternative<decide::configuration>(parsed));
        EXPECT_EQ(std::get<decide::configuration>(parsed).services_.size(), 4U);
    }
}

} // namespace guavahaven::operators
