// footprint: what control costs a daemon, idle and under changes of the
// configuration, for each size, and how it grows with the size.

#include <thread>

#include "main/bench/fleet.h"

namespace guavahaven::bench {

namespace {

constexpr std::uint64_t idle_seconds = 10;
constexpr std::chrono::seconds settle_time{5};
constexpr std::uint64_t changes = 5;
constexpr std::chrono::milliseconds change_interval{1000};
constexpr double changes_per_day = 590;
constexpr double seconds_per_day = 86'400;
constexpr double share_per_change_rate = changes_per_day / seconds_per_day;

struct size_cost {
    double daemons_ = 0;
    double core_share_ = 0;
    double rss_mb_ = 0;
    double bytes_per_s_ = 0;
    nlohmann::json line_;
};

void run_changes(support::mesh& mesh, std::uint64_t& mark)
{
    for (std::uint64_t i = 0; i < changes; ++i) {
        mesh.apply(fleet_rules(++mark), "bench");
        std::this_thread::sleep_for(change_interval);
    }
}

size_cost measure(std::size_t size, std::uint64_t seconds)
{
    support::mesh mesh(fleet_plan(size));
    std::uint64_t mark = 1;
    mesh.apply(fleet_rules(mark), "bench");
    const bool known = seconds_until_in_force(mesh, mark) && wait_all_known(mesh);
    std::this_thread::sleep_for(settle_time); // for the start's news to be spread

    const runtime_clock clock;
    const time_point began = clock.now();
    const fleet_cost start = cost_of(mesh);
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const double idle = std::chrono::duration<double>(clock.now() - began).count();
    const fleet_cost quiet = cost_of(mesh);
    const time_point changes_began = clock.now();
    run_changes(mesh, mark);
    const double changing = std::chrono::duration<double>(clock.now() - changes_began).count();
    const fleet_cost changed = cost_of(mesh);

    const double idle_core = mean(difference(quiet.cpu_s_, start.cpu_s_)) / idle;
    const double idle_bytes = mean(difference(quiet.bytes_, start.bytes_)) / idle;
    const double count = changes;
    const double core_per_change =
        (mean(difference(changed.cpu_s_, quiet.cpu_s_)) - idle_core * changing) / count;
    const double bytes_per_change =
        (mean(difference(changed.bytes_, quiet.bytes_)) - idle_bytes * changing) / count;
    std::vector<double> rss;
    for (const support::node& n : mesh.nodes())
        rss.push_back(n.daemon_->resident_mb());

    size_cost cost;
    cost.daemons_ = static_cast<double>(size);
    cost.core_share_ = idle_core + core_per_change * share_per_change_rate;
    cost.rss_mb_ = greatest(rss);
    cost.bytes_per_s_ = idle_bytes + bytes_per_change * share_per_change_rate;
    cost.line_ = {{"daemons", size},
                  {"all_known", known},
                  {"core_share", cost.core_share_},
                  {"idle_core_share", idle_core},
                  {"core_s_per_change", core_per_change},
                  {"rss_mb", cost.rss_mb_},
                  {"bytes_per_s", cost.bytes_per_s_},
                  {"idle_bytes_per_s", idle_bytes},
                  {"idle_bytes_per_s_most", greatest(difference(quiet.bytes_, start.bytes_)) / idle},
                  {"bytes_per_change", bytes_per_change}};
    return cost;
}

nlohmann::json footprint(const options& o)
{
    std::vector<double> daemons;
    std::vector<double> core;
    std::vector<double> rss;
    std::vector<double> bytes;
    nlohmann::json sizes = nlohmann::json::array();
    for (const std::size_t size : fleet_sizes(o.size_)) {
        const size_cost cost = measure(size, o.seconds_ > 0 ? o.seconds_ : idle_seconds);
        daemons.push_back(cost.daemons_);
        core.push_back(cost.core_share_);
        rss.push_back(cost.rss_mb_);
        bytes.push_back(cost.bytes_per_s_);
        sizes.push_back(cost.line_);
    }
    nlohmann::json line = sizes.back();
    line["core_share_slope"] = slope(daemons, core);
    line["rss_mb_slope"] = slope(daemons, rss);
    line["bytes_per_s_slope"] = slope(daemons, bytes);
    line["sizes"] = sizes;
    return line;
}

const registration registered{"footprint", "what control costs a daemon, by the size of the mesh", footprint};

} // namespace

} // namespace guavahaven::bench
