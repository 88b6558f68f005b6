// Daemons come and go; callers notice nothing.

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "support/mesh.h"
#include "support/raw_connection.h"

namespace guavahaven {

namespace {

constexpr const char* rules = R"(
class   lookup  deadline 10s         # office
class   confirm deadline 10s once    # supervisors
service board   version v1           # office
route GET  /shifts/*   to board as lookup  # office
route POST /placements to board as confirm # supervisors
)";

} // namespace

TEST(entry_lifecycle, a_gate_that_is_dead_costs_no_request_that_must_run_once)
{
    support::mesh mesh(
        {{{"leon", "other", "v1", {}}, {"leon", "board", "v1", {}}, {"leon", "board", "v1", {}}}, false});
    ASSERT_EQ(mesh.apply(rules).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));

    // Given a gate that was killed a moment ago, so that others still count on it
    mesh.at(1).daemon_->kill();

    // When callers send requests that must run once
    const std::vector<http::request> requests(40, {"POST", "/placements", {}, "maria"});
    const auto responses = support::fetch_all({mesh.at(0).callers()}, requests, 2, std::chrono::seconds(10));

    // Then all run at the other one: what could not be sent has surely not run
    for (const support::timed_response& r : responses) {
        ASSERT_TRUE(ok(r.response_));
        EXPECT_EQ(value(r.response_).status_, 200) << value(r.response_).body_;
    }
}

TEST(entry_lifecycle, a_stopping_daemon_finishes_its_callers_requests)
{
    support::mesh mesh({{{"leon", "other", "v1", {}}, {"leon", "board", "v1", {}}}, false});
    ASSERT_EQ(mesh.apply(rules).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));
    mesh.at(1).set_backend("slow_ms=1500");

    // Given a request under way for a long answer, and another connection without one
    support::raw_connection caller(mesh.at(0).callers());
    ASSERT_TRUE(caller.send("GET /shifts/a?bytes=3000000 HTTP/1.1\r\nHost: leon\r\n\r\n"));
    ASSERT_TRUE(support::wait_until([&] { return !mesh.journal().empty(); }));

    // When its daemon is told to stop
    int stopped = -1;
    std::thread stopper([&] { stopped = mesh.at(0).daemon_->stop(); });

    // Then the answer comes whole before the daemon ends
    caller.wait_closed(std::chrono::seconds(20));
    stopper.join();
    EXPECT_EQ(stopped, 0);
    EXPECT_NE(caller.received().find(" 200 "), std::string::npos);
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos);
    EXPECT_GT(caller.received().size(), 3'000'000U);
}

// Guards against giving up a request after SIGTERM because the link to its gate is slow, while its backend
// server is at work on it.
TEST(entry_lifecycle, a_stopping_daemon_answers_a_request_that_a_slow_link_delays)
{
    support::mesh mesh({{{"leon", "other", "v1", {}}, {"leon", "board", "v1", {}}}, true});
    ASSERT_EQ(mesh.apply(rules).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));

    // Given a link to the gate on which bytes take longer than an acknowledgement and a fence may take
    for (const support::node& n : mesh.nodes())
        mesh.set_fault(n, "mode=pass&delay_ms=900");
    support::raw_connection caller(mesh.at(0).callers());
    ASSERT_TRUE(caller.send("POST /placements HTTP/1.1\r\nHost: leon\r\nContent-Length: 5\r\n\r\nmaria"));

    // When the daemon that has read the request is told to stop
    int stopped = -1;
    std::thread stopper([&] { stopped = mesh.at(0).daemon_->stop(); });

    // Then the caller gets the answer of the backend server
    caller.wait_closed(std::chrono::seconds(20));
    stopper.join();
    EXPECT_EQ(stopped, 0);
    EXPECT_NE(caller.received().find(" 200 "), std::string::npos) << caller.received();
}

TEST(entry_lifecycle, a_stopping_daemon_serves_its_backend_server_during_the_notice)
{
    support::mesh_plan plan{{{"leon", "other", "v1", {}}, {"leon", "board", "v1", {}}}, false};
    plan.more_settings_ = "[daemon]\nstop_notice_ms = 3000\n";
    support::mesh mesh(plan);
    ASSERT_EQ(mesh.apply(rules).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));

    // Given the only gate of a service, told to stop
    int stopped = -1;
    std::thread stopper([&] { stopped = mesh.at(1).daemon_->stop(); });
    const auto notices = [&] {
        const auto ready = support::fetch(mesh.at(1).operators(), {"GET", "/readyz", {}, ""});
        return ok(ready) && value(ready).status_ == 503;
    };
    EXPECT_TRUE(support::wait_until(notices));

    // When requests come in the notice that callers get, then they run there
    const auto r = support::fetch(mesh.at(0).callers(), {"GET", "/shifts/a", {}, ""});
    ASSERT_TRUE(ok(r));
    EXPECT_EQ(value(r).status_, 200) << value(r).body_;
    stopper.join();
    EXPECT_EQ(stopped, 0);
}

// Guards against cutting, at the end of a stop, a request that came late in it on a connection kept open.
TEST(entry_lifecycle, a_stopping_daemon_takes_no_late_request_that_its_end_would_cut)
{
    support::mesh_plan plan{{{"leon", "other", "v1", {}}, {"leon", "board", "v1", {}}}, false};
    plan.more_settings_ = "[daemon]\nstop_notice_ms = 2000\ndrain_timeout_ms = 6000\n";
    support::mesh mesh(plan);
    ASSERT_EQ(mesh.apply(rules).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));
    const std::string placement = "POST /placements HTTP/1.1\r\nHost: leon\r\nContent-Length: 5\r\n\r\n";
    const auto placements_run = [&] {
        const auto all = mesh.journal();
        return std::count_if(all.begin(), all.end(),
                             [](const auto& e) { return e.event_ == "run" && e.method_ == "POST"; });
    };

    // Given a connection kept open after an answer, and one on which a request has arrived in part
    support::raw_connection idle(mesh.at(0).callers());
    ASSERT_TRUE(idle.send("GET /shifts/a HTTP/1.1\r\nHost: leon\r\n\r\n"));
    ASSERT_NE(idle.read_until("v1\n").find(" 200 "), std::string::npos);
    support::raw_connection late(mesh.at(0).callers());
    ASSERT_TRUE(late.send(placement + "mar"));
    // And a request whose backend server takes 5 s for it
    mesh.at(1).set_backend("slow_ms=5000&fail_path=/placements");
    support::raw_connection early(mesh.at(0).callers());
    ASSERT_TRUE(early.send(placement + "maria"));
    ASSERT_TRUE(support::wait_until([&] { return placements_run() == 1; }));

    // When the daemon is told to stop, twice, and the notice is over
    const auto after_notice = std::chrono::steady_clock::now() + std::chrono::milliseconds(2200);
    int stopped = -1;
    std::thread stopper([&] { stopped = mesh.at(0).daemon_->stop(); });
    std::this_thread::sleep_until(after_notice - std::chrono::seconds(1));
    kill(mesh.at(0).daemon_->id(), SIGTERM);
    std::this_thread::sleep_until(after_notice);

    // Then the idle connection is closed
    EXPECT_TRUE(idle.wait_closed(std::chrono::seconds(1)));
    EXPECT_FALSE(idle.was_reset());
    // And a request that would still run at the end is refused at once, as not run
    EXPECT_TRUE(late.send("ia"));
    EXPECT_TRUE(late.wait_closed(std::chrono::seconds(1)));
    EXPECT_NE(late.received().find(" 503 "), std::string::npos) << late.received();
    EXPECT_NE(late.received().find("Guavahaven-Result: 410"), std::string::npos);
    EXPECT_NE(late.received().find("Retry-After: "), std::string::npos);
    EXPECT_NE(late.received().find("Connection: close"), std::string::npos);
    // And one that has to end before is served, as the calls of the backend server beside the daemon are
    const auto call =
        support::fetch(mesh.at(0).callers(), {"GET", "/shifts/b", {{"Request-Timeout-Ms", "1000"}}, ""});
    EXPECT_TRUE(ok(call) && value(call).status_ == 200);
    // And the one that came before the stop gets its answer
    early.wait_closed(std::chrono::seconds(20));
    EXPECT_NE(early.received().find(" 200 "), std::string::npos) << early.received();
    stopper.join();
    EXPECT_EQ(stopped, 0);
    EXPECT_EQ(placements_run(), 1);
}

// Guards against a connection closed without an answer when the process ends before its backend server does.
TEST(entry_lifecycle, a_stopping_daemon_answers_what_it_breaks_off)
{
    support::mesh_plan plan{{{"leon", "other", "v1", {}}, {"leon", "board", "v1", {}}}, false};
    plan.more_settings_ = "[daemon]\ndrain_timeout_ms = 2000\n";
    support::mesh mesh(plan);
    ASSERT_EQ(mesh.apply(rules).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));
    mesh.at(1).set_backend("slow_ms=8000");

    // Given a request that must run once, and takes longer than a stop may last
    support::raw_connection caller(mesh.at(0).callers());
    ASSERT_TRUE(caller.send("POST /placements HTTP/1.1\r\nHost: leon\r\nContent-Length: 5\r\n\r\nmaria"));
    ASSERT_TRUE(support::wait_until([&] { return !mesh.journal().empty(); }));

    // When its daemon stops
    EXPECT_EQ(mesh.at(0).daemon_->stop(), 0);

    // Then the caller is told that the outcome is unknown
    EXPECT_TRUE(caller.wait_closed());
    EXPECT_NE(caller.received().find("Guavahaven-Result: 405"), std::string::npos) << caller.received();
}

TEST(entry_lifecycle, a_caller_that_goes_away_cancels_its_request)
{
    support::mesh mesh({{{"leon", "other", "v1", {}}, {"leon", "board", "v1", {}}}, false});
    ASSERT_EQ(mesh.apply(rules).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));
    mesh.at(1).set_backend("slow_ms=8000");
    const auto seen = [&](const std::string& event) {
        const auto all = mesh.journal();
        return std::any_of(all.begin(), all.end(), [&](const auto& e) { return e.event_ == event; });
    };

    // Given a lookup that runs for long
    std::optional<support::raw_connection> caller(mesh.at(0).callers());
    ASSERT_TRUE(caller->send("GET /shifts/a HTTP/1.1\r\nHost: leon\r\n\r\n"));
    ASSERT_TRUE(support::wait_until([&] { return seen("run"); }));

    // When its caller goes away, it is cancelled at the backend server
    caller.reset();
    EXPECT_TRUE(support::wait_until([&] { return seen("cancelled"); }, std::chrono::seconds(5)));
}

} // namespace guavahaven
