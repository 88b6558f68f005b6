// Guards against daemons that are suspected without an unanswered probe, or that nobody watches.

#include <gtest/gtest.h>

#include "decide/membership/failure_detector.h"

namespace guavahaven::decide {

namespace {

using std::chrono::milliseconds;
const std::vector<daemon_name> neighbours{daemon_name("a"), daemon_name("b")};

} // namespace

TEST(failure_detector, probes_a_silent_neighbour_before_it_is_suspected)
{
    failure_detector d;
    time_point now{};
    d.tick(neighbours, now);
    // Given that only b sends something
    now += milliseconds(3000);
    d.record_contact(daemon_name("b"), now);
    EXPECT_EQ(d.tick(neighbours, now), (detector_step{{daemon_name("a")}, {}}));
    // When the probe is answered, nobody is suspected
    d.record_contact(daemon_name("a"), now + milliseconds(100));
    EXPECT_EQ(d.tick(neighbours, now + milliseconds(2000)), detector_step());
    // When the next probe is not answered, a is suspected
    now += milliseconds(3000);
    d.record_contact(daemon_name("b"), now);
    EXPECT_EQ(d.tick(neighbours, now), (detector_step{{daemon_name("a")}, {}}));
    now += milliseconds(1600);
    d.record_contact(daemon_name("b"), now);
    EXPECT_EQ(d.tick(neighbours, now), (detector_step{{}, {daemon_name("a")}}));
}

TEST(failure_detector, watches_a_daemon_that_has_this_one_as_neighbour)
{
    failure_detector d;
    time_point now{};
    d.start_watching(daemon_name("c"), now);
    now += milliseconds(2600);
    EXPECT_EQ(d.tick({}, now), (detector_step{{daemon_name("c")}, {}}));
    // When it answers and then takes other neighbours, it is no longer watched
    d.record_contact(daemon_name("c"), now);
    d.stop_watching(daemon_name("c"), now);
    now += milliseconds(3000);
    EXPECT_EQ(d.tick({}, now), detector_step());
}

TEST(failure_detector, suspects_nobody_after_a_pause_of_its_own_process)
{
    failure_detector d;
    time_point now{};
    d.tick(neighbours, now);
    now += std::chrono::minutes(1);
    d.resume(now);
    EXPECT_EQ(d.tick(neighbours, now), detector_step());
}

} // namespace guavahaven::decide
