// Another writer leaves one odd entry among others. Guards against a daemon that ends, or that no longer
// follows the list, because of it: the other entries hold.

#include <gtest/gtest.h>

#include <algorithm>

#include "objects.h"
#include "registration.h"

namespace guavahaven::platform {

namespace {

const std::string good_entry =
    R"({"metadata":{"name":"leon","rev":7,"createRevision":7,"finalizers":[],"deleting":false},"spec":{},"status":null})";

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string entry_with(const std::string& spec)
{
    return R"({"metadata":{"name":"odd","rev":8},"spec":)" + spec + "}";
}

std::vector<std::string> odd_entries()
{
    return {entry_with(R"({"deep":)" + nested(200'000) + "}"),
            entry_with(R"({"large":1e999,"text":"1e999 \" 1e999"})"),
            entry_with(R"({"large":-123456789012345678901234567890})"),
            entry_with(R"({"address":"10.0.0.1:99999"})"),
            R"({"metadata":{"name":"odd","rev":1e999},"spec":{}})",
            R"({"metadata":{"name":4,"rev":8}})",
            R"({"metadata":[]})",
            R"({"spec":{}})",
            nested(200'000),
            "null",
            "17"};
}

bool has_good_entry(const std::vector<stored_object>& objects)
{
    return std::any_of(objects.begin(), objects.end(),
                       [](const stored_object& o) { return o.name_ == "leon" && o.revision_ == 7; });
}

} // namespace

TEST(odd_entries, do_not_hide_the_others_of_a_list)
{
    for (const std::string& odd : odd_entries()) {
        SCOPED_TRACE(odd.substr(0, 80));
        std::string body = R"({"items":[)";
        body.append(odd).append(",").append(good_entry).append(R"(],"hasMore":false,"currentRev":9})");
        const auto page = read_page({200, {}, body});
        ASSERT_TRUE(ok(page));
        EXPECT_TRUE(has_good_entry(value(page).objects_));
        EXPECT_EQ(value(page).revision_, 9U);
        // What is kept of it can be copied, compared and written out
        for (const stored_object& o : value(page).objects_) {
            const stored_object copy = o;
            EXPECT_EQ(copy.spec_, o.spec_);
            EXPECT_LT(copy.spec_.dump().size(), 1000U);
        }
    }
}

TEST(odd_entries, do_not_hide_the_others_of_a_watch)
{
    for (const std::string& odd : odd_entries()) {
        SCOPED_TRACE(odd.substr(0, 80));
        std::string body = R"({"events":[{"tombstone":false,"object":)";
        body.append(odd).append(R"(},{"tombstone":false,"object":)").append(good_entry);
        body.append(R"(}],"currentRev":9})");
        const auto changes = read_changes({200, {}, body});
        ASSERT_TRUE(ok(changes));
        ASSERT_FALSE(value(changes).events_.empty());
        EXPECT_EQ(value(changes).events_.back().object_.name_, "leon");
        EXPECT_EQ(value(changes).revision_, 9U);
    }
}

TEST(odd_entries, of_a_heartbeat_are_refused)
{
    const auto announced = [](const std::string& address, const std::string& sequence,
                              const std::string& more) {
        const std::string body =
            R"({"address":")" + address +
            R"(","info":{"service":"board","version":"v1","zone":"leon","maxConcurrency":12},)" +
            R"("status":{"state":"ready","sequence":)" + sequence + R"(,"warmupLeftS":0})" + more + "}";
        return ok(read_registration({"PUT", "/instances/i-1", {}, body}, {"10.0.0.1", 80}));
    };
    EXPECT_TRUE(announced("10.0.0.1:8080", "4", ""));
    EXPECT_FALSE(announced("10.0.0.1:99999", "4", ""));
    EXPECT_FALSE(announced("10.0.0.1:-1", "4", ""));
    EXPECT_FALSE(announced("10.0.0.1:8080", "1e999", ""));
    EXPECT_FALSE(announced("10.0.0.1:8080", "99999999999999999999999", ""));
    EXPECT_FALSE(announced("10.0.0.1:8080", nested(200'000), ""));
    EXPECT_TRUE(announced("10.0.0.1:8080", "4", R"(,"unknown":)" + nested(200'000)));
}

} // namespace guavahaven::platform
