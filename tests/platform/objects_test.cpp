#include "objects.h"

#include <gtest/gtest.h>

namespace guavahaven::platform {

namespace {

using nlohmann::json;

json event(const std::string& name, int revision, bool deleted = false)
{
    return {{"tombstone", deleted},
            {"object", {{"metadata", {{"name", name}, {"rev", revision}}}, {"spec", {{"n", revision}}}}}};
}

http::response response(const json& body)
{
    return {200, {}, body.dump()};
}

} // namespace

TEST(object_changes, are_the_last_of_each_object)
{
    // Given many changes in one response, as after a long disconnection, several of them of one object
    const json body{
        {"events", {event("main", 5), event("leon", 6), event("main", 7), event("leon", 8, true)}},
        {"currentRev", 9}};
    const auto changes = read_changes(response(body));
    ASSERT_TRUE(ok(changes));
    // Then only the latest change of each object is left to apply
    ASSERT_EQ(value(changes).events_.size(), 2U);
    EXPECT_EQ(value(changes).events_[0].object_.revision_, 7U);
    EXPECT_EQ(value(changes).events_[0].object_.spec_.at("n"), 7);
    EXPECT_TRUE(value(changes).events_[1].deleted_);
    EXPECT_EQ(value(changes).revision_, 9U);
}

TEST(object_changes, that_can_not_be_read_change_nothing)
{
    // An event that can't be read is left out; the daemon goes on behind it
    const auto odd = read_changes(response({{"events", {{{"tombstone", "no"}}}}, {"currentRev", 9}}));
    ASSERT_TRUE(ok(odd));
    EXPECT_TRUE(value(odd).events_.empty());
    EXPECT_EQ(value(odd).revision_, 9U);
    EXPECT_FALSE(ok(read_changes(response({{"events", {{"tombstone", "no"}}}, {"currentRev", 9}}))));
    EXPECT_FALSE(ok(read_changes(response({{"events", 7}, {"currentRev", 9}}))));
    EXPECT_FALSE(ok(read_changes(response({{"events", json::array()}}))));
    EXPECT_FALSE(ok(read_changes({200, {}, "<html>"})));
    EXPECT_FALSE(ok(read_page(response({{"items", 7}, {"hasMore", false}, {"currentRev", 1}}))));
}

TEST(byte_object_format, keep_any_bytes)
{
    const object_store::wire_format d = byte_object_format();
    const std::string bytes("\x00\x7f\xff seeds", 9);
    const http::request written = d.put_request_("seeds", "current", bytes, 0);
    EXPECT_EQ(written.method_, "POST");
    json stored = json::parse(written.body_);
    stored["metadata"]["rev"] = 12;
    const auto read = d.parse_(response(stored));
    ASSERT_TRUE(ok(read));
    EXPECT_EQ(value(read), (object_store::object{12, bytes}));
    EXPECT_EQ(d.put_request_("seeds", "current", bytes, 12).method_, "PUT");
    stored["spec"]["bytes"] = "zz";
    EXPECT_FALSE(ok(d.parse_(response(stored))));
}

} // namespace guavahaven::platform
