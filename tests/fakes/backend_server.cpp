// Stand-in for a backend server: announces itself to the daemon beside it,
// runs requests in a bounded number of slots, and writes a journal line for
// each run. Faults are switched on over its control path.
//
//   POST
//   /control?fail=PERCENT&fail_status=N&slow_ms=N&fail_path=PATH&only_above=N&cold=0|1&draining=0|1&silent=0|1&crash_path=PATH
//     only_above: fail and slow_ms act for runs that find N others in flight, or more
//   GET  /health
//   any other path: a run. Header Call-Chain: N makes the run call PATH once
//   more through its daemon, with N-1.
//
// Journal: 'MICROSECONDS EVENT VERSION IDENTITY METHOD PATH'; events are run,
// done, failed, shed, over (above what it bears while cold), cancelled, crash.

#include <docopt/docopt.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <random>

#include "base/clock.h"
#include "base/http.h"

namespace {

using namespace guavahaven;

constexpr const char* usage = R"(fake-backend-server: stand-in for a backend server.

Usage: fake-backend-server --port=PORT --daemon=ADDRESS --callers=ADDRESS --service=NAME --version=NAME
                           --journal=FILE [--slots=N] [--connections=N] [--work-ms=N] [--cold-slots=N]
                           [--cold-ms=N] [--seed=N]

Options:
  --daemon=ADDRESS   Backend port of the daemon beside it.
  --callers=ADDRESS  Caller port of that daemon, for call chains.
  --slots=N          Requests at once [default: 12].
  --connections=N    Connections at once [default: 120].
  --work-ms=N        Time of one run [default: 2].
  --cold-slots=N     Requests at once that it bears while cold [default: 3].
  --cold-ms=N        Time at work until it is warm [default: 0].
  --seed=N           Of its random choices [default: 1].
)";

struct settings {
    std::uint16_t port_ = 0;
    http::address daemon_;
    http::address callers_;
    std::string service_;
    std::string version_;
    std::string journal_;
    std::size_t slots_ = 0;
    std::size_t connections_ = 0;
    duration work_{};
    std::size_t cold_slots_ = 0;
    duration cold_{};
};

class backend_stand_in {
public:
    backend_stand_in(event_loop& loop, settings s, std::uint64_t seed)
        : loop_(loop), settings_(std::move(s)), random_(seed), journal_(settings_.journal_, std::ios::app),
          warm_at_(clock_.now() + settings_.cold_), server_(loop, {}, [this](const auto& e) { receive(e); }),
          announcer_(loop, settings_.daemon_, 1, {code::peer_unreachable, ""}),
          callers_(loop, settings_.callers_, settings_.slots_, {code::peer_unreachable, ""}),
          direct_(loop, {"127.0.0.1", settings_.port_}, settings_.slots_, {code::peer_unreachable, ""}),
          announce_timer_(loop, [this] { announce(); })
    {
    }

    bool listen()
    {
        if (!ok(server_.listen({"127.0.0.1", settings_.port_})))
            return false;
        announce();
        return true;
    }

private:
    using exchange_ptr = std::shared_ptr<http::exchange>;
    static constexpr duration announce_interval = std::chrono::milliseconds(500);
    static constexpr duration cut_delay = std::chrono::milliseconds(100);
    static constexpr duration call_timeout = std::chrono::seconds(30);

    struct run {
        exchange_ptr exchange_;
        std::unique_ptr<timer> timer_;
        bool failing_ = false;
    };

    void announce()
    {
        const std::string target =
            "/announce?service=" + settings_.service_ + "&version=" + settings_.version_ +
            "&port=" + std::to_string(settings_.port_) + "&slots=" + std::to_string(settings_.slots_) +
            "&connections=" + std::to_string(settings_.connections_) + "&start=" + std::to_string(getpid()) +
            (draining_ ? "&state=draining" : "");
        if (!silent_ && announcer_.in_flight() == 0)
            announcer_.send({"POST", target, {}, ""}, announce_interval, [](const auto&) {});
        announce_timer_.arm(announce_interval);
    }

    void note(const char* event, const http::request& r)
    {
        std::string identity = http::find_header(r.headers_, "Request-Id");
        if (identity.empty())
            identity = "-";
        journal_ << clock_.wall().time_since_epoch().count() << ' ' << event << ' ' << settings_.version_
                 << ' ' << identity << ' ' << r.method_ << ' ' << r.target_ << std::endl;
    }

