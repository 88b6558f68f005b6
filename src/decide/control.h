#pragma once

// Control state of a daemon: the configuration in force, the members of the mesh and
// the progress of moves, and the gossip that shares them with other daemons.

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
#include "decide/configuration/removed_services.h"
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
// Operators' single rules as the platform holds them, as of a revision.
struct platform_orders {
    std::vector<order> orders_;
    std::string subject_prefix_; // prefix: all subjects with it were read; empty: just these changed
    std::uint64_t revision_ = 0;
    friend bool operator==(const platform_orders&, const platform_orders&) = default;
};
// Result of a read of the configuration from the platform: answered (there may be none yet) or not.
struct platform_read_result {
    bool answered_ = false;
    friend bool operator==(const platform_read_result&, const platform_read_result&) = default;
};
// Daemons to contact first, from the settings or the platform.
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
// The backend server beside this daemon; an empty service means that there is none.
struct own_backend {
    service_name service_;
    version_name version_;
    std::uint32_t slots_ = 0;
    bool draining_ = false;
    friend bool operator==(const own_backend&, const own_backend&) = default;
};
// What this gate has counted of its own backend server's runs up to the end of a
// wall-clock second. control fills in the gate's name, incarnation and data centre.
struct own_version_stats {
    std::uint64_t second_ = 0;
    std::vector<version_stats> items_;
    friend bool operator==(const own_version_stats&, const own_version_stats&) = default;
};
struct control_tick {
    wall_time wall_;
    friend bool operator==(const control_tick&, const control_tick&) = default;
};
struct leave_requested {
    friend bool operator==(const leave_requested&, const leave_requested&) = default;
};
using control_event =
    std::variant<control_received, platform_configuration, platform_orders, platform_read_result, seeds_known,
                 platform_moves, own_backend, own_version_stats, control_tick, leave_requested>;

struct publish_view {
    view_ptr view_;
};
// Start or stop watching the platform.
struct watch_platform {
    bool watch_ = false;
    friend bool operator==(const watch_platform&, const watch_platform&) = default;
};
// Store a few of these daemons of the own data centre as seeds in the platform, the
// first ones preferred, and remove its seeds that are not among them.
struct store_seeds {
    std::vector<daemon_name> candidates_;
    friend bool operator==(const store_seeds&, const store_seeds&) = default;
};
// Merge a fact into the platform's object of its service.
struct store_move {
    move_fact fact_;
    friend bool operator==(const store_move&, const store_move&) = default;
};
// A move's deadline has passed before it was done, as far as this daemon knows. It is
// not stored as a fact, since the report that it is done may still be on its way.
struct move_expired {
    move_fact fact_;
    friend bool operator==(const move_expired&, const move_expired&) = default;
};
// An error that operators should see.
struct report_problem {
    error error_;
    friend bool operator==(const report_problem&, const report_problem&) = default;
};
using control_action = std::variant<send_control, publish_view, watch_platform, store_seeds, store_move,
                                    move_expired, report_problem>;
using control_actions = std::vector<control_action>;

class control {
public:
    control(member self, std::uint64_t seed, configuration_parser parse, time_point now);

    control_actions handle(const control_event& event, time_point now);

    view_ptr current() const { return view_; }
    const member& self() const { return membership_.self(); }
    const std::optional<configuration_record>& record() const { return configuration_replica_.record(); }
    const move_tracker& moves() const { return moves_; }

private:
    struct pending_update {
        member member_;
        daemon_name from_;
    };

    void on(const control_received& e, time_point now);
    void on(const platform_configuration& e, time_point now);
    void on(const platform_orders& e, time_point now);
    void on(const platform_read_result& e, time_point now);
    void on(const seeds_known& e, time_point now);
    void on(const platform_moves& e, time_point now);
    void on(const own_backend& e, time_point now);
    void on(const own_version_stats& e, time_point now);
    void on(const control_tick& e, time_point now);
    void on(const leave_requested& e, time_point now);

    void receive(const daemon_name& from, const member_updates& m, time_point now);
    void receive(const daemon_name& from, const digest& m, time_point now);
    void receive(const daemon_name& from, const digest_ack& m, time_point now);
    void receive(const daemon_name& from, const digests_stopped& m, time_point now);
    void receive(const daemon_name& from, const member_buckets& m, time_point now);
    void receive(const daemon_name& from, const members_request& m, time_point now);
    void receive(const daemon_name& from, const probe& m, time_point now);
    void receive(const daemon_name& from, const probe_answer& m, time_point now);
    void receive(const daemon_name& from, const probe_request& m, time_point now);
    void receive(const daemon_name& from, const configuration_request& m, time_point now);
    void receive(const daemon_name& from, const full_configuration& m, time_point now);
    void receive(const daemon_name& from, const configuration_delta& m, time_point now);
    void receive(const daemon_name& from, const move_facts& m, time_point now);
    void receive(const daemon_name& from, const version_stats_report& m, time_point now);
    void receive(const daemon_name& from, const orders& m, time_point now);

    void spread(const std::vector<order>& updates, const daemon_name& from);
    // Combines the rules file and the operators' single rules to the rules in force.
    void combine_rules();
    // Acts on the outcome of a configuration offer. 'from' is empty for the platform's.
    void handle_offer_outcome(const offer_outcome& outcome, const daemon_name& from);
    void contact_seeds();
    void exchange_digests(time_point now);
    void probe_silent(time_point now);
    void probe_suspects();
    void probe_directly(const member& target);
    // Updates are collected and sent together once per flush_interval.
    void spread(const std::vector<member>& updates, const daemon_name& from);
    void spread(const std::vector<move_fact>& updates, const daemon_name& from);
    void flush_updates(time_point now);
    void send_to_neighbours(const control_message& message, const daemon_name& except);
    void send(const daemon_name& to, control_message message, bool fresh_connection = false);
    digest own_digest() const;
    void publish(time_point now);
    bool may_serve(time_point now) const;
    void report_held_back(time_point now);
    void update_watch(time_point now);
    void detect_pause(time_point now);
    void judge_moves();
    void report_expired_moves(const std::vector<move_fact>& effective);
    // Move facts as they apply now, with expired deadlines taken into account.
    std::vector<move_fact> effective_moves() const;

    membership membership_;
    failure_detector detector_;
    configuration_parser parse_;
    configuration_replica configuration_replica_;
    order_set orders_;
    std::set<move_id> reported_expired_; // reported with move_expired
    configuration_ptr rules_;            // in force: rules file and operators' single rules
    readiness readiness_;
    move_tracker moves_;
    return_tracker returns_;
    removed_services removed_services_;
    random_engine random_;
    std::vector<daemon_name> seeds_;
    std::vector<daemon_name> digest_receivers_; // neighbours that got the last digest
    view_ptr view_;
    std::map<daemon_name, pending_update> pending_updates_; // not yet sent to the neighbours
    bool view_stale_ = false;
    bool configuration_stale_ = false;      // the view lacks the configuration in force
    std::optional<time_point> first_known_; // since when this daemon has had a configuration
    bool held_back_reported_ = false;
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
