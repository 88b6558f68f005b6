#pragma once

// Settings of guavahaven-daemon, checked at start.

#include <variant>
#include <vector>

#include "base/http.h"
#include "base/settings.h"
#include "decide/identifiers.h"

namespace guavahaven::operators {

struct daemon_settings {
    data_center_name data_center_;
    http::address callers_;    // where callers send their requests
    http::address peers_;      // where other daemons connect
    http::address advertised_; // the address they use for it, and the daemon's name
    http::address backend_;    // where the backend server announces itself
    http::address operators_;  // metrics and status
    http::address platform_;
    std::vector<daemon_name> seeds_;
    std::string log_level_;
    duration announcement_timeout_{};
    duration stop_notice_{};           // for callers to leave before a stop; all requests are still taken
    duration drain_timeout_{};         // longest time from the beginning of a stop to its end
    std::uint16_t metrics_port_ = 0;   // for the metrics alone; 0: none
    double link_bytes_per_second_ = 0; // bandwidth of the machine's network link
    std::string service_;              // of the machine; empty: as the backend server announces

    friend bool operator==(const daemon_settings&, const daemon_settings&) = default;
};

using parsed_settings = std::variant<daemon_settings, std::vector<error>>;

// Every fault is returned, not just the first.
parsed_settings read_daemon_settings(settings_file file);

} // namespace guavahaven::operators
