// balance: lookups answered in time while one backend server is slow and
// another vanishes. The daemons' choice against round robin over the backend
// servers, in turn in one run.

#include <algorithm>

#include "main/bench/experiment.h"
#include "support/mesh.h"

namespace guavahaven::bench {

namespace {

constexpr std::size_t requests_per_round = 1500;
constexpr std::size_t at_once = 8;
constexpr std::size_t backend_servers = 4;
constexpr duration in_time = std::chrono::milliseconds(60);
constexpr const char* rules = R"(
class   lookup deadline 5s    # bench
service board  version v1     # bench
service desk   version v1     # bench
route GET /board/* to board as lookup # bench
)";

// Share of requests answered in time.
double in_time_share(const std::vector<http::address>& at)
{
    const std::vector<http::request> requests(requests_per_round, {"GET", "/board/today", {}, ""});
    const auto responses = support::fetch_all(at, requests, at_once, std::chrono::seconds(1));
    const auto good = std::count_if(responses.begin(), responses.end(), [](const support::timed_response& r) {
        return ok(r.response_) && value(r.response_).status_ == 200 && r.took_ <= in_time;
    });
    return static_cast<double>(good) / static_cast<double>(requests_per_round);
}

nlohmann::json balance(const options&)
{
    support::mesh_plan plan;
    plan.nodes_.push_back({"leon", "desk", "v1", {}}); // the entry
    for (std::size_t i = 0; i < backend_servers; ++i)
        plan.nodes_.push_back({"leon", "board", "v1", {}});
    support::mesh mesh(plan);
    mesh.apply(rules);
    mesh.wait_ready(1);
    const std::vector<http::address> ours{mesh.at(0).callers()};
    std::vector<http::address> plain;
    for (std::size_t i = 1; i <= backend_servers; ++i)
        plain.push_back(mesh.at(i).backend());
    in_time_share(ours); // warms everything up

    nlohmann::json line{{"requests", requests_per_round}, {"in_time_ms", in_time.count() / 1000}};
    const auto measure = [&](const std::string& what) {
        line[what + "_in_time"] = in_time_share(ours);
        line[what + "_round_robin_in_time"] = in_time_share(plain);
    };
    measure("healthy");
    mesh.at(1).set_backend("slow_ms=100");
    measure("slow");
    mesh.at(1).set_backend("slow_ms=0");
    mesh.at(2).set_backend("fail=100&fail_status=503");
    measure("failing");
    mesh.at(2).set_backend("fail=0");
    mesh.at(3).backend_->kill();
    mesh.at(3).daemon_->kill();
    measure("vanished");
    return line;
}

const registration registered{"balance", "in-time share with a slow, a failing and a vanished server",
                              balance};

} // namespace

} // namespace guavahaven::bench
