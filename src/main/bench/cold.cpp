// cold: a backend server that bears little after a start and turns cold again
// without warning, under a flood. Counts the requests above what it bears, and
// the time until it is given its full load.

#include <algorithm>
#include <atomic>
#include <thread>

#include "main/bench/experiment.h"
#include "support/mesh.h"

namespace guavahaven::bench {

namespace {

constexpr std::uint64_t default_starts = 4;
constexpr std::size_t at_once = 48;
constexpr std::size_t flood_requests = 200;
constexpr double full_limit = 12;
constexpr duration full_load_wait = std::chrono::seconds(30);
constexpr const char* rules = R"(
class   lookup deadline 5s    # bench
service board  version v1     # bench
route GET /board/* to board as lookup # bench
)";

std::size_t over(const support::mesh& mesh)
{
    const auto all = mesh.journal();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const auto& e) { return e.event_ == "over"; }));
}

// A flood of requests for as long as it lives.
class flood {
public:
    explicit flood(const http::address& at)
        : sender_([this, at] {
              const std::vector<http::request> some(flood_requests, {"GET", "/board/today", {}, ""});
              while (!stop_)
                  support::fetch_all({at}, some, at_once);
          })
    {
    }
    ~flood()
    {
        stop_ = true;
        sender_.join();
    }
    flood(const flood&) = delete;
    flood& operator=(const flood&) = delete;

private:
    std::atomic<bool> stop_ = false;
    std::thread sender_;
};

double seconds_to_full_load(const support::node& n)
{
    const runtime_clock clock;
    const time_point began = clock.now();
    const auto full = [&] { return n.metric("guavahaven_gate_limit") >= full_limit; };
    support::wait_until(full, full_load_wait);
    return std::chrono::duration<double>(clock.now() - began).count();
}

nlohmann::json cold(const options& o)
{
    const std::uint64_t starts = o.size_ == 0 ? default_starts : o.size_;
    const std::vector<std::string> bears_little{"--work-ms=5", "--slots=12", "--cold-slots=3",
                                                "--cold-ms=3000", "--seed=" + std::to_string(o.seed_)};
    support::mesh mesh({{{"leon", "board", "v1", bears_little}}});
    support::node& n = mesh.at(0);
    mesh.apply(rules);
    mesh.wait_ready(1);

    const flood callers(n.callers());
    double full_load = seconds_to_full_load(n);
    const std::size_t after_first = over(mesh);
    for (std::uint64_t i = 1; i < starts; ++i) {
        n.backend_->kill();
        n.start_backend();
        // The limit falls with the death; only then is the way back measured.
        support::wait_until([&] { return n.metric("guavahaven_gate_limit") < full_limit; });
        full_load = std::max(full_load, seconds_to_full_load(n));
    }
    const std::size_t after_starts = over(mesh);
    for (std::uint64_t i = 0; i < starts; ++i) {
        n.set_backend("cold=1");
        support::wait_until([&] { return n.metric("guavahaven_gate_limit") < full_limit; });
        seconds_to_full_load(n);
    }
    return {{"starts", starts},
            {"over_capacity", after_starts},
            {"over_capacity_first_start", after_first},
            {"full_load_s", full_load},
            {"turned_cold", starts},
            {"over_capacity_turned_cold", over(mesh) - after_starts}};
}

const registration registered{"cold", "backend servers that bear little after a start", cold};

} // namespace

} // namespace guavahaven::bench
