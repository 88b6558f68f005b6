// Guards against a bad version that gets too many calls before its move has ended, however the shares and the
// traffic turn out.

#include <gtest/gtest.h>

#include <cmath>

#include "decide/entry/entry.h"
#include "decide/entry/exposure_limit.h"
#include "operator/rules.h"

namespace guavahaven::decide {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* rules = R"(
class lookup deadline 400ms            # office
service board version *                # office
retry board budget 100% reserve 1000   # office
route GET /shifts/* to board as lookup # office
move board to v2 by 1970-01-12T13:46:53Z from 6% at most 2% plus 45 as order # release desk
)";

constexpr std::size_t entry_count = 16;
constexpr int calls_per_second = 75;

wall_time wall_at(double second)
{
    return wall_time(duration(static_cast<duration::rep>((1'000'000 + second) * 1e6)));
}

// Entries that share the calls of a service with four gates of each version. All calls to the new version
// fail.
class rollout {
public:
    rollout()
    {
        configuration_record record;
        record.number_ = configuration_number(1);
        record.text_ = rules;
        configuration_ = std::make_shared<const configuration>(value(operators::parse_record(record)));
        for (std::size_t i = 0; i < entry_count; ++i)
            entries_.emplace_back(daemon_name("10.0.1." + std::to_string(i) + ":1"), incarnation(1),
                                  data_center_name("leon"), i + 1);
        set_stage(0);
    }

    void set_stage(std::uint32_t stage)
    {
        auto known = std::make_shared<view>();
        known->configuration_ = configuration_;
        for (std::size_t i = 0; i < entry_count; ++i) {
            member m;
            m.name_ = daemon_name("10.0.0." + std::to_string(i + 10) + ":1");
            m.data_center_ = data_center_name("leon");
            m.service_ = service_name(i < 8 ? "board" : "desk");
            m.version_ = version_name(i < 4 ? "v1" : "v2");
            m.slots_ = 12;
            known->members_.push_back(m);
        }
        move_fact f;
        f.id_ = configuration_->moves_.front().id();
        f.service_ = service_name("board");
        f.version_ = version_name("v2");
        f.stage_ = stage;
        f.began_ = static_cast<std::uint64_t>(wall_at(0).time_since_epoch().count());
        known->moves_ = {f};
        for (entry& e : entries_)
            e.handle(entry_view_changed{known}, now_);
    }

    // Plays so many seconds; returns how many calls went to the new version.
    int play(double length)
    {
        const int before = new_calls_;
        for (int i = 0; i < static_cast<int>(length * calls_per_second); ++i) {
            now_ += seconds(1) / calls_per_second;
            entry& e = entries_[static_cast<std::size_t>(i * 7) % entry_count];
            ++calls_;
            answer_all(e, e.handle(caller_request{exchange_id(static_cast<std::uint64_t>(calls_)),
                                                  {"GET", "/shifts/1", {}, ""}},
                                   now_));
        }
        return new_calls_ - before;
    }

    int calls() const { return calls_; }
    int new_calls() const { return new_calls_; }

private:
    void answer_all(entry& e, const entry_actions& actions)
    {
        for (const entry_action& a : actions) {
            const auto* sent = std::get_if<send_to_gate>(&a);
            const auto* c = sent ? std::get_if<call>(&sent->message_) : nullptr;
            if (!c)
                continue;
            const bool is_new = c->version_ == version_name("v2");
            new_calls_ += is_new ? 1 : 0;
            gate_to_entry reply;
            if (is_new)
                reply = run_failure{c->id_, code::backend_failed, {}};
            else
                reply = answer{c->id_, {}, {200, {}, "ok"}, true};
            answer_all(e, e.handle(gate_message{sent->to_, reply}, now_));
        }
    }

    configuration_ptr configuration_;
    std::vector<entry> entries_;
    time_point now_{seconds(100)};
    int calls_ = 0;
    int new_calls_ = 0;
};

} // namespace

// Guards against a trial that takes the new version past its bound: 163 of 991 requests, 149 allowed.
TEST(exposure_limit, bounds_the_calls_of_a_failing_version_over_the_whole_move)
{
    rollout r;
    // Given a move that stands at its first share for 7 s
    const int first = r.play(7);
    EXPECT_GT(first, 0);
    // When its trial lasts for 3 s, since judges are paused, and failed calls are sent again
    r.set_stage(1);
    const int trial = r.play(3);
    r.set_stage(2);
    r.play(3);
    // Then the new version got no more than 2% of all calls and 45, but for one call of rounding at each
    // entry
    EXPECT_LE(r.new_calls(), std::lround(0.02 * r.calls()) + 45 + static_cast<int>(entry_count));
    // And the trial got most of them
    EXPECT_GT(trial, first);
    EXPECT_GE(trial, 20);
}

TEST(exposure_limit, is_right_in_sum_for_entries_with_a_part_of_a_call_each)
{
    move_rule rule;
    rule.service_ = service_name("board");
    rule.version_ = version_name("v2");
    rule.deadline_ = wall_at(13);
    rule.exposure_share_ = 0;
    rule.exposure_reserve_ = 45;
    move_fact f;
    f.stage_ = 2;
    f.began_ = static_cast<std::uint64_t>(wall_at(0).time_since_epoch().count());
    constexpr std::size_t many = 300;
    int allowed = 0;
    for (std::size_t i = 0; i < many; ++i) {
        const exposure_limit limit((static_cast<double>(i) + 0.5) / many);
        allowed += limit.allows(rule, f, many) ? 1 : 0;
    }
    EXPECT_EQ(allowed, 45);
}

TEST(exposure_limit, ends_when_the_move_is_done)
{
    move_rule rule;
    rule.exposure_share_ = 0;
    move_fact f;
    EXPECT_FALSE(exposure_limit().allows(rule, f, 1));
    f.done_ = true;
    EXPECT_TRUE(exposure_limit().allows(rule, f, 1));
}

} // namespace guavahaven::decide
