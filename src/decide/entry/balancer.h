#pragma once

// Which gate a call goes to: the own data centre first, spilling by load; of
// two gates drawn at random the one where the call is expected to end sooner;
// none that failed a moment ago. Gates' reports lose their weight with age, and
// what this entry sees itself outweighs them.

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

// How an attempt at a gate ended, as far as the gate's worth is concerned.
enum class attempt_end : std::uint8_t {
    answered,    // in its own time
    failed,      // broken, or an answer that says the backend server failed
    refused,     // no room
    unreachable, // no connection, or a silent one
    dropped,     // for reasons that are not the gate's
};

class balancer {
public:
    explicit balancer(data_center_name data_center);

    // Takes over the candidates of every service and version. What is known of
    // a gate outlives its leaving for a while, should it come back.
    void set_view(const view& known, time_point now);

    // The gate for one more call, none of 'tried'; empty if there is none. A gate
    // that has fallen silent is better than none for a first attempt only: a
    // refusal by another tells the caller more than silence.
    std::optional<daemon_name> choose(const service_name& service, const version_name& version,
                                      const std::set<daemon_name>& tried, random_engine& random,
                                      time_point now) const;

    // What a gate last reported of itself, and when; nothing if it never did.
    std::optional<std::pair<load_report, time_point>> last_report(const daemon_name& gate) const;

    // Of the process that is announced under a name; zero if none is.
    incarnation incarnation_of(const daemon_name& gate) const;

    // An attempt was sent, and has ended after this time.
    void began(const daemon_name& gate);
    void ended(const daemon_name& gate, attempt_end how, duration took, random_engine& random,
               time_point now);
    // Not even a receipt came from it: it is cut off, or stands still.
    void fell_silent(const daemon_name& gate, random_engine& random, time_point now);
    void reported(const daemon_name& gate, const load_report& load, time_point now);

    // Gates that get no calls now because of their failures.
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

        std::uint32_t in_flight_ = 0; // own calls
        load_report load_;
        time_point reported_{};
        bool has_report_ = false;
        time_point refused_{}; // last refusal for want of room
        bool was_refused_ = false;

        duration response_time_{};    // moving average of own calls; zero if none ended
        time_point answered_{};       // last of them
        std::uint32_t failures_ = 0;  // one after the other
        std::uint32_t ejections_ = 0; // one after the other
        time_point ejected_until_{};
        time_point silent_until_{}; // it is, as far as is known
    };
    struct pool {
        std::vector<gate_state*> near_;
        std::vector<gate_state*> far_;
    };

    static std::optional<pool_key> pool_for(const view& known, const member& m);
    static double expected_time(const gate_state& g, time_point now);
    static double report_weight(const gate_state& g, time_point now);
    static double capacity(const gate_state& g, time_point now);
    static double utilization(const gate_state& g, time_point now);
    static double cost(const gate_state& g, time_point now);

    using gates = std::vector<gate_state*>;
    using usable = std::function<bool(const gate_state&)>;
    static const gate_state* draw(const gates& from, const usable& fits, random_engine& random);
    static const gate_state* draw_better(const gates& from, const usable& fits, random_engine& random,
                                         time_point now);
    static const gate_state* choose_near_or_far(const pool& all, const usable& fits, random_engine& random,
                                                time_point now);
    static void concentrate(pool& p);
    bool may_eject(const gate_state& g, time_point now) const;
    void eject(gate_state& g, duration longest, random_engine& random, time_point now) const;

    data_center_name data_center_;
    std::map<daemon_name, gate_state> gates_; // nodes stay where they are
    std::map<pool_key, pool> pools_;
};

} // namespace guavahaven::decide