    std::size_t borne() const
    {
        return clock_.now() < warm_at_ ? std::min(settings_.cold_slots_, settings_.slots_) : settings_.slots_;
    }

    void receive(const exchange_ptr& e)
    {
        const std::string path = http::path_of(e->received().target_);
        if (path == "/control")
            return control(e);
        if (path == "/health")
            return e->reply({200, {}, "ok\n"});
        if (!crash_path_.empty() && path == crash_path_) {
            note("crash", e->received());
            _exit(3);
        }
        if (runs_.size() >= borne()) {
            const bool cold = borne() < settings_.slots_;
            note(cold ? "over" : "shed", e->received());
            return e->reply({503, {}, "busy\n"});
        }
        start(e);
    }

    void start(const exchange_ptr& e)
    {
        note("run", e->received());
        const std::uint64_t id = ++last_run_;
        const std::string chain = http::find_header(e->received().headers_, "Call-Chain");
        const bool ends_chain = chain.empty() || chain == "0";
        const bool busy = runs_.size() >= only_above_;
        const bool on_path =
            busy && (fail_path_.empty() || fail_path_ == http::path_of(e->received().target_));
        run& r = runs_[id];
        r.exchange_ = e;
        r.failing_ = on_path && ends_chain &&
                     std::uniform_int_distribution<std::uint64_t>(1, 100)(random_) <= fail_percent_;
        e->on_disconnect([this, id] {
            const auto at = runs_.find(id);
            if (at == runs_.end())
                return;
            note("cancelled", at->second.exchange_->received());
            runs_.erase(at);
        });
        r.timer_ = std::make_unique<timer>(loop_, [this, id] { work_done(id); });
        r.timer_->arm(settings_.work_ + (on_path ? slow_ : duration::zero()));
    }

    // Names the request that was run; parameter bytes asks for a body of that
    // size, a repetition of the target.
    http::response own_answer(const http::request& r) const
    {
        http::response answer{200, {{"Ran-Target", r.target_}}, settings_.version_ + "\n"};
        const std::string size = http::query_parameter(r.target_, "bytes");
        if (size.empty())
            return answer;
        answer.body_.clear();
        while (answer.body_.size() < std::stoul(size))
            answer.body_ += r.target_;
        return answer;
    }

    // The answer of a call in a chain; a failure keeps the header that says it was retried below.
    static http::response passed_on(const http::response& r)
    {
        http::response answer{r.status_, {}, r.body_};
        const std::string retried = http::find_header(r.headers_, "Guavahaven-Retried");
        if (!retried.empty())
            answer.headers_.push_back({"Guavahaven-Retried", retried});
        return answer;
    }

    void work_done(std::uint64_t id)
    {
        const http::request& received = runs_.at(id).exchange_->received();
        const std::string chain = http::find_header(received.headers_, "Call-Chain");
        const int left = chain.empty() ? 0 : std::stoi(chain);
        if (left == 0)
            return finish(id, own_answer(received));
        http::request next = received;
        next.headers_ = http::end_to_end(received.headers_);
        std::erase_if(next.headers_, [](const http::header& h) { return h.name_ == "Call-Chain"; });
        next.headers_.push_back({"Call-Chain", std::to_string(left - 1)});
        const std::string tries = http::find_header(received.headers_, "Plain-Tries");
        if (tries.empty())
            callers_.send(next, call_timeout, [this, id](const auto& r) { finish_chain(id, r); });
        else
            call_plainly(id, next, std::stoi(tries));
    }

    // The plain choice that the daemons are measured against: straight to a
    // backend server, and as often again as the header Plain-Tries says.
    void call_plainly(std::uint64_t id, const http::request& next, int tries)
    {
        direct_.send(next, call_timeout, [this, id, next, tries](const result<http::response>& r) {
            const bool failed = !ok(r) || value(r).status_ >= 500;
            if (failed && tries > 1)
                call_plainly(id, next, tries - 1);
            else
                finish_chain(id, r);
        });
    }

    void finish_chain(std::uint64_t id, const result<http::response>& r)
    {
        finish(id, ok(r) ? passed_on(value(r)) : http::response{502, {}, ""});
    }

