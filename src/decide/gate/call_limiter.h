#pragma once

// A gate's parts of the limit rules of its service. A limit is divided among
// the gates of the service that are known, so that all parts together make the
// limit, and no message and no shared counter is needed for a call.

#include <functional>
#include <optional>
#include <vector>

#include "decide/call.h"
#include "decide/view.h"

namespace guavahaven::decide {

// This gate's part of a limit over the fleet: equal parts, with the remainder
// going to the first gates by name. Zero if self is not among the gates.
std::uint64_t part_of(std::uint64_t limit, const std::vector<daemon_name>& sorted_gates,
                      const daemon_name& self);

class call_limiter {
public:
    // How many calls this gate holds, of a class or of all.
    using held_counter = std::function<std::size_t(const std::optional<class_name>&)>;

    // Takes over the rules, and the gates among which limits are divided.
    void set_view(const view& v, const service_name& service, const daemon_name& self, time_point now);

    // True if a call may be taken, which is then counted.
    bool admit(const class_name& of, const held_counter& held, time_point now);

private:
    struct part {
        limit_rule rule_;
        std::uint64_t count_ = 0; // calls a second or at once, here
        double tokens_ = 0;       // calls that may be taken now, of a limit by the second
        time_point filled_{};
    };

    static bool room(part& p, const held_counter& held, time_point now);

    std::vector<part> parts_;
};

} // namespace guavahaven::decide
