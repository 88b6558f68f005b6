#pragma once

// Finds requests that crash backend servers, identified by a fingerprint of their content. A request that was
// running when a backend server crashed is not necessarily the cause, so it is refused only after several
// crashes, and an answer (other than load shedding) to the same request clears it.

#include <cstdint>
#include <map>
#include <set>

#include "base/clock.h"
#include "base/http.h"
#include "decide/identifiers.h"

namespace guavahaven::decide {

// Number of backend servers that one request may crash before it is refused. It can crash more only by
// repeats that are running at the same time.
inline constexpr std::size_t crashes_before_refusal = 2;

// gate -> gates of the same service: a backend server crashed while this request was running.
struct crash_report {
    std::uint64_t fingerprint_ = 0;
    daemon_name gate_;                // beside the backend server that crashed
    std::uint64_t backend_start_ = 0; // start number of the crashed backend server, to tell its crashes apart
    friend auto operator<=>(const crash_report&, const crash_report&) = default;
};

// Hash over method, target and body: the same for requests that differ only in headers.
std::uint64_t fingerprint(const http::request& r);

class crash_suspects {
public:
    // Records a crash, unless the request was answered here recently or too many suspects are known. True if
    // the report is new.
    bool record(const crash_report& report, time_point now);
    // The request was answered, so it is cleared and not suspected for a while.
    void answered(std::uint64_t fingerprint, time_point now);

    // True if at least one backend server crashed while the request was running.
    bool suspected(std::uint64_t fingerprint) const { return suspects_.contains(fingerprint); }
    // True if it caused so many crashes that it must not run any more.
    bool refused(std::uint64_t fingerprint) const;

    void forget_expired(time_point now);

private:
    struct suspect {
        std::set<crash_report> crashes_;
        time_point last_crash_{};
    };

    std::map<std::uint64_t, suspect> suspects_;
    std::map<std::uint64_t, time_point> answered_;
    time_point next_cleanup_{};
};

} // namespace guavahaven::decide
