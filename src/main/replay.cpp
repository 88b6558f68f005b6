// guavahaven-replay: plays events through the decisions, without clock or
// chance. 'bench' prints one signature of all that was decided.

#include <docopt/docopt.h>

#include <iostream>
#include <map>

#include "decide/entry/entry.h"
#include "decide/gate/gate.h"
#include "operator/rules.h"
#include "peer/layouts.h"

namespace {

using namespace guavahaven;
using namespace guavahaven::decide;

constexpr const char* usage = R"(guavahaven-replay: plays events through the decisions.

Usage:
  guavahaven-replay bench
  guavahaven-replay (-h | --help)

Commands:
  bench  Play a fixed set of events; print the signature of all decisions.
)";

constexpr const char* rules = R"(
class   lookup  deadline 400ms        # bench
class   confirm deadline 2s once      # bench
service board   version v1            # bench
service desk    version v1            # bench
route GET  /shifts/*   to board as lookup  # bench
route POST /placements to desk  as confirm # bench
)";

// An entry and three gates whose messages arrive at once, with backend servers
// that answer, shed or break by a seeded draw.
class bench_mesh {
public:
    explicit bench_mesh(std::uint64_t seed)
        : random_(seed), entry_(daemon_name("10.0.0.9:1"), incarnation(1), data_center_name("leon"), seed)
    {
        auto known = std::make_shared<view>();
        known->configuration_ = std::make_shared<const configuration>(
            guavahaven::take(operators::parse_record({configuration_number(1), "bench", 0, rules})));
        for (std::uint64_t i = 0; i < gate_count; ++i) {
            member m;
            m.name_ = daemon_name("10.0.0." + std::to_string(i) + ":1");
            m.data_center_ = data_center_name(i < 2 ? "leon" : "celaya");
            m.service_ = service_name(i == 1 ? "desk" : "board");
            m.version_ = version_name("v1");
            known->members_.push_back(m);
            gates_.emplace(m.name_, gate(m.name_, m.incarnation_, m.data_center_, now_));
        }
        for (const member& m : known->members_) {
            act(m.name_, gate_view_changed{known});
            act(m.name_, backend_announced{m.service_, m.version_, 12, 120, false, 0});
        }
        act(entry_view_changed{known});
    }

    std::uint64_t play(std::uint64_t steps)
    {
        for (std::uint64_t i = 1; i <= steps; ++i) {
            now_ += std::chrono::milliseconds(random_index(random_, 20));
            const bool once = random_index(random_, 4) == 0;
            const http::request r{once ? "POST" : "GET", once ? "/placements" : "/shifts/today", {}, ""};
            act(caller_request{exchange_id(i), r});
            if (random_index(random_, 3) == 0)
                finish_some_run();
            act(entry_tick{});
        }
        return signature_;
    }

private:
    static constexpr std::uint64_t gate_count = 3;

    void note(std::string_view bytes) { signature_ = hash(bytes, signature_); }

    void act(const entry_event& e)
    {
        for (const entry_action& a : entry_.handle(e, now_)) {
            note(std::to_string(a.index()));
            if (const auto* sent = std::get_if<send_to_gate>(&a)) {
                note(serialize(sent->message_));
                act(sent->to_, call_message{daemon_name("10.0.0.9:1"), sent->message_});
            }
            if (const auto* answered = std::get_if<reply>(&a))
                note(serialize(answered->response_));
        }
    }

    void act(const daemon_name& at, const gate_event& e)
    {
        for (const gate_action& a : gates_.at(at).handle(e, now_)) {
            note(std::to_string(a.index()));
            if (const auto* run = std::get_if<start_run>(&a))
                runs_.push_back({at, run->run_});
            if (const auto* sent = std::get_if<send_to_entry>(&a)) {
                note(serialize(sent->message_));
                act(gate_message{at, sent->message_});
            }
            if (const auto* asked = std::get_if<send_to_peer_gate>(&a)) {
                note(serialize(asked->message_));
                act(asked->to_, peer_gate_message{at, asked->message_});
            }
        }
    }

    void finish_some_run()
    {
        if (runs_.empty())
            return;
        const std::size_t chosen = random_index(random_, runs_.size());
        const auto [at, run] = runs_[chosen];
        runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(chosen));
        switch (random_index(random_, 5)) {
        case 0:
            return act(at, run_answered{run, {503, {}, ""}, true});
        case 1:
            return act(at, run_broken{run});
        case 2:
            return act(at, run_not_sent{run});
        default:
            return act(at, run_answered{run, {200, {}, "x"}, true});
        }
    }

    struct open_run {
        daemon_name gate_;
        run_id run_;
    };

    random_engine random_;
    time_point now_{};
    entry entry_;
    std::map<daemon_name, gate> gates_;
    std::vector<open_run> runs_;
    std::uint64_t signature_ = 0;
};

int bench()
{
    constexpr std::uint64_t seeds = 20;
    constexpr std::uint64_t steps = 500;
    std::uint64_t signature = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        signature = hash(std::to_string(bench_mesh(seed).play(steps)), signature);
    std::cout << "signature " << signature << "\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    docopt::docopt(usage, {argv + 1, argv + argc});
    return bench();
}
