#pragma once

// The control decisions of a daemon: which configuration is in force, who is
// in the mesh, how far moves have come, and what is told to whom.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "decide/configuration/configuration_replica.h"
#include "decide/configuration/order_set.h"
#include "decide/configuration/readiness.h"
#include "decide/entry/data_center_return.h"
#include "decide/membership/failure_detector.h"
#include "decide/membership/membership.h"
#include "decide/moves/move_tracker.h"

namespace guavahaven::decide {

struct control_received {
    daemon_name from_;
    control_message message_;
    friend bool operator==(const control_received&, const control_received&) = default;
};
// The platform's configuration object, as read or watched.
struct platform_configuration {
    configuration_record record_;
    friend bool operator==(const platform_configuration&, const platform_configuration&) = default;
};
// Orders as the platform holds them, as of a revision.
struct platform_orders {
    std::vector<order> orders_;
    std::string subject_start_; // all subjects that start so were read; empty: only these changed
    std::uint64_t revision_ = 0;
    friend bool operator==(const platform_orders&, const platform_orders&) = default;
};
// The platform answered a read of the configuration (there may be none yet), or did not.
struct platform_asked {
    bool answered_ = false;
    friend bool operator==(const platform_asked&, const platform_asked&) = default;
};
// Daemons that may be reached first, from the settings or the platform.
struct seeds_known {
    std::vector<daemon_name> seeds_;
    friend bool operator==(const seeds_known&, const seeds_known&) = default;
};
// Move facts kept in the platform for a service.
struct platform_moves {
    service_name service_;
    std::vector<move_fact> facts_;
    friend bool operator==(const platform_moves&, const platform_moves&) = default;
};
// The backend server beside this daemon; no service means that there is none.
struct own_backend {
    service_name service_;
    version_name version_;
    std::uint32_t slots_ = 0;
    bool draining_ = false;
    friend bool operator==(const own_backend&, const own_backend&) = default;
};
// What this gate has seen of its own backend server up to the end of a
// wall-clock second; its name, incarnation and data centre are filled in here.
struct own_evidence {
    std::uint64_t second_ = 0;
    std::vector<evidence> items_;
    friend bool operator==(const own_evidence&, const own_evidence&) = default;
};
struct control_tick {
    wall_time wall_;
    friend bool operator==(const control_tick&, const control_tick&) = default;
};
struct leave_requested {
    friend bool operator==(const leave_requested&, const leave_requested&) = default;
};
using control_event =
    std::variant<control_received, platform_configuration, platform_orders, platform_asked, seeds_known,
                 platform_moves, own_backend, own_evidence, control_tick, leave_requested>;

struct publish_view {
    view_ptr view_;
};
// Start or stop watching the platform.
struct watch_platform {
    bool watch_ = false;
    friend bool operator==(const watch_platform&, const watch_platform&) = default;
};
// Keep a few of these daemons of the own data centre, the first ones first, as
// seeds in the platform, and none that is not among them.
struct keep_seeds {
    std::vector<daemon_name> candidates_;
    friend bool operator==(const keep_seeds&, const keep_seeds&) = default;
};
// Join a fact into the platform's object of its service.
struct store_move {
    move_fact fact_;
    friend bool operator==(const store_move&, const store_move&) = default;
};
// A move's deadline has passed before it was done. That is no fact: a report of
// its end may still be on its way.
struct move_expired {
    move_fact fact_;
    friend bool operator==(const move_expired&, const move_expired&) = default;
};
// A refusal that operators should see.
struct report_problem {
    error error_;
    friend bool operator==(const report_problem&, const report_problem&) = default;
};
using control_action = std::variant<send_control, publish_view, watch_platform, keep_seeds, store_move,
                                    move_expired, report_problem>;
using control_actions = std::vector<control_action>;

class control {
public:
    control(member self, std::uint64_t seed, configuration_parser parse, time_point now);

    control_actions handle(const control_event& event, time_point now);

