// storm: all daemons of a data centre, then all daemons, killed and started
// again at once: what the platform has to bear, and when they serve again.

#include "main/bench/fleet.h"

namespace guavahaven::bench {

namespace {

constexpr std::size_t size_by_default = 160;

nlohmann::json restart(support::mesh& mesh, const std::string& data_center, std::uint64_t mark)
{
    const auto meant = [&](const support::node& n) {
        return data_center.empty() || n.plan().data_center_ == data_center;
    };
    for (support::node& n : mesh.nodes())
        if (meant(n))
            n.daemon_->kill();
    mesh.set_platform("reset=1");
    const runtime_clock clock;
    const time_point began = clock.now();
    for (support::node& n : mesh.nodes())
        if (meant(n))
            n.start_daemon();
    const bool in_force = seconds_until_in_force(mesh, mark).has_value();
    const double serving_again = std::chrono::duration<double>(clock.now() - began).count();
    const bool known = wait_all_known(mesh);
    return {{"serving_again_s", in_force ? serving_again : -1},
            {"all_known", known},
            {"platform_reads_peak", mesh.platform_counter("reads_peak")},
            {"platform_writes_peak", mesh.platform_counter("writes_peak")},
            {"platform_reads", mesh.platform_counter("reads")},
            {"platform_writes", mesh.platform_counter("writes")},
            {"platform_refused", mesh.platform_counter("refused")}};
}

nlohmann::json storm(const options& o)
{
    const std::size_t size = o.size_ > 0 ? o.size_ : size_by_default;
    support::mesh mesh(fleet_plan(size));
    mesh.apply(fleet_rules(1), "bench");
    seconds_until_in_force(mesh, 1);
    wait_all_known(mesh);
    const nlohmann::json one = restart(mesh, "dc1", 1);
    nlohmann::json line = restart(mesh, "", 1);
    line["daemons"] = size;
    line["one_data_center"] = one;
    return line;
}

const registration registered{"storm", "all daemons of a data centre, then all, killed and started at once",
                              storm};

} // namespace

} // namespace guavahaven::bench
