// A request that crashes every backend server that runs it, and whose caller
// sends it again.

#include <gtest/gtest.h>

#include <algorithm>

#include "decide/gate/crash_suspects.h"
#include "support/mesh.h"
#include "support/rules_text.h"

namespace guavahaven {

namespace {

} // namespace

TEST(crash_causing_request_is_contained, by_all_gates_of_its_service)
{
    support::mesh mesh({{{"leon", "desk", "v1", {}},
                         {"leon", "desk", "v1", {}},
                         {"celaya", "desk", "v1", {}},
                         {"celaya", "desk", "v1", {}}}});
    ASSERT_EQ(mesh.apply(support::confirmation_rules()).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));
    for (const support::node& n : mesh.nodes())
        n.set_backend("crash_path=/placements/bad");

    // When its caller sends it again and again, through all entries
    std::string last;
    for (std::size_t i = 0; i < 12; ++i) {
        const auto r = support::fetch(mesh.at(i % 4).callers(), {"POST", "/placements/bad", {}, "maria"});
        last = ok(r) ? http::find_header(value(r).headers_, "Guavahaven-Result") : "";
    }
    // Then it costs no more backend servers than stated, and is refused by its code
    const auto journal = mesh.journal();
    const auto crashes =
        std::count_if(journal.begin(), journal.end(), [](const auto& e) { return e.event_ == "crash"; });
    EXPECT_LE(static_cast<std::size_t>(crashes), decide::deaths_to_refuse);
    EXPECT_GT(crashes, 0);
    EXPECT_EQ(last, std::to_string(number(code::suspect_request)));

    // And other requests are served
    const auto good = support::fetch(mesh.at(0).callers(), {"POST", "/placements/good", {}, "maria"});
    ASSERT_TRUE(ok(good));
    EXPECT_EQ(value(good).status_, 200) << value(good).body_;
}

} // namespace guavahaven
