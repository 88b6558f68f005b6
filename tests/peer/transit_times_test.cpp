// A call that was held up on its way must be recognised as late, so that it isn't run
// after its caller has given up, and clocks that differ must not make one look late.

#include "peer/transit_times.h"

#include <gtest/gtest.h>

namespace guavahaven::peer {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(transit_times, tell_a_late_message_from_a_clock_that_differs)
{
    transit_times times;
    const daemon_name entry("10.0.0.1:1");
    // The clock of the entry's machine is an hour ahead
    const duration clock_offset = std::chrono::hours(1);
    EXPECT_EQ(
        times.lateness(entry, incarnation(1), clock_offset + seconds(10), seconds(10) + milliseconds(2)),
        duration::zero());
    // The network holds one message up for six seconds: only that one is late
    EXPECT_EQ(
        times.lateness(entry, incarnation(1), clock_offset + seconds(11), seconds(17) + milliseconds(2)),
        seconds(6));
    EXPECT_EQ(
        times.lateness(entry, incarnation(1), clock_offset + seconds(18), seconds(18) + milliseconds(1)),
        duration::zero());
    EXPECT_EQ(
        times.lateness(entry, incarnation(1), clock_offset + seconds(19), seconds(19) + milliseconds(3)),
        milliseconds(2));

    // After a restart of the process and its machine, the estimate starts anew
    EXPECT_EQ(times.lateness(entry, incarnation(2), seconds(1), seconds(30)), duration::zero());
    EXPECT_EQ(times.lateness(entry, incarnation(2), seconds(2), seconds(32)), seconds(1));
}

} // namespace guavahaven::peer
