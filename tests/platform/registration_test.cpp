#include "registration.h"

#include <gtest/gtest.h>

namespace guavahaven::platform {

namespace {

const http::address listener{"10.1.0.8", 8306};

constexpr const char* heartbeat = R"({"address":"10.1.0.8:8301","born":1700000000123,
    "info":{"service":"board","version":"v2","zone":"leon","maxConcurrency":12},
    "status":{"state":"ready","sequence":4,"warmupLeftS":2.5}})";

result<backend::registration_message> read(const std::string& method, const std::string& body)
{
    return read_registration({method, "/instances/i-7f", {}, body}, listener);
}

std::string with(std::string text, const std::string& part, const std::string& by)
{
    return text.replace(text.find(part), part.size(), by);
}

} // namespace

TEST(registration, becomes_an_announcement)
{
    const auto read_one = read("PUT", heartbeat);
    ASSERT_TRUE(ok(read_one));
    const auto& a = std::get<backend::announcement>(value(read_one));
    EXPECT_EQ(a.instance_, "i-7f");
    EXPECT_EQ(a.service_.str(), "board");
    EXPECT_EQ(a.version_.str(), "v2");
    EXPECT_EQ(a.address_, (http::address{"10.1.0.8", 8301}));
    EXPECT_EQ(a.slots_, 12U);
    EXPECT_EQ(a.started_at_ms_, 1700000000123U);
    EXPECT_EQ(a.sequence_, 4U);
    EXPECT_EQ(a.cold_left_, std::chrono::milliseconds(2500));
    EXPECT_FALSE(a.draining_);

    const auto leaving = read("PUT", with(heartbeat, "ready", "draining"));
    ASSERT_TRUE(ok(leaving));
    EXPECT_TRUE(std::get<backend::announcement>(value(leaving)).draining_);
    const auto gone = read("DELETE", "");
    ASSERT_TRUE(ok(gone));
    EXPECT_EQ(std::get<backend::deregistration>(value(gone)).instance_, "i-7f");
}

TEST(registration, that_names_nothing_to_use_is_refused)
{
    for (const auto& [part, by] : std::vector<std::pair<std::string, std::string>>{
             {"\"address\":\"10.1.0.8:8301\",", ""},
             {"10.1.0.8:8301", "10.9.9.9:8301"}, // on another machine
             {"\"board\"", "7"},
             {"\"board\"", "\"\""},
             {"12", "-1"},
             {"12", "1.5"},
             {"\"ready\"", "\"napping\""},
             {"4,", "\"4\","},
             {"2.5", "\"soon\""},
             {"2.5", "-1"},
             {"1700000000123", "1.5"},
             {"{\"address\"", "[\"address\""}}) {
        SCOPED_TRACE(part);
        SCOPED_TRACE(by);
        EXPECT_FALSE(ok(read("PUT", with(heartbeat, part, by))));
    }
    EXPECT_FALSE(ok(read("PUT", "\xff\xfe")));
    EXPECT_FALSE(ok(read("POST", heartbeat)));
}

} // namespace guavahaven::platform
