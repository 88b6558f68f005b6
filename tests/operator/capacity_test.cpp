// What is said before data centres are taken out.

#include "operator/capacity.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace guavahaven::operators {

namespace {

daemon_status daemon_in(const std::string& data_center, const std::string& service, std::uint32_t in_flight)
{
    daemon_status d;
    d.data_center_ = data_center;
    d.own_.service_ = service;
    d.own_.slots_ = 12;
    d.own_.in_flight_ = in_flight;
    return d;
}

decide::configuration with_out(const std::string& data_center)
{
    decide::configuration rules;
    rules.outs_.push_back({data_center_name(data_center), {}});
    return rules;
}

} // namespace

TEST(capacity, warns_when_what_remains_cannot_carry_the_load)
{
    {
        SCOPED_TRACE("Given little load on two data centres");
        const std::vector<daemon_status> now{daemon_in("leon", "board", 2), daemon_in("celaya", "board", 2)};
        EXPECT_TRUE(capacity_warnings(with_out("leon"), now).empty());
        EXPECT_TRUE(capacity_warnings({}, now).empty());
    }
    {
        SCOPED_TRACE("Given both nearly full");
        const std::vector<daemon_status> now{daemon_in("leon", "board", 8), daemon_in("celaya", "board", 8)};
        EXPECT_THAT(capacity_warnings(with_out("leon"), now),
                    testing::ElementsAre("service board: 1 backend servers with 12 slots would remain, 1 "
                                         "would be out, 16 requests are in flight"));
        EXPECT_TRUE(capacity_warnings({}, now).empty());
    }
    {
        SCOPED_TRACE("Given a service that lives in that data centre only");
        const std::vector<daemon_status> now{daemon_in("leon", "desk", 0), daemon_in("celaya", "board", 0)};
        EXPECT_EQ(capacity_warnings(with_out("leon"), now).size(), 1U);
    }
}

} // namespace guavahaven::operators
