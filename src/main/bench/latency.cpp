// latency: what the daemons add to a call. Direct requests to the backend
// server and requests through entry and gate are sent in turn, so that the
// machine's own disturbances fall on both.

#include <algorithm>
#include <vector>

#include "main/bench/experiment.h"
#include "support/mesh.h"

namespace guavahaven::bench {

namespace {

constexpr std::size_t rounds = 7;
constexpr std::size_t requests_per_round = 1000;
constexpr const char* rules = R"(
class   lookup deadline 10s   # bench
service board  version v1     # bench
service desk   version v1     # bench
route GET /board/* to board as lookup # bench
route GET /desk/*  to desk  as lookup # bench
)";

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double median(const std::vector<double>& values)
{
    return quantile(values, 0.5);
}

// Milliseconds of each of a round's requests, one after the other.
std::vector<double> measure(const http::address& at)
{
    const std::vector<http::request> requests(requests_per_round, {"GET", "/board/today", {}, ""});
    std::vector<double> took;
    for (const support::timed_response& r : support::fetch_all({at}, requests, 1))
        if (ok(r.response_) && value(r.response_).status_ == 200)
            took.push_back(static_cast<double>(r.took_.count()) / 1000);
    return took;
}

nlohmann::json latency(const options&)
{
    const std::vector<std::string> immediate{"--work-ms=0"};
    support::mesh mesh({{{"leon", "board", "v1", immediate}, {"leon", "desk", "v1", immediate}}, false});
    mesh.apply(rules);
    mesh.wait_ready(1);
    measure(mesh.at(0).backend()); // warms everything up
    measure(mesh.at(1).callers());

    std::vector<double> added_p50;
    std::vector<double> added_p99;
    std::vector<double> direct_p99;
    std::size_t answered = 0;
    const double cpu_before = mesh.at(0).daemon_->cpu_seconds() + mesh.at(1).daemon_->cpu_seconds();
    for (std::size_t i = 0; i < rounds; ++i) {
        const std::vector<double> direct = measure(mesh.at(0).backend());
        const std::vector<double> through = measure(mesh.at(1).callers());
        answered += through.size();
        added_p50.push_back(quantile(through, 0.5) - quantile(direct, 0.5));
        added_p99.push_back(quantile(through, 0.99) - quantile(direct, 0.99));
        direct_p99.push_back(quantile(direct, 0.99));
    }
    const double cpu = mesh.at(0).daemon_->cpu_seconds() + mesh.at(1).daemon_->cpu_seconds() - cpu_before;
    return {{"added_p50_ms", median(added_p50)},
            {"added_p99_ms", median(added_p99)},
            {"direct_p99_ms", median(direct_p99)},
            {"cpu_us_per_call", cpu * 1e6 / static_cast<double>(answered)},
            {"requests", answered}};
}

const registration registered{"latency", "what entry and gate add to a call", latency};

} // namespace

} // namespace guavahaven::bench
