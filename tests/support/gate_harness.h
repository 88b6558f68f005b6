#pragma once

// A gate alone, with passed-in time: calls in, what it did with them out.

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "decide/gate/gate.h"
#include "operator/rules.h"

namespace guavahaven::support {

class gate_harness {
public:
    static constexpr const char* rules = R"(
class   lookup  deadline 400ms shed last        # office
class   report  deadline 400ms shed first       # office
class   payroll deadline 10m   shed first keep  # payroll
class   heavy   deadline 400ms weight 3         # office
class   light   deadline 400ms weight 1         # office
class   confirm deadline 2s    once             # supervisors
service desk    version v1                      # supervisors
route POST /placements to desk as confirm       # supervisors
)";

    explicit gate_harness(std::vector<std::string> others = {},
                          double link_bytes_per_second = decide::default_link_bytes_per_second)
        : gate_(self_, incarnation(started), data_center_name("leon"), now_, link_bytes_per_second)
    {
        handle(decide::backend_announced{service_name("desk"), version_name("v1"), 12, 120, false, 1});
        others.push_back(self_.str());
        set_members(others);
    }

    // The view names these daemons as alive.
    void set_members(const std::vector<std::string>& names)
    {
        auto known = std::make_shared<decide::view>();
        known->configuration_ = std::make_shared<const decide::configuration>(guavahaven::take(
            operators::parse_record({configuration_number(1), "tests", written_at_, rules})));
        for (const std::string& name : names) {
            decide::member m;
            m.name_ = daemon_name(name);
            known->members_.push_back(m);
        }
        view_ = known;
        handle(decide::gate_view_changed{known});
    }

    decide::gate_actions handle(const decide::gate_event& e)
    {
        actions_ = gate_.handle(e, now_);
        for (const decide::gate_action& a : actions_)
            if (const auto* run = std::get_if<decide::start_run>(&a))
                runs_.push_back(run->run_);
        return actions_;
    }

    // A call that must run at most once, without a caller's key.
    decide::call make(std::uint64_t sequence, const std::string& class_of_call = "confirm")
    {
        decide::call c;
        c.id_ = {incarnation(7), sequence};
        c.gate_ = incarnation(started);
        c.identity_ = "entry/" + std::to_string(sequence);
        c.request_number_ = sequence;
        c.once_ = class_of_call == "confirm";
        c.service_ = service_name("desk");
        c.version_ = version_name("v1");
        c.class_ = class_name(class_of_call);
        c.route_ = "POST /placements";
        c.remaining_ =
            class_of_call == "payroll" ? duration(std::chrono::minutes(10)) : std::chrono::seconds(2);
        c.request_ = {"POST", "/placements", {}, "maria"};
        return c;
    }
    decide::call make_keyed(std::uint64_t sequence, const std::string& key)
    {
        decide::call c = make(sequence);
        c.keyed_ = true;
        c.identity_ = key;
        return c;
    }

    void send(const decide::call& c, const std::string& from = "entry")
    {
        handle(decide::call_message{daemon_name(from), c});
    }
    // What the gate answers to a fence of an attempt.
    decide::run_status fence(const decide::call& c, const std::string& from = "entry")
    {
        handle(decide::call_message{daemon_name(from), decide::fence{c.id_, c.gate_}});
        const auto verdict = last<decide::fence_reply>();
        return verdict ? verdict->run_status_ : decide::run_status::unknown;
    }
    void cancel(const decide::call& c, const std::string& from = "entry")
    {
        handle(decide::call_message{daemon_name(from), decide::cancel{c.id_}});
    }
    void answer(decide::run_id run, int status = 200)
    {
        handle(decide::run_answered{run, {status, {}, "ok"}, true});
    }

    // The last message of a kind to an entry, of the last event.
    template <class T>
    std::optional<T> last(const std::string& to = "")
    {
        std::optional<T> found;
        for (const decide::gate_action& a : actions_) {
            const auto* sent = std::get_if<decide::send_to_entry>(&a);
            if (sent && (to.empty() || sent->to_.str() == to))
                if (const auto* m = std::get_if<T>(&sent->message_))
                    found = *m;
        }
        return found;
    }
    // The same, to another gate.
    template <class T>
    std::optional<T> last_to_gate(std::string* to = nullptr)
    {
        std::optional<T> found;
        for (const decide::gate_action& a : actions_) {
            const auto* sent = std::get_if<decide::send_to_peer_gate>(&a);
            const auto* m = sent ? std::get_if<T>(&sent->message_) : nullptr;
            if (!m)
                continue;
            found = *m;
            if (to)
                *to = sent->to_.str();
        }
        return found;
    }
    code refused()
    {
        const auto r = last<decide::refusal>();
        return r ? r->code_ : code::ok;
    }

    void pass(duration time)
    {
        now_ += time;
        handle(decide::gate_tick{});
    }
    // Fast runs until the limit is the most that the backend server announces.
    void warm_up()
    {
        pass(std::chrono::seconds(6));
        for (std::uint64_t i = 0; gate_.load().limit_ < 12 && i < 1000; ++i) {
            const std::size_t first = runs_.size();
            for (std::uint32_t n = 0; n <= gate_.load().limit_; ++n)
                send(make(next_warm_up_++, "lookup"), "warm");
            now_ += std::chrono::milliseconds(2);
            for (std::size_t n = first; n < runs_.size(); ++n)
                answer(runs_[n]);
        }
    }

    static constexpr std::uint64_t started = 7'200'000'000; // microseconds
    static constexpr std::uint64_t one_hour = 3'600'000'000;

    daemon_name self_{"10.0.0.1:1"};
    std::uint64_t written_at_ = started - one_hour; // of the configuration; the mesh is older than this gate
    time_point now_{std::chrono::hours(1)};
    decide::view_ptr view_;
    decide::gate gate_;
    decide::gate_actions actions_;
    std::vector<decide::run_id> runs_; // in the order of their starts

private:
    std::uint64_t next_warm_up_ = 1;
};

} // namespace guavahaven::support
