#pragma once

// What daemons say of themselves, asked over their operator ports.

#include <string>
#include <vector>

#include "main/operator/command.h"
#include "operator/status.h"

namespace guavahaven::commands {

result<http::response> fetch(event_loop& loop, const http::address& at, const std::string& target);
result<operators::daemon_status> fetch_status(event_loop& loop, const http::address& at);

// What every daemon says of itself; the daemons that could not be asked are missing.
struct mesh_status {
    operators::daemon_status asked_;
    std::vector<operators::daemon_status> daemons_;
    std::vector<std::string> silent_; // names
    std::uint64_t newest_ = 0;        // highest configuration seen
};

mesh_status ask_all(event_loop& loop, const operators::daemon_status& first);

} // namespace guavahaven::commands
