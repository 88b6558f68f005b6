#include "main/bench/fleet.h"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace guavahaven::bench {

namespace {

constexpr std::size_t data_centers = 4;
constexpr std::size_t services = 49;
constexpr std::size_t asked_at_once = 16;
constexpr duration in_force_most = std::chrono::seconds(60);

} // namespace

std::vector<std::size_t> fleet_sizes(std::uint64_t limit)
{
    std::vector<std::size_t> sizes{10, 20, 40, 80, 160};
    if (limit > 0)
        std::erase_if(sizes, [limit](std::size_t s) { return s > limit; });
    return sizes;
}

support::mesh_plan fleet_plan(std::size_t daemons, bool platform_proxy)
{
    support::mesh_plan plan;
    for (std::size_t i = 0; i < daemons; ++i)
        plan.nodes_.push_back({"dc" + std::to_string(i % data_centers), "", "", {}});
    plan.platform_proxy_ = platform_proxy;
    return plan;
}

std::string fleet_rules(std::uint64_t mark)
{
    std::ostringstream text;
    text << "class lookup deadline 2s # bench: lookups\n"
         << "class confirm deadline 5s once # bench: confirmations\n";
    for (std::size_t i = 0; i < services; ++i) {
        const std::string name = "service-" + std::to_string(i);
        text << "service " << name << " version v1 # bench: owner of " << name << "\n"
             << "route GET /" << name << "/* to " << name << " as lookup # bench: reads of " << name << "\n"
             << "route POST /" << name << "/* to " << name << " as confirm # bench: writes of " << name
             << "\n";
    }
    text << "route GET /mark/" << mark << " to service-0 as lookup # bench: mark\n";
    return text.str();
}

std::optional<double> seconds_until_in_force(support::mesh& mesh, std::uint64_t mark)
{
    const runtime_clock clock;
    const time_point began = clock.now();
    std::vector<http::address> waiting;
    for (support::node& n : mesh.nodes())
        if (n.daemon_ && n.daemon_->running())
            waiting.push_back(n.callers());
    const http::request marked{"GET", "/mark/" + std::to_string(mark), {}, ""};
    const std::string in_force = std::to_string(number(code::no_backend_server));
    while (clock.now() - began < in_force_most) {
        const std::vector<http::request> requests(waiting.size(), marked);
        std::vector<http::address> still;
        for (const support::timed_response& r :
             support::fetch_all(waiting, requests, std::min(asked_at_once, waiting.size())))
            if (!ok(r.response_) ||
                http::find_header(value(r.response_).headers_, "Guavahaven-Result") != in_force)
                still.push_back(waiting[r.index_]);
        waiting = std::move(still);
        if (waiting.empty())
            return std::chrono::duration<double>(clock.now() - began).count();
    }
    return {};
}

bool wait_all_known(support::mesh& mesh)
{
    const auto all = static_cast<double>(mesh.nodes().size());
    return support::wait_until(
        [&] {
            return std::all_of(mesh.nodes().begin(), mesh.nodes().end(), [&](const support::node& n) {
                return n.metric("guavahaven_members_alive") >= all;
            });
        },
        in_force_most);
}

fleet_cost cost_of(support::mesh& mesh)
{
    fleet_cost cost;
    for (const support::node& n : mesh.nodes())
        cost.cpu_s_.push_back(n.daemon_->cpu_seconds());
    for (const support::node& n : mesh.nodes())
        cost.bytes_.push_back(n.metric("guavahaven_control_bytes_sent_total") +
                              n.metric("guavahaven_control_bytes_received_total"));
    return cost;
}

double mean(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double greatest(const std::vector<double>& values)
{
    return *std::max_element(values.begin(), values.end());
}

std::vector<double> difference(const std::vector<double>& after, const std::vector<double>& before)
{
    std::vector<double> passed;
    for (std::size_t i = 0; i < after.size(); ++i)
        passed.push_back(after[i] - before[i]);
    return passed;
}

double slope(const std::vector<double>& x, const std::vector<double>& y)
{
    const double middle_x = mean(x);
    const double middle_y = mean(y);
    double above = 0;
    double below = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        above += (x[i] - middle_x) * (y[i] - middle_y);
        below += (x[i] - middle_x) * (x[i] - middle_x);
    }
    return below > 0 ? above / below : 0;
}

} // namespace guavahaven::bench
