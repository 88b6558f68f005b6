// Guards against seeds that are written again at each short absence, or that stay stored after their daemon
// is gone.

#include <gtest/gtest.h>

#include "decide/membership/seeds.h"

namespace guavahaven::decide {

namespace {

const data_center_name leon("leon");
const data_center_name celaya("celaya");

seed seed_of(const data_center_name& d, const std::string& name)
{
    return {d, daemon_name(name)};
}

} // namespace

TEST(seeds, are_few_and_replaced_when_absent_twice)
{
    const std::vector<daemon_name> candidates{daemon_name("a"), daemon_name("b"), daemon_name("c"),
                                              daemon_name("d")};
    // Given a platform without seeds, three are stored
    const std::vector<seed> first = refresh_seeds({}, leon, candidates, {});
    EXPECT_EQ(first, (std::vector{seed_of(leon, "a"), seed_of(leon, "b"), seed_of(leon, "c")}));

    // When one is absent at one check, nothing changes; at the second it is replaced
    const std::vector<daemon_name> rest{daemon_name("a"), daemon_name("c"), daemon_name("d")};
    EXPECT_EQ(refresh_seeds(first, leon, rest, {}), first);
    EXPECT_EQ(refresh_seeds(first, leon, rest, {daemon_name("b")}),
              (std::vector{seed_of(leon, "a"), seed_of(leon, "c"), seed_of(leon, "d")}));

    // And those of other data centres are left alone
    const std::vector<seed> foreign{seed_of(celaya, "x")};
    EXPECT_EQ(refresh_seeds(foreign, leon, {daemon_name("a")}, {daemon_name("x")}),
              (std::vector{seed_of(celaya, "x"), seed_of(leon, "a")}));
}

} // namespace guavahaven::decide
