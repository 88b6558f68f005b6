// Whose answer is whose, on kept connections: the server's side and the client's.

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

constexpr duration long_enough = std::chrono::seconds(5);

void run_for(event_loop& loop, duration time)
{
    timer pause(loop, [&loop] { loop.stop(); });
    pause.arm(time);
    loop.run();
}

// Sends fixed bytes on each connection once a request has come, then closes if asked to.
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

struct told {
    code code_ = code::ok;
    std::string body_;
    bool operator==(const told&) const = default;
};

std::ostream& operator<<(std::ostream& out, const told& t)
{
    return out << number(t.code_) << " '" << t.body_ << "'";
}

// What a client that tells answers apart by 'Id' makes of a script.
told answer_to(const std::string& script, bool closes)
{
    event_loop loop;
    const http::address at{"127.0.0.1", support::free_port()};
    const scripted_server server(loop, at, script, closes);
    http::client client(loop, at, 1, {code::backend_unreachable, ""}, error{code::answer_incomplete, ""},
                        {"Id", true});
    told seen;
    client.send({"GET", "/", {{"Id", "mine"}}, ""}, std::chrono::milliseconds(500),
                [&](const result<http::response>& r) {
                    seen = ok(r) ? told{code::ok, value(r).body_} : told{failure(r).code_, ""};
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

    // A late answer to an earlier request is passed over
    EXPECT_EQ(answer_to(late + mine, false), (told{code::ok, "mine"}));
    EXPECT_EQ(answer_to(late, false).code_, code::answer_incomplete);
    // A success that names no request is nobody's; a refusal may do without
    EXPECT_EQ(answer_to("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", false).code_,
              code::answer_incomplete);
    EXPECT_EQ(answer_to("HTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\nx", false), (told{code::ok, "x"}));
    // What isn't HTTP is no answer
    EXPECT_EQ(answer_to("\x16\x03\x01 rubbish\r\n\r\n", false).code_, code::answer_incomplete);
    // An answer without a length is whole at a clean close, one with a length is not
    EXPECT_EQ(answer_to("HTTP/1.1 200 OK\r\nId: mine\r\n\r\nall", true), (told{code::ok, "all"}));
    EXPECT_EQ(answer_to("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 9\r\n\r\nall", true).code_,
              code::answer_incomplete);
    EXPECT_EQ(answer_to("", true).code_, code::answer_incomplete);
}

class server_story : public testing::Test {
protected:
    server_story()
        : server_(loop_, {}, [this](const std::shared_ptr<http::exchange>& e) {
              e->on_gone([this, target = e->received().target_] { gone_ += target; });
              held_.push_back(e);
          })
    {
        EXPECT_TRUE(ok(server_.listen(at_)));
    }
    void settle() { run_for(loop_, std::chrono::milliseconds(50)); }

    event_loop loop_;
    http::address at_{"127.0.0.1", support::free_port()};
    std::vector<std::shared_ptr<http::exchange>> held_;
    std::string gone_;
    http::server server_;
};

TEST_F(server_story, answers_requests_sent_ahead_in_their_order)
{
    support::raw_connection caller(at_);
    ASSERT_TRUE(caller.send(
        "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nPOST /c HTTP/1.1\r\nContent-Length: 0\r\n\r\n"));
    settle();
    // What may be repeated begins at once, the rest when its turn has come
    ASSERT_EQ(held_.size(), 2U);
    held_[1]->reply({200, {}, "second"});
    settle();
    EXPECT_EQ(caller.read_some(1000, std::chrono::milliseconds(50)), "");
    held_[0]->reply({200, {}, "first"});
    settle();
    const std::string& got = caller.read_until("second");
    EXPECT_LT(got.find("first"), got.find("second"));
    ASSERT_EQ(held_.size(), 3U);
    EXPECT_EQ(held_[2]->received().method_, "POST");
    held_[2]->reply({200, {}, ""});
}

TEST_F(server_story, notices_a_close_behind_requests_that_wait)
{
    {
        support::raw_connection caller(at_);
        ASSERT_TRUE(caller.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"));
        settle();
        ASSERT_EQ(held_.size(), 2U);
    }
    settle();
    EXPECT_EQ(gone_, "/a/b");
    EXPECT_FALSE(held_[0]->open());
}

TEST_F(server_story, closes_after_the_answer_that_says_so)
{
    support::raw_connection caller(at_);
    ASSERT_TRUE(caller.send("GET /a HTTP/1.1\r\n\r\n"));
    settle();
    ASSERT_EQ(held_.size(), 1U);
    held_[0]->reply({200, {{"Connection", "close"}}, "last"});
    settle();
    EXPECT_NE(caller.read_until("last").find("Connection: close"), std::string::npos);
    EXPECT_TRUE(caller.wait_closed(long_enough));
    EXPECT_FALSE(caller.was_reset());
}

} // namespace guavahaven
