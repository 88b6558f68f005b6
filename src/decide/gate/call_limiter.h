#pragma once

// Enforces the limit rules (rate and concurrency) of a service at one gate. Each limit is divided among the
// known gates of the service into quotas that add up to it, so that no message or shared counter is needed
// per call.

#include <functional>
#include <optional>
#include <vector>

#include "decide/call.h"
#include "decide/view.h"

namespace guavahaven::decide {

// This gate's quota of a limit: equal shares, with the remainder going to the first gates by name. Zero if
// self is not among the gates.
std::uint64_t gate_quota(std::uint64_t limit, const std::vector<daemon_name>& sorted_gates,
                         const daemon_name& self);

class call_limiter {
public:
    // Returns how many calls this gate holds, of one class or of all.
    using held_counter = std::function<std::size_t(const std::optional<class_name>&)>;

    // Sets the rules and the gates among which limits are divided. Tokens of unchanged rules are carried
    // over.
    void set_view(const view& v, const service_name& service, const daemon_name& self, time_point now);

    // True if a call of this class is within all limits; the call is then counted.
    bool admit(const class_name& of, const held_counter& held, time_point now);

private:
    struct quota {
        limit_rule rule_;
        std::uint64_t count_ = 0; // this gate's calls per second, or at once
        double tokens_ = 0;       // token bucket of a limit per second
        time_point filled_{};
    };

    // True if the quota has room for one more call. Refills its token bucket.
    static bool room(quota& q, const held_counter& held, time_point now);

    std::vector<quota> quotas_;
};

} // namespace guavahaven::decide
