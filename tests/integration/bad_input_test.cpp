// A running daemon gets bad input from every side; what was in force stays so.

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>

#include "fuzz/mutator.h"
#include "peer/message.h"
#include "support/mesh.h"

namespace guavahaven {

namespace {

constexpr const char* rules = "class lookup deadline 2s # office\n"
                              "service board version v1 # office\n"
                              "route * /shifts/* to board as lookup # office\n";

// Sends bytes over a connection of its own, waits a moment for an answer.
void send_raw(const http::address& to, const std::string& bytes)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port_);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0) {
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        shutdown(fd, SHUT_WR);
        const timeval wait{0, 20'000}; // 20 ms
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
        char answer[4096];
        recv(fd, answer, sizeof answer, 0);
    }
    close(fd);
}

class bad_input : public testing::Test {
protected:
    bad_input() : mesh_({{{"leon", "board", "v1", {}}, {"celaya", "board", "v1", {}}}, false})
    {
        EXPECT_EQ(mesh_.apply(rules).status_, 0);
        EXPECT_TRUE(mesh_.wait_ready(1));
    }

    void expect_unharmed()
    {
        EXPECT_TRUE(mesh_.at(0).daemon_->running());
        const auto status = mesh_.at(0).status();
        ASSERT_TRUE(ok(status));
        EXPECT_EQ(value(status).configuration_, 1U);
        const auto answer = support::fetch(mesh_.at(0).callers(), {"GET", "/shifts/today", {}, ""});
        ASSERT_TRUE(ok(answer));
        EXPECT_EQ(value(answer).status_, 200);
    }

    http::address peers(std::size_t i) { return {"127.0.0.1", mesh_.at(i).advertised_port()}; }

    support::mesh mesh_;
};

} // namespace

TEST_F(bad_input, frames_of_strangers_are_refused_and_counted)
{
    // Given a frame that is too large, a malformed one, and one of a later protocol
    const std::string too_large("\x7f\xff\xff\xff", 4);
    const std::string malformed("\x00\x00\x00\x02\xc1\xc1", 6);
    const std::string later =
        peer::to_frame(peer::hello{peer::protocol_version + 1, daemon_name("127.0.0.1:1"), incarnation(1)});

    // When each comes over a connection of its own
    const char* refused = "guavahaven_peer_frames_refused_total";
    for (const std::string& bytes : {too_large, malformed, later})
        send_raw(peers(0), bytes);

    // Then all are refused, and counted
    EXPECT_TRUE(support::wait_until([&] { return mesh_.at(0).metric(refused) >= 3; }));
    expect_unharmed();
}

TEST_F(bad_input, mutated_frames_and_requests_do_no_harm)
{
    constexpr int inputs = 60;
    fuzz::mutator random(7);
    const std::vector<std::string> frames{
        peer::to_frame(peer::hello{peer::protocol_version, daemon_name("127.0.0.1:1"), incarnation(1)}),
        peer::to_frame(decide::entry_to_gate(decide::fence{})),
        peer::to_frame(decide::control_message(decide::move_facts{}))};
    const std::vector<std::string> requests{
        "GET /shifts/today HTTP/1.1\r\nHost: a\r\nRequest-Timeout-Ms: 100\r\nCall-Depth: 3\r\n\r\n",
        "POST /shifts/x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"};
    for (int i = 0; i < inputs; ++i) {
        send_raw(peers(0), random.next(frames));
        send_raw(mesh_.at(0).callers(), random.next(requests));
        send_raw(mesh_.at(0).operators(), random.next(requests));
    }
    expect_unharmed();
}

TEST_F(bad_input, a_request_that_is_too_large_or_malformed_gets_an_error)
{
    // A body above the limit
    constexpr std::size_t too_large = 2 * 1024 * 1024;
    const auto body =
        support::fetch(mesh_.at(0).callers(), {"POST", "/shifts/x", {}, std::string(too_large, 'x')});
    ASSERT_TRUE(ok(body)) << to_string(failure(body));
    EXPECT_EQ(value(body).status_, 413);
    EXPECT_EQ(http::find_header(value(body).headers_, "Guavahaven-Result"), "407");

    // Headers above the limit
    const auto header =
        support::fetch(mesh_.at(0).callers(), {"GET", "/shifts/x", {{"Long", std::string(20'000, 'x')}}, ""});
    ASSERT_TRUE(ok(header)) << to_string(failure(header));
    EXPECT_EQ(value(header).status_, 413);
    EXPECT_EQ(http::find_header(value(header).headers_, "Guavahaven-Result"), "407");

    // A time left, or a depth, that is no number is passed over
    const auto odd =
        support::fetch(mesh_.at(0).callers(),
                       {"GET", "/shifts/x", {{"Request-Timeout-Ms", "soon"}, {"Call-Depth", "-1"}}, ""});
    ASSERT_TRUE(ok(odd));
    EXPECT_EQ(value(odd).status_, 200);
    expect_unharmed();
}

TEST_F(bad_input, a_malformed_platform_object_takes_nothing_back)
{
    const auto object = [&](const std::string& version, const std::string& bytes) {
        return support::fetch(mesh_.platform(),
                              {"PUT", "/objects/configuration/current", {{"If-Version", version}}, bytes});
    };
    const auto now = support::fetch(mesh_.platform(), {"GET", "/objects/configuration/current", {}, ""});
    ASSERT_TRUE(ok(now));
    const auto written = object(http::find_header(value(now).headers_, "Version"), "no such object");
    ASSERT_TRUE(ok(written));
    ASSERT_EQ(value(written).status_, 200);
    expect_unharmed();

    // And it is replaced by a good one, with a number above the one in force
    const std::string path = support::scratch_folder() + "/rules";
    std::ofstream(path) << rules << "out celaya # night\n";
    const std::string platform = "--platform=" + http::to_string(mesh_.platform());
    const support::finished blind = support::run("guavahaven", {"apply", path, platform});
    EXPECT_EQ(blind.status_, 2);
    EXPECT_NE(blind.output_.find("E202 platform_malformed"), std::string::npos) << blind.output_;
    EXPECT_EQ(support::run("guavahaven", {"diff", path, platform}).status_, 3);
    const support::finished applied = support::run(
        "guavahaven", {"apply", path, platform, "--daemon=" + http::to_string(mesh_.at(0).operators())});
    EXPECT_EQ(applied.status_, 0) << applied.output_;
    EXPECT_TRUE(mesh_.wait_configuration(2));
}

} // namespace guavahaven
