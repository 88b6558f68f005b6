#include "support/paced_load.h"

#include "decide/entry/entry.h"
#include "support/load.h"

namespace guavahaven::support {

namespace {

constexpr std::size_t connections_most = 64; // to one entry
constexpr duration answer_timeout = std::chrono::seconds(10);

} // namespace

paced_load::paced_load(paced_plan plan) : plan_(std::move(plan)), thread_([this] { run(); }) {}

paced_load::~paced_load()
{
    stop();
}

std::vector<paced_outcome> paced_load::stop()
{
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
    return outcomes_;
}

void paced_load::run()
{
    event_loop loop;
    const runtime_clock clock;
    std::vector<std::unique_ptr<http::client>> clients;
    for (const http::address& a : plan_.entries_)
        clients.push_back(std::make_unique<http::client>(loop, a, connections_most,
                                                         error{code::peer_unreachable, http::to_string(a)}));
    const time_point began = clock.now();
    std::size_t sent = 0;
    std::size_t ended = 0;
    const auto send = [&] {
        const std::size_t entry = sent % clients.size();
        // Every kind meets every entry.
        const std::size_t kind = (sent + sent / clients.size()) % plan_.kinds_.size();
        http::request request = plan_.kinds_[kind].request_;
        const std::string key = plan_.keys_ + "-" + std::to_string(sent++);
        request.headers_.push_back({decide::caller_protocol().key_header_, key});
        const std::size_t at = outcomes_.size();
        const auto wall = static_cast<std::uint64_t>(clock.wall().time_since_epoch().count());
        outcomes_.push_back({kind, entry, key, wall, {}, 0, code::peer_unreachable});
        clients[entry]->send(request, answer_timeout,
                             [&, at, sent_at = clock.now()](const result<http::response>& r) {
                                 paced_outcome& o = outcomes_[at];
                                 o.took_ = clock.now() - sent_at;
                                 if (ok(r)) {
                                     o.status_ = value(r).status_;
                                     o.result_ = told_result(value(r), code::backend_failed);
                                 }
                                 ++ended;
                             });
    };
    std::function<void()> turn;
    timer next(loop, [&] { turn(); });
    turn = [&] {
        const std::chrono::duration<double> passed = clock.now() - began;
        while (!stopping_ && static_cast<double>(sent) < passed.count() * plan_.per_second_)
            send();
        if (stopping_ && ended == outcomes_.size())
            return loop.stop();
        next.arm(std::chrono::milliseconds(2));
    };
    turn();
    loop.run();
}

} // namespace guavahaven::support
