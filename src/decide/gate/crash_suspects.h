#pragma once

// Requests that crash backend servers, known by a fingerprint of what they ask.
// A request that was under way when a backend server died may be a mere
// neighbour of the one at fault, so it takes several deaths, and an answer to
// the same request clears it.

#include <cstdint>
#include <map>
#include <set>

#include "base/clock.h"
#include "base/http.h"
#include "decide/identifiers.h"

namespace guavahaven::decide {

// Backend servers that may die of one request before it is refused. More die
// only of repeats that are under way at the same time.
inline constexpr std::size_t deaths_to_refuse = 2;

// gate -> gates of the same service: a backend server died while this request
// was under way.
struct crash_report {
    std::uint64_t fingerprint_ = 0;
    daemon_name gate_;        // beside the backend server that died
    std::uint64_t death_ = 0; // of that gate, counted
    friend auto operator<=>(const crash_report&, const crash_report&) = default;
};

// Requests that ask the same of a service have the same fingerprint.
std::uint64_t fingerprint(const http::request& r);

class suspects {
public:
    // Takes a report in, unless the request has been answered here lately.
    // True if it was news.
    bool note(const crash_report& report, time_point now);
    // The request was answered; it crashes nothing.
    void answered(std::uint64_t fingerprint, time_point now);

    // True if some backend server died while the request was under way.
    bool suspected(std::uint64_t fingerprint) const { return deaths_.contains(fingerprint); }
    // True if enough died that it must not run any more.
    bool refused(std::uint64_t fingerprint) const;

    void forget(time_point now);

private:
    struct known {
        std::set<crash_report> deaths_;
        time_point latest_{};
    };

    std::map<std::uint64_t, known> deaths_;
    std::map<std::uint64_t, time_point> answered_;
    time_point next_forget_{};
};

} // namespace guavahaven::decide
