// What a backend server states of itself in its answers, beside what it announces. Guards against a daemon
// that goes on sending requests to a backend server that has said that it leaves, or that takes only few.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "backend/connector.h"
#include "base/http.h"
#include "operator/rules.h"
#include "protocol.h"
#include "support/process.h"

namespace guavahaven::platform {

namespace {

constexpr const char* rules = R"(
class lookup deadline 400ms           # office
service board version *               # office
route GET /shifts/* to board as lookup # office
)";

class stating_backend_server : public testing::Test {
protected:
    stating_backend_server()
        : at_{"127.0.0.1", support::free_port()}, control_{"127.0.0.1", support::free_port()},
          server_(loop_, {},
                  [this](const std::shared_ptr<http::exchange>& e) {
                      ++received_;
                      http::response r{200, headers_, "ok"};
                      r.headers_.push_back({"X-Server-Seal", "3e1b"});
                      r.headers_.push_back(
                          {"X-Attempt-Id", http::find_header(e->received().headers_, "X-Attempt-Id")});
                      e->reply(r);
                  }),
          connector_(
              loop_, metrics_, {control_, std::chrono::seconds(6), backend_protocol()},
              decide::gate(daemon_name("10.0.0.1:1"), incarnation(1), data_center_name("leon"), clock_.now()),
              {[this](const daemon_name&, const decide::gate_to_entry& m) { replies_.push_back(m); },
               [](const auto&, const auto&, bool) {},
               [this](const decide::own_backend& b) { announced_.push_back(b); }})
    {
        EXPECT_TRUE(ok(server_.listen(at_)));
        EXPECT_TRUE(ok(connector_.listen()));
        auto known = std::make_shared<decide::view>();
        known->configuration_ = std::make_shared<const decide::configuration>(
            guavahaven::take(operators::parse_record({configuration_number(1), "tests", 1, rules})));
        connector_.handle(decide::gate_view_changed{known});
        announce(1);
    }

    void settle()
    {
        timer pause(loop_, [this] { loop_.stop(); });
        pause.arm(std::chrono::milliseconds(60));
        loop_.run();
    }

    void announce(int sequence, const std::string& instance = "i-1", std::int64_t born = 1'700'000'000'000)
    {
        const nlohmann::json body = {
            {"address", http::to_string(at_)},
            {"born", born},
            {"info", {{"service", "board"}, {"version", "v1"}, {"zone", "leon"}, {"maxConcurrency", 12}}},
            {"status", {{"state", "ready"}, {"sequence", sequence}, {"warmupLeftS", 0}}}};
        http::client client(loop_, control_, 1, error{code::backend_unreachable, ""});
        int status = 0;
        client.send({"PUT", "/instances/" + instance, {{"Content-Type", "application/json"}}, body.dump()},
                    std::chrono::seconds(1),
                    [&](const result<http::response>& r) { status = ok(r) ? value(r).status_ : 0; });
        settle();
        EXPECT_EQ(status, 200);
    }

    // Sends one call; returns how the gate refused it, or ok if it ran.
    code call()
    {
        decide::call c;
        c.id_ = {incarnation(7), ++sequence_};
        c.gate_ = incarnation(1);
        c.identity_ = "attempt-" + std::to_string(sequence_);
        c.service_ = service_name("board");
        c.version_ = version_name("*");
        c.class_ = class_name("lookup");
        c.route_ = "* /shifts";
        c.remaining_ = std::chrono::milliseconds(400);
        c.request_ = {"GET", "/shifts/1", {{"X-Attempt-Id", c.identity_}}, ""};
        replies_.clear();
        connector_.handle(decide::call_message{daemon_name("10.0.0.2:1"), c});
        settle();
        for (const decide::gate_to_entry& m : replies_)
            if (const auto* r = std::get_if<decide::refusal>(&m))
                return r->code_;
        return code::ok;
    }

    event_loop loop_;
    runtime_clock clock_;
    metrics metrics_;
    http::address at_;
    http::address control_;
    http::headers headers_; // that the backend server adds to its answers
    int received_ = 0;
    http::server server_;
    std::vector<decide::gate_to_entry> replies_;
    std::vector<decide::own_backend> announced_;
    backend::connector connector_;
    std::uint64_t sequence_ = 0;
};

} // namespace

TEST_F(stating_backend_server, gets_no_request_once_it_has_said_that_it_leaves)
{
    ASSERT_EQ(call(), code::ok);
    ASSERT_FALSE(announced_.back().draining_);
    // When an answer says that it leaves, that answer is delivered
    headers_ = {{"Server-Leaving", "1"}};
    EXPECT_EQ(call(), code::ok);
    // Then the mesh learns that it leaves, and no further request reaches it
    EXPECT_TRUE(announced_.back().draining_);
    const int received = received_;
    EXPECT_EQ(call(), code::draining);
    EXPECT_EQ(received_, received);
    {
        SCOPED_TRACE("A heartbeat that still says that it is ready does not bring it back");
        announce(2);
        announce(9);
        EXPECT_TRUE(announced_.back().draining_);
        EXPECT_EQ(call(), code::draining);
    }
    {
        SCOPED_TRACE("Another start of it does");
        headers_.clear();
        announce(1, "i-1", 1'700'000'009'000);
        EXPECT_FALSE(announced_.back().draining_);
        EXPECT_EQ(call(), code::ok);
    }
}

TEST_F(stating_backend_server, sets_its_own_limit_for_as_long_as_its_answers_say_so)
{
    headers_ = {{"Server-Limit", "2.5"}};
    ASSERT_EQ(call(), code::ok);
    EXPECT_EQ(connector_.state().load().limit_, 1U);
    headers_.clear();
    while (call() != code::ok) {
    }
    EXPECT_GT(connector_.state().load().limit_, 1U);
    for (const char* unreadable :
         {"", "-4", "nan", "inf", "1e999", "12x", "0x10", "99999999999999999999999999e"}) {
        SCOPED_TRACE(unreadable);
        headers_ = {{"Server-Limit", unreadable}};
        EXPECT_EQ(call(), code::ok);
        EXPECT_GT(connector_.state().load().limit_, 1U);
    }
}

} // namespace guavahaven::platform
