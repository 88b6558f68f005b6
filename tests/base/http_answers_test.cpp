// The client and the server on reused connections: no request may get the answer to
// another one, and no incomplete answer may pass for a complete one.

#include <gtest/gtest.h>
#include <unistd.h>

#include "base/http.h"
#include "support/process.h"
#include "support/raw_connection.h"
#include "support/scripted_server.h"

namespace guavahaven {

namespace {

constexpr duration close_timeout = std::chrono::seconds(5);

void run_for(event_loop& loop, duration time)
{
    timer pause(loop, [&loop] { loop.stop(); });
    pause.arm(time);
    loop.run();
}

using ending = support::scripted_server::ending;

#ifdef __SANITIZE_ADDRESS__
constexpr bool frees_at_once = false; // the address sanitizer holds back freed memory
#else
constexpr bool frees_at_once = true;
#endif

// The most memory that this process holds while a loop runs, in MB above what it held before.
class peak_memory {
public:
    explicit peak_memory(event_loop& loop)
        : before_(support::resident_mb(getpid())), sample_(loop, [this] { sample(); })
    {
        sample();
    }
    double growth_mb() const { return peak_ - before_; }

private:
    void sample()
    {
        peak_ = std::max(peak_, support::resident_mb(getpid()));
        sample_.arm(std::chrono::milliseconds(10));
    }

    double before_;
    double peak_ = 0;
    timer sample_;
};

struct outcome {
    code code_ = code::ok;
    std::string body_;
    bool operator==(const outcome&) const = default;
};

std::ostream& operator<<(std::ostream& out, const outcome& t)
{
    return out << number(t.code_) << " '" << t.body_ << "'";
}

// A client that matches answers to requests by the header 'Id', and a server that sends scripts.
class conversation {
public:
    conversation(std::vector<support::scripted_server::scripts> per_connection, ending after_last)
        : server_(loop_, at_, std::move(per_connection), after_last)
    {
    }

