#pragma once

// A fleet of daemons without backend servers, for the experiments on what the
// control of a mesh costs as it grows.

#include <optional>

#include "main/bench/experiment.h"
#include "support/mesh.h"

namespace guavahaven::bench {

// The sizes up to a limit (0: all).
std::vector<std::size_t> fleet_sizes(std::uint64_t limit);

// So many daemons, spread over four data centres.
support::mesh_plan fleet_plan(std::size_t daemons, bool platform_proxy = false);

// The rules of 49 services, and a route by which configurations can be told
// apart from outside; 'mark' makes each text another one.
std::string fleet_rules(std::uint64_t mark);

// Seconds until the last of the daemons answers by the rules with this mark, as
// seen at its caller port; none if that takes too long.
std::optional<double> seconds_until_in_force(support::mesh& mesh, std::uint64_t mark);

// True once every daemon counts all others alive.
bool wait_all_known(support::mesh& mesh);

// What the control of the daemons has cost so far, over all of them.
struct fleet_cost {
    std::vector<double> cpu_s_;
    std::vector<double> bytes_; // sent and received in frames

    friend bool operator==(const fleet_cost&, const fleet_cost&) = default;
};
fleet_cost cost_of(support::mesh& mesh);

double mean(const std::vector<double>& values);
double greatest(const std::vector<double>& values);
// Per daemon, between two readings.
std::vector<double> difference(const std::vector<double>& after, const std::vector<double>& before);

// Slope of the least-squares line through points (x, y).
double slope(const std::vector<double>& x, const std::vector<double>& y);

} // namespace guavahaven::bench
