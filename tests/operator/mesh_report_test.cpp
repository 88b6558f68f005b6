// What operators read of moves and data centres.

#include "operator/mesh_report.h"

#include <gtest/gtest.h>

namespace guavahaven::operators {

namespace {

constexpr std::uint64_t noon = 1'796'385'600'000'000; // 2026-12-04T12:00:00Z

daemon_status daemon_with(const std::string& state, double share, const std::string& reason)
{
    daemon_status d;
    d.configuration_ = 7;
    d.data_center_ = "leon";
    d.moves_.push_back({"board", "v2", state, share, reason, "release desk", noon, noon + 60'000'000});
    return d;
}

} // namespace

TEST(mesh_report, tells_of_a_move_what_the_best_informed_daemon_knows)
{
    const daemon_status behind = daemon_with("underway", 0.05, "");
    {
        SCOPED_TRACE("Given daemons that know of different shares, and one that judges");
        const auto moves = joined_moves({behind, daemon_with("underway", 0.4, "time at this share"), behind});
        ASSERT_EQ(moves.size(), 1U);
        EXPECT_EQ(to_line(moves.front()),
                  "move board to v2: underway [########............] share 40%, since 2026-12-04T12:00:00Z, "
                  "by 2026-12-04T12:01:00Z (waits: time at this share)  # release desk");
    }
    {
        SCOPED_TRACE("Given one that knows of a withdrawal");
        const auto moves = joined_moves({daemon_with("done", 1, ""), daemon_with("taken back", 0, "failed")});
        EXPECT_EQ(moves.front().state_, "taken back");
    }
    {
        SCOPED_TRACE("Given one whose configuration is older");
        daemon_status older = daemon_with("taken back", 0, "failed");
        older.configuration_ = 6;
        EXPECT_EQ(joined_moves({older, behind}).front().state_, "underway");
    }
}

TEST(mesh_report, tells_the_last_new_work_of_a_data_center_that_is_out)
{
    daemon_status there;
    there.data_center_ = "leon";
    there.outs_.push_back({"leon", "night shift"});
    there.own_.last_run_ = noon;
    there.own_.in_flight_ = 2;
    daemon_status elsewhere;
    elsewhere.data_center_ = "celaya";
    elsewhere.own_.last_run_ = noon + 9'000'000;
    elsewhere.own_.in_flight_ = 5;

    const auto outs = joined_outs({elsewhere, there});

    ASSERT_EQ(outs.size(), 1U);
    EXPECT_EQ(to_line(outs.front(), noon + 12'000'000),
              "out leon: last new work 12 s ago, at 2026-12-04T12:00:00Z, 2 in flight  # night shift");
}

} // namespace guavahaven::operators
