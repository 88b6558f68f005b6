// Guards against full load on a data centre at the moment its 'out' rule is removed.

#include "decide/entry/data_center_return.h"

#include <gtest/gtest.h>

namespace guavahaven::decide {

namespace {

configuration with_out(const std::vector<std::string>& names)
{
    configuration c;
    for (const std::string& name : names)
        c.outs_.push_back({data_center_name(name), {}});
    return c;
}

} // namespace

TEST(data_center_return, share_grows_with_time_since_return)
{
    // Given a data centre that was out and is back
    return_tracker tracker;
    tracker.set_configuration(with_out({"leon"}), time_point(std::chrono::seconds(1)));
    EXPECT_TRUE(tracker.returning(time_point(std::chrono::seconds(2))).empty());
    const time_point back(std::chrono::seconds(10));
    tracker.set_configuration(with_out({}), back);
    view known;
    known.members_ = {{}, {}};
    known.members_[0].name_ = daemon_name("a");
    known.members_[0].data_center_ = data_center_name("leon");
    known.members_[1].name_ = daemon_name("b");
    known.members_[1].data_center_ = data_center_name("celaya");

    // When calls are made at several times after it
    random_engine random(1);
    const auto share_at = [&](duration since) {
        known.returning_ = tracker.returning(back + since);
        int skipped = 0;
        for (int i = 0; i < 1000; ++i) {
            const std::set<daemon_name> gates = draw_gates_to_skip(known, {}, random, back + since);
            EXPECT_FALSE(gates.contains(daemon_name("b")));
            skipped += gates.contains(daemon_name("a")) ? 1 : 0;
        }
        return 1 - skipped / 1000.0;
    };

    // Then its share grows from a tenth to the whole
    EXPECT_NEAR(share_at(std::chrono::seconds(0)), 0.1, 0.04);
    EXPECT_NEAR(share_at(std::chrono::seconds(10)), 0.55, 0.06);
    EXPECT_EQ(share_at(std::chrono::seconds(20)), 1);

    // And it gets all calls that no other data centre could serve
    known.members_[1].version_ = version_name("other");
    EXPECT_EQ(share_at(std::chrono::seconds(0)), 1);

    // And the return ends when the data centre is taken out again
    tracker.set_configuration(with_out({"leon"}), back + std::chrono::seconds(5));
    EXPECT_TRUE(tracker.returning(back + std::chrono::seconds(6)).empty());
}

} // namespace guavahaven::decide
