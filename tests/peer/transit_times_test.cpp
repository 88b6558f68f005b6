// Messages that come late, told by clocks that do not agree.

#include "peer/transit_times.h"

#include <gtest/gtest.h>

namespace guavahaven::peer {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(transit_times, tell_a_late_message_from_a_clock_that_differs)
{
    transit_times times;
    const daemon_name entry("10.0.0.1:1");
    // Given an entry whose clock is an hour ahead
    const duration ahead = std::chrono::hours(1);
    EXPECT_EQ(times.lateness(entry, incarnation(1), ahead + seconds(10), seconds(10) + milliseconds(2)),
              duration::zero());
    // When a link holds a message up for six seconds, then only that one is late
    EXPECT_EQ(times.lateness(entry, incarnation(1), ahead + seconds(11), seconds(17) + milliseconds(2)),
              seconds(6));
    EXPECT_EQ(times.lateness(entry, incarnation(1), ahead + seconds(18), seconds(18) + milliseconds(1)),
              duration::zero());
    EXPECT_EQ(times.lateness(entry, incarnation(1), ahead + seconds(19), seconds(19) + milliseconds(3)),
              milliseconds(2));

    // And a process that was started anew, on a machine that was too, begins afresh
    EXPECT_EQ(times.lateness(entry, incarnation(2), seconds(1), seconds(30)), duration::zero());
    EXPECT_EQ(times.lateness(entry, incarnation(2), seconds(2), seconds(32)), seconds(1));
}

} // namespace guavahaven::peer
