// Callers that send what no well-behaved one does cost a bounded amount, and
// others are still served.

#include <gtest/gtest.h>

#include "support/mesh.h"
#include "support/raw_connection.h"
#include "support/rules_text.h"

namespace guavahaven {

namespace {

constexpr const char* good_request = "GET /shifts/today HTTP/1.1\r\nHost: leon\r\n\r\n";

class hostile_callers : public testing::Test {
protected:
    void SetUp() override
    {
        const support::finished applied = mesh_.apply(support::lookup_rules("20s"));
        ASSERT_EQ(applied.status_, 0) << applied.output_;
        ASSERT_TRUE(mesh_.wait_ready(1));
    }
    void TearDown() override
    {
        EXPECT_TRUE(mesh_.at(0).daemon_->running());
        EXPECT_TRUE(others_are_served());
    }

    http::address entry() { return mesh_.at(0).callers(); }
    bool others_are_served()
    {
        const auto r = support::fetch(entry(), {"GET", "/shifts/today", {}, ""});
        return ok(r) && value(r).status_ == 200;
    }

    support::mesh mesh_{{{{"leon", "board", "v1", {}}}, false}};
};

} // namespace

TEST_F(hostile_callers, a_flood_of_connections_is_bounded_and_the_idle_go_first)
{
    // Given a caller that waits for its answer
    support::raw_connection waiting(entry());
    mesh_.at(0).set_backend("slow_ms=1000");
    ASSERT_TRUE(waiting.send(good_request));

    // When more connections are opened than are allowed, and stay silent
    std::vector<support::raw_connection> silent;
    for (int i = 0; i < 1200; ++i)
        silent.emplace_back(entry());

    // Then the oldest of them are closed
    EXPECT_TRUE(silent.front().wait_closed());
    // And the caller that waits keeps its connection and gets its answer
    EXPECT_NE(waiting.read_until("v1\n").find(" 200 "), std::string::npos);
    mesh_.at(0).set_backend("slow_ms=0");
}

TEST_F(hostile_callers, a_request_that_never_ends_is_given_up)
{
    // Given a caller that sends a header line now and then, but no end
    support::raw_connection slow(entry());
    ASSERT_TRUE(slow.send("GET /shifts/today HTTP/1.1\r\n"));
    bool open = true;
    for (int i = 0; open && i < 120; ++i)
        open = slow.send("X-More: 1\r\n") && !slow.wait_closed(std::chrono::milliseconds(250));

    // Then it is closed after a while, though it never paused for long
    EXPECT_FALSE(open);
}

TEST_F(hostile_callers, huge_headers_and_bodies_are_refused)
{
    {
        SCOPED_TRACE("headers");
        support::raw_connection caller(entry());
        caller.send("GET /shifts/today HTTP/1.1\r\nX-Huge: " + std::string(100'000, 'x') + "\r\n\r\n");
        EXPECT_TRUE(caller.wait_closed());
        EXPECT_EQ(caller.received().find(" 200 "), std::string::npos);
    }
    {
        SCOPED_TRACE("a body without end");
        support::raw_connection caller(entry());
        caller.send("POST /shifts/today HTTP/1.1\r\nHost: leon\r\nTransfer-Encoding: chunked\r\n\r\n");
        const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
        for (int i = 0; i < 256 && caller.send(chunk); ++i) {
        }
        EXPECT_TRUE(caller.wait_closed());
    }
    EXPECT_TRUE(mesh_.journal().empty());
}

TEST_F(hostile_callers, requests_sent_ahead_are_answered_in_their_order)
{
    support::raw_connection caller(entry());
    ASSERT_TRUE(caller.send("GET /shifts/a?bytes=10 HTTP/1.1\r\nHost: leon\r\n\r\n"
                            "GET /shifts/b?bytes=10 HTTP/1.1\r\nHost: leon\r\n\r\n"));
    const std::string& got = caller.read_until("/shifts/b?bytes=10");
    const std::size_t first = got.find("\r\n\r\n/shifts/a");
    const std::size_t second = got.find("\r\n\r\n/shifts/b");
    ASSERT_NE(first, std::string::npos) << got;
    ASSERT_NE(second, std::string::npos) << got;
    EXPECT_LT(first, second);
}

TEST_F(hostile_callers, what_is_no_http_is_refused)
{
    support::raw_connection caller(entry());
    caller.send("hello there\r\n\r\n");
    EXPECT_TRUE(caller.wait_closed());
    EXPECT_EQ(caller.received().find(" 200 "), std::string::npos);
}

} // namespace guavahaven
