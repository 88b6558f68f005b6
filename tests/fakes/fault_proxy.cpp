// Fault-injecting proxy between processes: passes TCP bytes from each listening
// port to its target, and delays, cuts or silences them on command.
//
//   POST /set?port=LISTEN&mode=pass|cut|silence|drop_answers[&delay_ms=N][&source=NAME]
//
// Modes, for connections through a listening port:
//   pass          bytes go on, after the delay if one is set
//   cut           open connections close, new ones are refused
//   silence       open connections accept bytes and deliver none; new ones pass
//   drop_answers  what callers send goes on; what comes back, but for the first frame (the target's
//                 hello), is dropped and the connection closed
// With source, only connections whose first frame is a hello by that daemon are meant.

#include <arpa/inet.h>
#include <docopt/docopt.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

#include <cstring>
#include <deque>
#include <iostream>
#include <list>
#include <map>
#include <set>
#include <utility>

#include "base/http.h"
#include "peer/message.h"

namespace {

using namespace guavahaven;

constexpr const char* usage = R"(fake-fault-proxy: passes bytes on, with faults.

Usage: fake-fault-proxy --control=PORT LINK...

LINK is LISTEN_PORT=TARGET_PORT; both are on 127.0.0.1.
)";

enum class mode { pass, cut, silence, drop_answers };

struct stream_deleter {
    void operator()(bufferevent* b) const { bufferevent_free(b); }
};
using stream = std::unique_ptr<bufferevent, stream_deleter>;

struct route;

// Bytes on their way; those of a connection keep their order whatever its delay.
struct delayed_bytes {
    bufferevent* to_ = nullptr;
    time_point due_;
    std::string bytes_;
};

// One connection through the proxy.
struct passage {
    route* route_ = nullptr;
    stream caller_;
    stream target_;
    peer::frame_reader reader_; // until the first frame is known
    std::string source_;
    bool source_known_ = false;
    bool silenced_ = false;
    bool greeted_ = false; // the target's first bytes have come
    std::deque<delayed_bytes> delayed_;
    std::unique_ptr<timer> timer_;
};

struct route {
    std::uint16_t target_ = 0;
    mode mode_ = mode::pass;
    std::map<std::string, mode> by_source_;
    duration delay_{};
    std::list<std::unique_ptr<passage>> passages_;
};

class fault_proxy {
public:
    explicit fault_proxy(event_loop& loop)
        : loop_(loop), control_(loop, {}, [this](const auto& e) { control(*e); })
    {
    }

    bool listen_control(std::uint16_t port) { return ok(control_.listen({"127.0.0.1", port})); }

    bool add(std::uint16_t port, std::uint16_t target)
    {
        route& r = routes_[port];
        r.target_ = target;
        const sockaddr_in at = local(port);
        accepting_.push_back({this, &r});
        return evconnlistener_new_bind(loop_.base(), &fault_proxy::accepted, &accepting_.back(),
                                       LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE, -1,
                                       reinterpret_cast<const sockaddr*>(&at), sizeof at) != nullptr;
    }

private:
    struct accepting {
        fault_proxy* proxy_;
        route* route_;
    };

