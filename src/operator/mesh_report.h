#pragma once

// How moves and data centres that are out stand, put together from what all
// daemons say.

#include <string>
#include <vector>

#include "operator/status.h"

namespace guavahaven::operators {

// Of each move, the report of the daemon that knows most: a withdrawal before
// the end, the end before a share, a later share before an earlier one.
std::vector<move_report> joined_moves(const std::vector<daemon_status>& daemons);

// A data centre that is out.
struct out_summary {
    std::string data_center_;
    std::string asked_by_;
    std::uint64_t last_run_ = 0;  // microseconds since 1970, of the last run that began there
    std::uint64_t in_flight_ = 0; // runs that have not yet ended

    friend bool operator==(const out_summary&, const out_summary&) = default;
};
std::vector<out_summary> joined_outs(const std::vector<daemon_status>& daemons);

// One line for operators; 'now' is in microseconds since 1970.
std::string to_line(const move_report& m);
std::string to_line(const out_summary& o, std::uint64_t now);

// Time of day in UTC; empty for zero.
std::string utc(std::uint64_t microseconds);

} // namespace guavahaven::operators
