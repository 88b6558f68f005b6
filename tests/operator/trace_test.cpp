// One request followed through the logs of its entry and its gates.

#include "operator/trace.h"

#include <gtest/gtest.h>

#include <fstream>

#include "support/mesh.h"

namespace guavahaven::operators {

namespace {

const std::vector<log_line> logs{
    {"gate-a", "2026-12-04T10:00:00.020Z INFO gate event=refused call=77-5 result=overloaded load=12/3/12"},
    {"entry", "2026-12-04T10:00:00.010Z INFO entry event=sent id=9c41 call=77-5 gate=10.1.0.8:7400"},
    {"entry", "2026-12-04T10:00:00.030Z INFO entry event=sent id=9c41 call=77-6 gate=10.1.0.9:7400"},
    {"entry", "2026-12-04T10:00:00.030Z INFO entry event=sent id=9c42 call=77-7 gate=10.1.0.9:7400"},
    {"gate-b", "2026-12-04T10:00:00.041Z INFO gate event=run_started call=77-6 instance=i-1"},
    {"gate-b", "2026-12-04T10:00:00.042Z INFO gate event=run_started call=77-7 instance=i-1"},
    {"gate-b", "2026-12-04T10:00:00.050Z INFO gate event=answered call=88-6 status=200"},
    {"entry", "2026-12-04T10:00:00.070Z INFO entry event=request_served id=9c41 status=200"},
};

} // namespace

TEST(trace, joins_the_lines_of_a_request_and_of_its_attempts_by_time)
{
    const std::vector<log_line> story = trace("9c41", logs);
    // The first attempt and its refusal, the second one and its run, and the end; nothing of others
    ASSERT_EQ(story.size(), 5U);
    EXPECT_EQ(story[0], logs[1]);
    EXPECT_EQ(story[1], logs[0]);
    EXPECT_EQ(story[2], logs[2]);
    EXPECT_EQ(story[3], logs[4]);
    EXPECT_EQ(story[4], logs[7]);
}

TEST(trace, passes_over_what_a_collector_puts_before_a_line)
{
    std::vector<log_line> collected = logs;
    for (log_line& l : collected)
        l.text_ = "  12.5 " + l.source_ + " " + l.text_;
    EXPECT_EQ(trace("9c41", collected).size(), 5U);
    EXPECT_TRUE(trace("0000", collected).empty());
    EXPECT_TRUE(trace("9c41", {{"x", "no line of ours"}, {"x", ""}}).empty());
}

TEST(trace, is_a_command)
{
    const std::string path = support::scratch_folder() + "/entry.log";
    std::ofstream out(path);
    for (const log_line& l : logs)
        out << l.text_ << "\n";
    out.close();
    const support::finished found = support::run("guavahaven", {"trace", "9c41", path});
    EXPECT_EQ(found.status_, 0);
    EXPECT_NE(found.output_.find("event=run_started call=77-6"), std::string::npos) << found.output_;
    EXPECT_EQ(found.output_.find("call=77-7"), std::string::npos);
    // A request that no log names, and a log that is not there, are told apart from a story
    EXPECT_EQ(support::run("guavahaven", {"trace", "0000", path}).status_, 2);
    EXPECT_EQ(support::run("guavahaven", {"trace", "9c41", "/nowhere/a.log"}).status_, 2);
}

} // namespace guavahaven::operators