    void finish(std::uint64_t id, http::response answer)
    {
        const auto at = runs_.find(id);
        if (at == runs_.end())
            return; // cancelled
        const exchange_ptr e = at->second.exchange_;
        const bool failing = at->second.failing_;
        runs_.erase(at);
        note(failing ? "failed" : "done", e->received());
        if (failing)
            answer = {fail_status_, {}, "broken\n"};
        const std::string cut = http::query_parameter(e->received().target_, "cut");
        if (cut.empty())
            e->reply(answer);
        else
            reply_in_part(e, answer, std::stoul(cut));
    }

    // Ends the connection after some bytes of the body; with chunked=1 without having said its length.
    void reply_in_part(const exchange_ptr& e, const http::response& answer, std::size_t bytes)
    {
        http::headers headers = answer.headers_;
        if (http::query_parameter(e->received().target_, "chunked").empty())
            headers.push_back({"Content-Length", std::to_string(answer.body_.size())});
        e->start(answer.status_, headers);
        e->more(answer.body_.substr(0, bytes), [this, e] {
            // The other end reads what was written before the reset discards it.
            timer& later = cuts_.emplace_back(loop_, [e] { e->abort(); });
            later.arm(cut_delay);
        });
    }

    void control(const exchange_ptr& e)
    {
        const std::string& target = e->received().target_;
        const auto number = [&](const char* name, std::uint64_t now) {
            const std::string text = http::query_parameter(target, name);
            return text.empty() ? now : std::stoull(text);
        };
        fail_percent_ = number("fail", fail_percent_);
        fail_status_ = static_cast<int>(number("fail_status", static_cast<std::uint64_t>(fail_status_)));
        slow_ =
            std::chrono::milliseconds(number("slow_ms", static_cast<std::uint64_t>(slow_.count()) / 1000));
        only_above_ = number("only_above", only_above_);
        draining_ = number("draining", draining_ ? 1 : 0) != 0;
        silent_ = number("silent", silent_ ? 1 : 0) != 0;
        if (target.find("fail_path=") != std::string::npos)
            fail_path_ = http::query_parameter(target, "fail_path");
        if (target.find("crash_path=") != std::string::npos)
            crash_path_ = http::query_parameter(target, "crash_path");
        if (number("cold", 0) != 0)
            warm_at_ = clock_.now() + settings_.cold_;
        e->reply({200, {}, ""});
    }

    event_loop& loop_;
    settings settings_;
    runtime_clock clock_;
    std::mt19937_64 random_;
    std::ofstream journal_;
    time_point warm_at_;
    std::map<std::uint64_t, run> runs_;
    std::uint64_t last_run_ = 0;
    std::list<timer> cuts_;
    std::uint64_t fail_percent_ = 0;
    int fail_status_ = 500;
    duration slow_{};
    std::uint64_t only_above_ = 0;
    bool draining_ = false;
    bool silent_ = false;
    std::string fail_path_;
    std::string crash_path_;
    http::server server_;
    http::client announcer_;
    http::client callers_;
    http::client direct_; // this stand-in itself
    timer announce_timer_;
};

} // namespace

int main(int argc, char** argv)
{
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto number = [&](const char* name) { return args.at(name).asLong(); };
    settings s;
    s.port_ = static_cast<std::uint16_t>(number("--port"));
    s.daemon_ = take(http::parse_address(args.at("--daemon").asString()));
    s.callers_ = take(http::parse_address(args.at("--callers").asString()));
    s.service_ = args.at("--service").asString();
    s.version_ = args.at("--version").asString();
    s.journal_ = args.at("--journal").asString();
    s.slots_ = static_cast<std::size_t>(number("--slots"));
    s.connections_ = static_cast<std::size_t>(number("--connections"));
    s.work_ = std::chrono::milliseconds(number("--work-ms"));
    s.cold_slots_ = static_cast<std::size_t>(number("--cold-slots"));
    s.cold_ = std::chrono::milliseconds(number("--cold-ms"));
    event_loop loop;
    backend_stand_in stand_in(loop, s, static_cast<std::uint64_t>(number("--seed")));
    if (!stand_in.listen())
        return 1;
    loop.on_stop_signal([&loop] { loop.stop(); });
    loop.run();
    return 0;
}