    // The result of a request, which names the id unless it is empty.
    outcome ask(const std::string& id = "mine") { return ask_together({id}).front(); }
    // The results of requests that wait for the one connection together.
    std::vector<outcome> ask_together(const std::vector<std::string>& ids)
    {
        std::vector<outcome> seen;
        for (const std::string& id : ids) {
            const http::headers named = id.empty() ? http::headers{} : http::headers{{"Id", id}};
            client_.send(
                {"GET", "/", named, ""}, std::chrono::milliseconds(500),
                [&](const result<http::response>& r) {
                    seen.push_back(ok(r) ? outcome{code::ok, value(r).body_} : outcome{failure(r).code_, ""});
                    if (seen.size() == ids.size())
                        loop_.stop();
                });
        }
        loop_.run();
        return seen;
    }
    // The result of a request of a client that reads the answer in parts and keeps none of them.
    outcome read_parts()
    {
        outcome seen;
        client_.stream(1, {"GET", "/", {{"Id", "mine"}}, ""}, std::chrono::milliseconds(500),
                       [&](const http::response_event& e) {
                           const auto* failed = std::get_if<error>(&e);
                           const auto* start = std::get_if<http::response_start>(&e);
                           const auto* part = std::get_if<http::response_part>(&e);
                           seen.code_ = failed ? failed->code_ : code::ok;
                           if (failed || (start && start->complete_) || (part && part->complete_))
                               loop_.stop();
                       });
        loop_.run();
        return seen;
    }
    void settle() { run_for(loop_, std::chrono::milliseconds(50)); }
    support::scripted_server& server() { return server_; }
    double memory_growth_mb() const { return memory_.growth_mb(); }

private:
    event_loop loop_;
    peak_memory memory_{loop_};
    http::address at_{"127.0.0.1", support::free_port()};
    support::scripted_server server_;
    http::client client_{
        loop_, at_, 1, {code::backend_unreachable, ""}, error{code::answer_incomplete, ""}, {"Id", true}};
};

// The result that the client gets when the server sends the script, and then closes the connection if
// closes is set.
outcome answer_to(const std::string& script, bool closes)
{
    return conversation({{script}}, closes ? ending::closed : ending::kept).ask();
}

std::string message(const std::string& line, const std::string& id, const std::string& body)
{
    return "HTTP/1.1 " + line + "\r\n" + (id.empty() ? "" : "Id: " + id + "\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST(http_client_answers, are_those_to_its_own_request)
{
    const std::string late = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold";
    const std::string mine = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine";

    // A late answer to an earlier request is skipped
    EXPECT_EQ(answer_to(late + mine, false), (outcome{code::ok, "mine"}));
    EXPECT_EQ(answer_to(late, false).code_, code::answer_incomplete);
    // A successful answer without the header is an error
    EXPECT_EQ(answer_to("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false).code_,
              code::answer_incomplete);
    // Bytes that aren't HTTP are an error
    EXPECT_EQ(answer_to("\x16\x03\x01 rubbish\r\n\r\n", false).code_, code::answer_incomplete);
    // When the connection is closed cleanly, an answer without a stated length is
    // complete, and one with a longer stated length is not
    EXPECT_EQ(answer_to("HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall", true), (outcome{code::ok, "all"}));
    EXPECT_EQ(answer_to("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nall", true).code_,
              code::answer_incomplete);
    EXPECT_EQ(answer_to("", true).code_, code::answer_incomplete);
}

// A faulty server writes an earlier refusal once more. One that names no request would have told a caller
// 'not run, try again' for a request that was running.
TEST(http_client_answers, that_name_no_request_are_no_refusals_of_a_request_with_an_id)
{
    const std::string unnamed = message("503 Busy", "", "refused");
    // Given a request with an id, an answer that names none doesn't count, whatever its status
    for (const char* line : {"503 Busy", "429 Slow down", "421 Elsewhere", "400 Bad", "500 Failed"}) {
        SCOPED_TRACE(line);
        EXPECT_EQ(answer_to(message(line, "", "refused"), false).code_, code::answer_incomplete);
    }
    // And its connection isn't used again, as the server's answers to later requests can't be told apart
    conversation later({{unnamed, message("200 OK", "mine", "wrong")}, {message("200 OK", "mine", "mine")}},
                       ending::kept);
    EXPECT_EQ(later.ask().code_, code::answer_incomplete);
    EXPECT_EQ(later.ask(), (outcome{code::ok, "mine"}));
    EXPECT_EQ(later.server().connections(), 2U);
    // But a refusal that names the request counts
    EXPECT_EQ(answer_to(message("503 Busy", "mine", "refused"), false), (outcome{code::ok, "refused"}));
    // And a request without an id is told by an answer without one that it needs one
    EXPECT_EQ(conversation({{message("400 Bad", "", "no id")}}, ending::kept).ask(""),
              (outcome{code::ok, "no id"}));
    // And a late answer that names another request isn't the one to a request without an id
    EXPECT_EQ(conversation({{message("503 Busy", "old", "refused") + message("400 Bad", "", "no id")}},
                           ending::kept)
                  .ask(""),
              (outcome{code::ok, "no id"}));
}

// A faulty server writes an earlier refusal once more. If the refused request comes again and uses the same
// connection, the copy names it, so that a running request would count as not run.
TEST(http_client_answers, a_request_that_was_refused_is_not_sent_again_on_that_connection)
{
    const std::string refusal = message("503 Busy", "mine", "refused");
    const std::string answer = message("200 OK", "mine", "mine");

    {
        // Given a server that writes its refusal again, when the refused request comes again
        conversation again({{refusal, refusal + answer}, {answer}}, ending::kept);
        EXPECT_EQ(again.ask(), (outcome{code::ok, "refused"}));
        // Then the request gets its own answer, on another connection
        EXPECT_EQ(again.ask(), (outcome{code::ok, "mine"}));
        EXPECT_EQ(again.server().connections(), 2U);
    }
    {
        // Given that other requests were refused or answered on the connection in between
        conversation between(
            {{refusal, message("503 Busy", "b", "refused"), message("200 OK", "c", "c"), refusal + answer},
             {answer}},
            ending::kept);
        EXPECT_EQ(between.ask(), (outcome{code::ok, "refused"}));
        EXPECT_EQ(between.ask("b"), (outcome{code::ok, "refused"}));
        // Then these share the connection, but the refused request doesn't
        EXPECT_EQ(between.ask("c"), (outcome{code::ok, "c"}));
        EXPECT_EQ(between.server().connections(), 1U);
        EXPECT_EQ(between.ask(), (outcome{code::ok, "mine"}));
        EXPECT_EQ(between.server().connections(), 2U);
    }
    {
        // Given a copy that comes together with the answer to another request, then it is skipped
        conversation other({{refusal, refusal + message("200 OK", "b", "b")}}, ending::kept);
        EXPECT_EQ(other.ask(), (outcome{code::ok, "refused"}));
        EXPECT_EQ(other.ask("b"), (outcome{code::ok, "b"}));
        EXPECT_EQ(other.server().connections(), 1U);
    }
}

// A connection that remembered only its latest refusals would mix up the earlier ones, and one that
// remembered all would grow without bound.
TEST(http_client_answers, a_connection_with_many_refusals_is_replaced)
{
    // Given a server that refuses more requests than a connection remembers
    constexpr std::size_t remembered = 64;
    constexpr std::size_t requests = 3 * remembered;
    std::vector<support::scripted_server::scripts> refusals(requests / remembered);
    for (std::size_t i = 0; i < requests; ++i)
        refusals[i / remembered].push_back(message("503 Busy", std::to_string(i), "refused"));
    conversation busy(std::move(refusals), ending::kept);
    // Then each request gets its refusal, and each connection takes as many as it remembers
    for (std::size_t i = 0; i < requests; ++i)
        ASSERT_EQ(busy.ask(std::to_string(i)), (outcome{code::ok, "refused"})) << i;
    EXPECT_EQ(busy.server().connections(), requests / remembered);
}

// Bytes that arrive while no request waits belong to none: a refusal among them would count for the next.
TEST(http_client_answers, a_refusal_that_comes_again_closes_an_idle_connection)
{
    const std::string refusal = message("503 Busy", "mine", "refused");
    const std::string answer = message("200 OK", "mine", "mine");

    {
        // Given a copy that arrives while the connection is idle
        conversation late({{refusal, refusal}, {answer}}, ending::kept);
        EXPECT_EQ(late.ask(), (outcome{code::ok, "refused"}));
        late.server().send_unasked(refusal);
        late.settle();
        // Then the next request, also the same one, uses another connection
        EXPECT_EQ(late.ask(), (outcome{code::ok, "mine"}));
        EXPECT_EQ(late.server().connections(), 2U);
    }
    for (const std::string& copy : {refusal, refusal.substr(0, 20), std::string("\r\n")}) {
        SCOPED_TRACE(copy);
        // Given a copy, whole or cut, in the same read as the refusal
        conversation at_once({{refusal + copy, answer}, {answer}}, ending::kept);
        EXPECT_EQ(at_once.ask(), (outcome{code::ok, "refused"}));
        EXPECT_EQ(at_once.ask(), (outcome{code::ok, "mine"}));
        EXPECT_EQ(at_once.server().connections(), 2U);
    }
    // Given an answer that came before its request, which is sent as soon as the connection is free
    const std::string early = message("503 Busy", "next", "refused");
    conversation waiting({{refusal + early}, {message("200 OK", "next", "next")}}, ending::kept);
    EXPECT_EQ(waiting.ask_together({"mine", "next"}),
              (std::vector<outcome>{{code::ok, "refused"}, {code::ok, "next"}}));
}

// A server that breaks off before the end of its answer's head has said nothing about the body: a 200 with an
// empty or short body that looks whole would reach the caller.
TEST(http_client_answers, whose_head_is_cut_are_broken)
{
    const std::string late = message("200 OK", "old", "old");
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 12\r\n\r\n";
    const std::string unstated = "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n";
    // Given the beginnings of each head, at each byte
    std::vector<std::string> cut;
    for (const std::string& whole :
         {head, unstated, chunked, std::string("HTTP/1.1 103 Hints\r\nA: b\r\n\r\n")})
        for (std::size_t bytes = 0; bytes < whole.size(); ++bytes)
            cut.push_back(whole.substr(0, bytes));
    // And answers that are cut in a chunk's size, after a chunk, before the last line, or after an interim
    // head
    for (const char* body : {"", "1", "10", "10\r", "3\r\n", "3\r\nall", "3\r\nall\r\n", "3\r\nall\r\n0",
                             "3\r\nall\r\n0\r\n", "3\r\nall\r\n0\r\nA: b\r\n"})
        cut.push_back(chunked + body);
    for (const char* body : {"", "all"})
        cut.push_back(head + body);
    cut.push_back(interim);

    // When the connection is closed or reset there, also after the answer to another request or an interim
    // one
    for (const ending how : {ending::closed, ending::reset})
        for (const std::string& before : {std::string(), late, interim, late + interim})
            for (const std::string& bytes : cut) {
                SCOPED_TRACE(before + bytes);
                // Then the request has no answer
                EXPECT_EQ(conversation({{before + bytes}}, how).ask().code_, code::answer_incomplete);
            }
    // And an answer that ends with its connection is broken by a reset
    for (const char* body : {"", "all"})
        EXPECT_EQ(conversation({{unstated + body}}, ending::reset).ask().code_, code::answer_incomplete);
}

// A faulty server sends bytes that are no answer until the connection is closed. What is kept of them must
// not grow with them.
TEST(http_client_answers, that_never_end_are_broken_and_cost_bounded_memory)
{
    const std::string late = message("200 OK", "old", "old");
    const std::string chunked = "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto repeated = [](const std::string& of) {
        std::string all;
        while (all.size() < 64 * 1024)
            all += of;
        return all;
    };
    struct endless {
        std::string what_;
        std::string first_;
        std::string then_;
    };
    // Given servers that send without end
    for (const endless& e : {
             endless{"bytes that aren't HTTP", "", "\x16\x03\x01"},
             endless{"a status line", "HTTP/1.1 200 ", "x"},
             endless{"a field", "HTTP/1.1 200 OK\r\nA: ", "x"},
             endless{"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
             endless{"a status line after an answer to another request", late + "HTTP/1.1 200 ", "x"},
             endless{"a chunk's size", chunked, "0"},
             endless{"a chunk's extension", chunked + "1;", "x"},
             endless{"a field after the last chunk", chunked + "0\r\nA: ", "x"},
             endless{"fields after the last chunk", chunked + "0\r\n", "A: b\r\n"},
         })
        for (const bool in_parts : {false, true}) {
            SCOPED_TRACE(e.what_ + (in_parts ? " to a client that reads in parts" : ""));
            conversation c({{e.first_ + e.then_, repeated(e.then_)}}, ending::repeated);
            // When a client waits for its answer, then it has none, and it has read no more than the largest
            // head, or as far ahead as it may
            EXPECT_EQ((in_parts ? c.read_parts() : c.ask()).code_, code::answer_incomplete);
            constexpr std::size_t allowed = 16UL * 1024 * 1024; // mostly the sockets' buffers
            EXPECT_LT(c.server().bytes_written(), allowed);
        }
    // And those that send what is skipped, which only the timeout ends
    for (const endless& e : {
             endless{"answers to other requests", late, late},
             endless{"interim heads", "HTTP/1.1 103 Hints\r\n\r\n", "HTTP/1.1 103 Hints\r\n\r\n"},
             endless{"the body of another request's answer", "HTTP/1.1 200 OK\r\nId: old\r\n\r\n", "x"},
         })
        for (const bool in_parts : {false, true}) {
            SCOPED_TRACE(e.what_ + (in_parts ? " to a client that reads in parts" : ""));
            conversation c({{e.first_, repeated(e.then_)}}, ending::repeated);
            EXPECT_EQ((in_parts ? c.read_parts() : c.ask()).code_, code::answer_incomplete);
            constexpr double allowed_mb = 20;
            if (frees_at_once) {
                EXPECT_LT(c.memory_growth_mb(), allowed_mb);
            }
        }
}

class http_server : public testing::Test {
protected:
    http_server()
        : server_(loop_, {}, [this](const std::shared_ptr<http::exchange>& e) {
              e->on_disconnect([this, target = e->received().target_] { gone_ += target; });
              exchanges_.push_back(e);
          })
    {
        EXPECT_TRUE(ok(server_.listen(at_)));
    }
    void settle() { run_for(loop_, std::chrono::milliseconds(50)); }

    event_loop loop_;
    http::address at_{"127.0.0.1", support::free_port()};
    std::vector<std::shared_ptr<http::exchange>> exchanges_;
    std::string gone_;
    http::server server_;
};

TEST_F(http_server, answers_requests_sent_ahead_in_their_order)
{
    support::raw_connection caller(at_);
    ASSERT_TRUE(caller.send(
        "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nPOST /c HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
    settle();
    // GET is safe to repeat, so both start at once; POST starts when it is the oldest
    ASSERT_EQ(exchanges_.size(), 2U);
    exchanges_[1]->reply({200, {}, "second"});
    settle();
    EXPECT_EQ(caller.read_some(1000, std::chrono::milliseconds(50)), "");
    exchanges_[0]->reply({200, {}, "first"});
    settle();
    const std::string& got = caller.read_until("second");
    EXPECT_LT(got.find("first"), got.find("second"));
    ASSERT_EQ(exchanges_.size(), 3U);
    EXPECT_EQ(exchanges_[2]->received().method_, "POST");
    exchanges_[2]->reply({200, {}, ""});
}

TEST_F(http_server, notices_a_close_behind_requests_that_wait)
{
    {
        support::raw_connection caller(at_);
        ASSERT_TRUE(caller.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"));
        settle();
        ASSERT_EQ(exchanges_.size(), 2U);
    }
    settle();
    EXPECT_EQ(gone_, "/a/b");
    EXPECT_FALSE(exchanges_[0]->open());
}

// A caller that breaks off in a request's head has asked for nothing: what is there of it must not be
// handled.
TEST_F(http_server, handles_no_request_that_is_cut)
{
    const std::string whole = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
    // Given callers that send the beginning of a request, up to each byte, and close, also behind a whole one
    for (std::size_t bytes = 0; bytes < whole.size(); ++bytes) {
        support::raw_connection caller(at_);
        ASSERT_TRUE(caller.send(whole.substr(0, bytes)));
        support::raw_connection behind(at_);
        ASSERT_TRUE(behind.send("GET /b HTTP/1.1\r\n\r\n" + whole.substr(0, bytes)));
        run_for(loop_, std::chrono::milliseconds(5));
    }
    settle();
    // Then only the whole ones are handled
    EXPECT_EQ(exchanges_.size(), whole.size());
    for (const auto& e : exchanges_)
        EXPECT_EQ(e->received().target_, "/b");
}

TEST_F(http_server, closes_after_the_answer_that_says_so)
{
    support::raw_connection caller(at_);
    ASSERT_TRUE(caller.send("GET /a HTTP/1.1\r\n\r\n"));
    settle();
    ASSERT_EQ(exchanges_.size(), 1U);
    exchanges_[0]->reply({200, {{"Connection", "close"}}, "last"});
    settle();
    EXPECT_NE(caller.read_until("last").find("Connection: close"), std::string::npos);
    EXPECT_TRUE(caller.wait_closed(close_timeout));
    EXPECT_FALSE(caller.was_reset());
}

// Guards against dropping requests sent ahead that the handler has got, once the server closes connections.
TEST_F(http_server, closes_only_after_the_answers_to_all_requests_that_were_passed_on)
{
    // Given two requests at the handler, and one that waits behind them
    support::raw_connection caller(at_);
    ASSERT_TRUE(caller.send(
        "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nPOST /c HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
    settle();
    ASSERT_EQ(exchanges_.size(), 2U);

    // When the server is to close its connections, and a further request comes
    server_.close_after_answer();
    ASSERT_TRUE(caller.send("GET /d HTTP/1.1\r\n\r\n"));
    settle();
    EXPECT_EQ(exchanges_.size(), 2U);
    exchanges_[0]->reply({200, {}, "first"});
    settle();
    exchanges_[1]->reply({200, {}, "second"});
    settle();

    // Then both are answered, the second one closes the connection, and no other reaches the handler
    EXPECT_TRUE(caller.wait_closed(close_timeout));
    const std::string& got = caller.received();
    EXPECT_NE(got.find("first"), std::string::npos);
    EXPECT_NE(got.find("second"), std::string::npos);
    EXPECT_GT(got.find("Connection: close"), got.find("first"));
    EXPECT_EQ(exchanges_.size(), 2U);
    EXPECT_EQ(gone_, "");
}

// Guards against closing connections on which a caller still expects something.
TEST_F(http_server, closes_idle_connections_alone)
{
    // Given an idle connection, one with a request under way, and one with a part of a request
    support::raw_connection idle(at_);
    support::raw_connection waiting(at_);
    support::raw_connection arriving(at_);
    ASSERT_TRUE(waiting.send("GET /a HTTP/1.1\r\n\r\n"));
    ASSERT_TRUE(arriving.send("GET /b HTTP"));
    settle();
    ASSERT_EQ(exchanges_.size(), 1U);

    // When idle connections are closed
    server_.close_idle();
    settle();

    // Then the others are served
    EXPECT_TRUE(idle.wait_closed(close_timeout));
    EXPECT_FALSE(idle.was_reset());
    exchanges_[0]->reply({200, {}, "first"});
    ASSERT_TRUE(arriving.send("/1.1\r\n\r\n"));
    settle();
    EXPECT_NE(waiting.read_until("first").find(" 200 "), std::string::npos);
    ASSERT_EQ(exchanges_.size(), 2U);
    exchanges_[1]->reply({200, {}, "second"});
    settle();
    EXPECT_NE(arriving.read_until("second").find(" 200 "), std::string::npos);
}

} // namespace guavahaven
