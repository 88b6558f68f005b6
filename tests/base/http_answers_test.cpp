// The client and the server on reused connections: no request may get the answer to
// another one, and no incomplete answer may pass for a complete one.

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <gtest/gtest.h>

#include <netinet/in.h>

#include "base/http.h"
#include "support/process.h"
#include "support/raw_connection.h"

namespace guavahaven {

namespace {

constexpr duration close_timeout = std::chrono::seconds(5);

void run_for(event_loop& loop, duration time)
{
    timer pause(loop, [&loop] { loop.stop(); });
    pause.arm(time);
    loop.run();
}

// Answers a request with fixed bytes, whatever it is, and then closes the connection if
// closes is set.
class scripted_server {
public:
    scripted_server(event_loop& loop, const http::address& at, std::string script, bool closes)
        : script_(std::move(script)), closes_(closes)
    {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(at.port_);
        where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = evconnlistener_new_bind(loop.base(), &scripted_server::accept, this,
                                            LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                            reinterpret_cast<const sockaddr*>(&where), sizeof where);
    }
    ~scripted_server()
    {
        for (bufferevent* stream : streams_)
            bufferevent_free(stream);
        evconnlistener_free(listener_);
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

private:
    static void accept(evconnlistener* l, evutil_socket_t fd, sockaddr*, int, void* self)
    {
        bufferevent* stream = bufferevent_socket_new(evconnlistener_get_base(l), fd, BEV_OPT_CLOSE_ON_FREE);
        static_cast<scripted_server*>(self)->streams_.push_back(stream);
        bufferevent_setcb(stream, &scripted_server::read, &scripted_server::written, nullptr, self);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    static void read(bufferevent* stream, void* self)
    {
        evbuffer* in = bufferevent_get_input(stream);
        evbuffer_drain(in, evbuffer_get_length(in));
        auto& s = *static_cast<scripted_server*>(self);
        s.answered_ = true;
        if (s.script_.empty())
            return written(stream, self);
        bufferevent_write(stream, s.script_.data(), s.script_.size());
    }
    static void written(bufferevent* stream, void* self)
    {
        auto& s = *static_cast<scripted_server*>(self);
        if (!s.closes_ || !s.answered_)
            return;
        std::erase(s.streams_, stream);
        bufferevent_free(stream);
    }

    std::string script_;
    bool closes_;
    bool answered_ = false;
    std::vector<bufferevent*> streams_;
    evconnlistener* listener_;
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

// The result that a client, which matches answers to requests by the header 'Id', gets
// when the server sends the script.
outcome answer_to(const std::string& script, bool closes)
{
    event_loop loop;
    const http::address at{"127.0.0.1", support::free_port()};
    const scripted_server server(loop, at, script, closes);
    http::client client(loop, at, 1, {code::backend_unreachable, ""}, error{code::answer_incomplete, ""},
                        {"Id", true});
    outcome seen;
    client.send({"GET", "/", {{"Id", "mine"}}, ""}, std::chrono::milliseconds(500),
                [&](const result<http::response>& r) {
                    seen = ok(r) ? outcome{code::ok, value(r).body_} : outcome{failure(r).code_, ""};
                    loop.stop();
                });
    loop.run();
    return seen;
}

} // namespace

TEST(http_client_answers, are_those_to_its_own_request)
{
    const std::string late = "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold";
    const std::string mine = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine";

    // A late answer to an earlier request is skipped
    EXPECT_EQ(answer_to(late + mine, false), (outcome{code::ok, "mine"}));
    EXPECT_EQ(answer_to(late, false).code_, code::answer_incomplete);
    // A successful answer without the header is an error; a refusal needs none
    EXPECT_EQ(answer_to("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false).code_,
              code::answer_incomplete);
    EXPECT_EQ(answer_to("HTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\nx", false), (outcome{code::ok, "x"}));
    // Bytes that aren't HTTP are an error
    EXPECT_EQ(answer_to("\x16\x03\x01 rubbish\r\n\r\n", false).code_, code::answer_incomplete);
    // When the connection is closed cleanly, an answer without a stated length is
    // complete, and one with a longer stated length is not
    EXPECT_EQ(answer_to("HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall", true), (outcome{code::ok, "all"}));
    EXPECT_EQ(answer_to("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nall", true).code_,
              code::answer_incomplete);
    EXPECT_EQ(answer_to("", true).code_, code::answer_incomplete);
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

} // namespace guavahaven
