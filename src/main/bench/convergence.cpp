// convergence: seconds from an operator's command until the last daemon has the
// configuration in force, with the platform up, down after acceptance, slow, and
// cut off from one data centre.

#include <algorithm>
#include <thread>

#include "main/bench/fleet.h"

namespace guavahaven::bench {

namespace {

constexpr int changes = 3; // of each kind
constexpr std::chrono::seconds change_interval{1};

// The slowest of several changes, in seconds; -1 if one did not arrive.
double slowest_change(support::mesh& mesh, std::uint64_t& mark, bool outage_after = false)
{
    double slowest = 0;
    for (int i = 0; i < changes; ++i) {
        const runtime_clock clock;
        const time_point began = clock.now();
        mesh.apply(fleet_rules(++mark), "bench");
        if (outage_after)
            mesh.set_platform("outage=1");
        const double applied = std::chrono::duration<double>(clock.now() - began).count();
        const std::optional<double> took = seconds_until_in_force(mesh, mark);
        if (outage_after)
            mesh.set_platform("outage=0");
        if (!took)
            return -1;
        slowest = std::max(slowest, applied + *took);
        std::this_thread::sleep_for(change_interval);
    }
    return slowest;
}

nlohmann::json measure(std::size_t size)
{
    support::mesh mesh(fleet_plan(size, true));
    std::uint64_t mark = 1;
    mesh.apply(fleet_rules(mark), "bench");
    const bool known = seconds_until_in_force(mesh, mark) && wait_all_known(mesh);

    const runtime_clock clock;
    const time_point began = clock.now();
    const fleet_cost before = cost_of(mesh);
    nlohmann::json line{{"daemons", size}, {"all_known", known}};
    line["last_s"] = slowest_change(mesh, mark);
    const double seconds = std::chrono::duration<double>(clock.now() - began).count();
    line["bytes_per_s"] = mean(difference(cost_of(mesh).bytes_, before.bytes_)) / seconds;
    line["platform_down_last_s"] = slowest_change(mesh, mark, true);
    mesh.set_platform("slow_ms=500");
    line["platform_slow_last_s"] = slowest_change(mesh, mark);
    mesh.set_platform("slow_ms=0");
    mesh.set_platform_link("dc1", "mode=cut");
    line["data_center_cut_last_s"] = slowest_change(mesh, mark);
    return line;
}

nlohmann::json convergence(const options& o)
{
    nlohmann::json sizes = nlohmann::json::array();
    for (const std::size_t size : fleet_sizes(o.size_))
        sizes.push_back(measure(size));
    nlohmann::json line = sizes.back();
    line["sizes"] = sizes;
    return line;
}

const registration registered{"convergence", "seconds until the last daemon has a configuration",
                              convergence};

} // namespace

} // namespace guavahaven::bench
