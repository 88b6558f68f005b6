#pragma once

// Load balancer of the entry: picks the gate for a call by locality and load (the
// better of two random choices) and ejects failing gates for a while (outlier
// detection). Gates' load reports lose weight with age, and what this entry observes
// itself outweighs them.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "decide/call.h"
#include "decide/view.h"

namespace guavahaven::decide {

// How an attempt ended, as far as it says something about the gate.
enum class attempt_end : std::uint8_t {
    answered,    // by the backend server, without a failure status
    failed,      // no whole answer, or one with a failure status
    refused,     // the gate had no capacity
    unreachable, // no connection, or no message came over it
    neutral,     // says nothing about the gate
};

class balancer {
public:
    explicit balancer(data_center_name data_center);

    // Replaces the candidates of every service and version. The state of a gate that
    // has left is retained for a while in case it returns.
    void set_view(const view& known, time_point now);

    // Picks a gate that is not in 'tried'; empty if there is none. If all of them are
    // ejected, one of the ejected is picked. Unresponsive gates are picked in this way
    // only for a first attempt: after that, the refusal that the caller gets from
    // another gate says more than a timeout would.
    std::optional<daemon_name> choose(const service_name& service, const version_name& version,
                                      const std::set<daemon_name>& tried, random_engine& random,
                                      time_point now) const;

    // The last load report of a gate and when it came; empty if it never sent one.
    std::optional<std::pair<load_report, time_point>> last_report(const daemon_name& gate) const;

    // Incarnation of the gate known under this name; zero if the gate is unknown.
    incarnation incarnation_of(const daemon_name& gate) const;

    // An attempt was sent to the gate, and ended after the time 'took'.
    void began(const daemon_name& gate);
    void ended(const daemon_name& gate, attempt_end how, duration took, random_engine& random,
               time_point now);
    // The gate has not even acknowledged a call: it is cut off or its process is stopped.
    void mark_unresponsive(const daemon_name& gate, random_engine& random, time_point now);
    void reported(const daemon_name& gate, const load_report& load, time_point now);

    // Number of gates in the pool that are ejected now.
    std::size_t ejected(const service_name& service, const version_name& version, time_point now) const;

private:
    using pool_key = std::pair<service_name, version_name>;

    struct gate_state {
        daemon_name name_;
        incarnation incarnation_;
        pool_key pool_;
        std::uint32_t slots_ = 1;
        time_point first_seen_{};
        time_point last_seen_{};

        std::uint32_t in_flight_ = 0; // calls of this entry
        load_report load_;
        time_point reported_{};
        bool has_report_ = false;
        time_point refused_{}; // last refusal for lack of capacity
        bool was_refused_ = false;

        duration response_time_{};    // moving average over this entry's calls; zero before the first answer
        time_point answered_{};       // time of the last answer
        std::uint32_t failures_ = 0;  // consecutive
        std::uint32_t ejections_ = 0; // since the last answer without a failure
        time_point ejected_until_{};
        time_point unresponsive_until_{};
    };
    struct pool {
        std::vector<gate_state*> local_;
        std::vector<gate_state*> remote_;
    };

    static std::optional<pool_key> pool_for(const view& known, const member& m);
    static double expected_time(const gate_state& g, time_point now);
    static double report_weight(const gate_state& g, time_point now);
    static double capacity(const gate_state& g, time_point now);
    static double utilization(const gate_state& g, time_point now);
    static double cost(const gate_state& g, time_point now);

    using gates = std::vector<gate_state*>;
    using gate_filter = std::function<bool(const gate_state&)>;
    static const gate_state* pick_random(const gates& from, const gate_filter& filter, random_engine& random);
    static const gate_state* pick_better_of_two(const gates& from, const gate_filter& filter,
                                                random_engine& random, time_point now);
    static const gate_state* choose_local_or_remote(const pool& all, const gate_filter& filter,
                                                    random_engine& random, time_point now);
    static void keep_on_trial(pool& p, const move_rule& rule);
    bool may_eject(const gate_state& g, time_point now) const;
    void eject(gate_state& g, duration longest, random_engine& random, time_point now) const;

    data_center_name data_center_;
    std::map<daemon_name, gate_state> gates_; // pools_ point to its nodes, which never move
    std::map<pool_key, pool> pools_;
};

} // namespace guavahaven::decide