    view_ptr current() const { return view_; }
    const member& self() const { return membership_.self(); }
    const std::optional<configuration_record>& record() const { return distribution_.record(); }
    const move_tracker& moves() const { return moves_; }

private:
    struct heard_news {
        member member_;
        daemon_name from_;
    };

    void on(const control_received& e, time_point now);
    void on(const platform_configuration& e, time_point now);
    void on(const platform_orders& e, time_point now);
    void on(const platform_asked& e, time_point now);
    void on(const seeds_known& e, time_point now);
    void on(const platform_moves& e, time_point now);
    void on(const own_backend& e, time_point now);
    void on(const own_evidence& e, time_point now);
    void on(const control_tick& e, time_point now);
    void on(const leave_requested& e, time_point now);

    void take(const daemon_name& from, const announcements& m, time_point now);
    void take(const daemon_name& from, const digest& m, time_point now);
    void take(const daemon_name& from, const digest_received& m, time_point now);
    void take(const daemon_name& from, const digests_end& m, time_point now);
    void take(const daemon_name& from, const member_buckets& m, time_point now);
    void take(const daemon_name& from, const members_wanted& m, time_point now);
    void take(const daemon_name& from, const probe& m, time_point now);
    void take(const daemon_name& from, const probe_answer& m, time_point now);
    void take(const daemon_name& from, const probe_wanted& m, time_point now);
    void take(const daemon_name& from, const configuration_wanted& m, time_point now);
    void take(const daemon_name& from, const configuration_whole& m, time_point now);
    void take(const daemon_name& from, const configuration_delta& m, time_point now);
    void take(const daemon_name& from, const move_facts& m, time_point now);
    void take(const daemon_name& from, const evidence_report& m, time_point now);
    void take(const daemon_name& from, const orders& m, time_point now);

    // Acts on what became of a configuration offered by a daemon, or the platform if empty.
    void spread(const std::vector<order>& news, const daemon_name& from);
    // Puts rules file and orders together.
    void combine();
    void settle(const offer_outcome& outcome, const daemon_name& from);
    void meet_seeds();
    void exchange_digests(time_point now);
    void probe_silent(time_point now);
    void probe_doubted();
    void probe_directly(const member& target);
    // News are kept back while much of it comes, and sent together.
    void spread(const std::vector<member>& news, const daemon_name& from);
    void spread(const std::vector<move_fact>& news, const daemon_name& from);
    void flush_news(time_point now);
    void tell_neighbours(const control_message& message, const daemon_name& except);
    void send(const daemon_name& to, control_message message, bool fresh_connection = false);
    digest own_digest() const;
    void publish(time_point now);
    void update_watch(time_point now);
    void note_pause(time_point now);
    void judge_moves();
    void tell_expired(const std::vector<move_fact>& effective);
    // Facts as they act now, deadlines included.
    std::vector<move_fact> effective_moves() const;

    membership membership_;
    failure_detector detector_;
    configuration_parser parse_;
    distribution distribution_;
    order_book orders_;
    std::set<move_id> expired_; // told as such
    configuration_ptr rules_;   // in force: rules file and orders
    readiness readiness_;
    move_tracker moves_;
    return_tracker returns_;
    random_engine random_;
    std::vector<daemon_name> seeds_;
    std::vector<daemon_name> digested_; // the neighbours at the last digests
    view_ptr view_;
    std::map<daemon_name, heard_news> news_; // not yet passed on
    bool view_stale_ = false;
    bool configuration_stale_ = false; // the view lacks the configuration in force
    bool watching_ = false;
    time_point started_;
    time_point last_tick_;
    time_point last_flush_{};
    time_point last_digest_{};
    time_point last_repair_{};
    time_point last_sweep_{};
    time_point last_judged_{};
    time_point last_seed_check_{};
    wall_time wall_{};
    control_actions actions_;
};

} // namespace guavahaven::decide