    static sockaddr_in local(std::uint16_t port)
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return at;
    }

    static mode mode_of(const passage& p)
    {
        const auto found = p.route_->by_source_.find(p.source_);
        return found == p.route_->by_source_.end() ? p.route_->mode_ : found->second;
    }

    static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* at)
    {
        auto& a = *static_cast<accepting*>(at);
        a.proxy_->open(*a.route_, fd);
    }

    void open(route& r, evutil_socket_t fd)
    {
        if (r.mode_ == mode::cut) {
            evutil_closesocket(fd);
            return;
        }
        r.passages_.push_back(std::make_unique<passage>());
        passage& p = *r.passages_.back();
        p.route_ = &r;
        p.caller_.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
        p.target_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
        bufferevent_setcb(p.caller_.get(), &fault_proxy::from_caller, nullptr, &fault_proxy::closed, &p);
        bufferevent_setcb(p.target_.get(), &fault_proxy::from_target, nullptr, &fault_proxy::closed, &p);
        const sockaddr_in to = local(r.target_);
        bufferevent_socket_connect(p.target_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
        const int on = 1;
        for (bufferevent* b : {p.caller_.get(), p.target_.get()}) {
            setsockopt(bufferevent_getfd(b), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            bufferevent_enable(b, EV_READ | EV_WRITE);
        }
        running = this;
    }

    static std::string drain(bufferevent* from)
    {
        evbuffer* in = bufferevent_get_input(from);
        std::string bytes(evbuffer_get_length(in), '\0');
        evbuffer_remove(in, bytes.data(), bytes.size());
        return bytes;
    }

    static void learn_source(passage& p, const std::string& bytes)
    {
        if (p.source_known_)
            return;
        p.reader_.append(bytes);
        const auto first = p.reader_.next();
        if (!first)
            return;
        p.source_known_ = true;
        if (ok(*first))
            if (const auto* greeting = std::get_if<peer::hello>(&value(*first)))
                p.source_ = greeting->name_.str();
    }

    static void from_caller(bufferevent*, void* at)
    {
        auto& p = *static_cast<passage*>(at);
        const std::string bytes = drain(p.caller_.get());
        learn_source(p, bytes);
        if (mode_of(p) == mode::cut)
            return close(p);
        running->pass(p, p.target_.get(), bytes);
    }

    static void from_target(bufferevent*, void* at)
    {
        auto& p = *static_cast<passage*>(at);
        const std::string bytes = drain(p.target_.get());
        const bool greeting = !std::exchange(p.greeted_, true);
        if ((mode_of(p) == mode::drop_answers && !greeting) || mode_of(p) == mode::cut)
            return close(p);
        running->pass(p, p.caller_.get(), bytes);
    }

    void pass(passage& p, bufferevent* to, const std::string& bytes)
    {
        if (p.silenced_)
            return;
        if (p.route_->delay_ == duration::zero() && p.delayed_.empty()) {
            bufferevent_write(to, bytes.data(), bytes.size());
            return;
        }
        const time_point earliest = p.delayed_.empty() ? time_point() : p.delayed_.back().due_;
        p.delayed_.push_back({to, std::max(earliest, clock_.now() + p.route_->delay_), bytes});
        if (!p.timer_)
            p.timer_ = std::make_unique<timer>(loop_, [this, &p] { release(p); });
        if (p.delayed_.size() == 1)
            p.timer_->arm(p.route_->delay_);
    }

    // Sends on what is due.
    void release(passage& p)
    {
        const time_point now = clock_.now();
        while (!p.delayed_.empty() && p.delayed_.front().due_ <= now) {
            const delayed_bytes& d = p.delayed_.front();
            if (!p.silenced_)
                bufferevent_write(d.to_, d.bytes_.data(), d.bytes_.size());
            p.delayed_.pop_front();
        }
        if (!p.delayed_.empty())
            p.timer_->arm(std::max(p.delayed_.front().due_ - now, duration(1)));
    }

    static void closed(bufferevent*, short what, void* at)
    {
        auto& p = *static_cast<passage*>(at);
        if (p.silenced_ || !(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
            return; // the ends of a silent connection learn nothing of each other
        close(p);
    }

    static void close(passage& p)
    {
        p.route_->passages_.remove_if([&](const auto& x) { return x.get() == &p; });
    }

    void control(http::exchange& e)
    {
        const std::string& target = e.received().target_;
        const std::string port = http::query_parameter(target, "port");
        const auto at =
            port.empty() ? routes_.end() : routes_.find(static_cast<std::uint16_t>(std::stoul(port)));
        static const std::map<std::string, mode> modes{{"pass", mode::pass},
                                                       {"cut", mode::cut},
                                                       {"silence", mode::silence},
                                                       {"drop_answers", mode::drop_answers}};
        const auto wanted = modes.find(http::query_parameter(target, "mode"));
        if (at == routes_.end() || wanted == modes.end())
            return e.reply({400, {}, "unknown port or mode\n"});
        set(at->second, wanted->second, http::query_parameter(target, "source"));
        if (const std::string delay = http::query_parameter(target, "delay_ms"); !delay.empty())
            at->second.delay_ = std::chrono::milliseconds(std::stoul(delay));
        e.reply({200, {}, ""});
    }

    static void set(route& r, mode wanted, const std::string& source)
    {
        if (source.empty()) {
            r.mode_ = wanted == mode::silence ? mode::pass : wanted;
            r.by_source_.clear();
        }
        else
            r.by_source_[source] = wanted == mode::silence ? mode::pass : wanted;
        const auto meant = [&](const passage& p) { return source.empty() || p.source_ == source; };
        for (const auto& p : r.passages_)
            if (wanted == mode::silence && meant(*p))
                p->silenced_ = true;
        if (wanted == mode::cut)
            r.passages_.remove_if([&](const auto& p) { return meant(*p); });
    }

    static inline fault_proxy* running = nullptr;

    event_loop& loop_;
    runtime_clock clock_;
    http::server control_;
    std::map<std::uint16_t, route> routes_;
    std::list<accepting> accepting_;
};

} // namespace

int main(int argc, char** argv)
{
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc});
    event_loop loop;
    fault_proxy proxy(loop);
    if (!proxy.listen_control(static_cast<std::uint16_t>(args.at("--control").asLong())))
        return 1;
    for (const std::string& link : args.at("LINK").asStringList()) {
        const std::size_t equals = link.find('=');
        const auto from = static_cast<std::uint16_t>(std::stoul(link.substr(0, equals)));
        if (!proxy.add(from, static_cast<std::uint16_t>(std::stoul(link.substr(equals + 1)))))
            return 1;
    }
    loop.on_stop_signal([&loop] { loop.stop(); });
    loop.run();
    return 0;
}
