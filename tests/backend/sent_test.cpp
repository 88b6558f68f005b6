// The HTTP client must tell requests that were never sent from those that may have run. If a request that was
// written to a connection were reported as not sent, it would be retried and could run twice.

#include <event2/listener.h>
#include <gtest/gtest.h>

#include "base/http.h"
#include "support/process.h"

namespace guavahaven {

namespace {

const error unreachable{code::backend_unreachable, ""};
const error broken{code::answer_incomplete, ""};

// Runs the loop long enough to process what has arrived on its connections.
void settle(event_loop& loop)
{
    timer pause(loop, [&loop] { loop.stop(); });
    pause.arm(std::chrono::milliseconds(50));
    loop.run();
}

code outcome(event_loop& loop, http::client& client, duration timeout = std::chrono::seconds(5))
{
    code seen = code::ok;
    client.send({"POST", "/placements", {}, "maria"}, timeout, [&](const result<http::response>& r) {
        seen = ok(r) ? code::ok : failure(r).code_;
        loop.stop();
    });
    if (client.in_flight() > 0)
        loop.run();
    return seen;
}

} // namespace

TEST(not_run_is_true, only_if_no_byte_was_sent)
{
    event_loop loop;
    const http::address at{"127.0.0.1", support::free_port()};
    http::client client(loop, at, 2, unreachable, broken);

    // Given that no server listens, the request can't have run
    EXPECT_EQ(outcome(loop, client), code::backend_unreachable);

    // When a server answers, the connection is kept for the next request
    auto server = std::make_unique<http::server>(loop, http::server_limits(), [](const auto& e) {
        e->reply({200, {}, "ok"});
    });
    ASSERT_TRUE(ok(server->listen(at)));
    EXPECT_EQ(outcome(loop, client), code::ok);
    EXPECT_EQ(outcome(loop, client), code::ok);

    // When the server has closed the kept connection and no longer listens, nothing is sent
    server.reset();
    settle(loop);
    EXPECT_EQ(outcome(loop, client), code::backend_unreachable);

    // When a server reads the request and closes the connection, it may have run
    server = std::make_unique<http::server>(loop, http::server_limits(), [](const auto& e) { e->abort(); });
    ASSERT_TRUE(ok(server->listen(at)));
    EXPECT_EQ(outcome(loop, client), code::answer_incomplete);

    // And when the server doesn't answer in time, it may have run too
    std::shared_ptr<http::exchange> held;
    server = std::make_unique<http::server>(loop, http::server_limits(), [&](const auto& e) { held = e; });
    ASSERT_TRUE(ok(server->listen(at)));
    EXPECT_EQ(outcome(loop, client, std::chrono::milliseconds(100)), code::answer_incomplete);
    held.reset();
}

TEST(http_client, cancels_by_closing_the_connection)
{
    event_loop loop;
    const http::address at{"127.0.0.1", support::free_port()};
    http::client client(loop, at, 1, unreachable, broken);
    std::vector<std::shared_ptr<http::exchange>> held;
    http::server server(loop, {}, [&](const std::shared_ptr<http::exchange>& e) {
        held.push_back(e);
        loop.stop();
    });
    ASSERT_TRUE(ok(server.listen(at)));

    // Given a request in flight on the only connection, and two that wait for it
    std::string answered;
    const auto send = [&](std::uint64_t ticket, const std::string& target) {
        client.send(ticket, {"GET", target, {}, ""}, std::chrono::seconds(5),
                    [&answered, target](const auto&) { answered += target; });
    };
    send(7, "/first");
    send(8, "/second");
    send(9, "/third");
    loop.run();
    ASSERT_EQ(held.size(), 1U);
    // When the first is cancelled, and one of those that wait
    client.cancel(8);
    client.cancel(7);
    // Then the third is sent over a new connection while the server still processes the first: cancelling
    // closed the first one's connection
    loop.run();
    ASSERT_EQ(held.size(), 2U);
    EXPECT_EQ(held.back()->received().target_, "/third");
    EXPECT_EQ(answered, "");
    client.cancel(9);
    EXPECT_EQ(client.in_flight(), 0U);
}

} // namespace guavahaven
