// once: requests that must run at most once, while daemons and backend servers
// are killed, connections fall silent and answers are lost. Callers repeat
// under their key through other entries. The plain choice, three attempts
// straight at the backend servers, is measured in the same call.

#include <thread>

#include "base/random.h"
#include "main/bench/experiment.h"
#include "support/once_load.h"

namespace guavahaven::bench {

namespace {

constexpr std::uint64_t default_seconds = 60;
constexpr std::uint64_t default_nodes = 12;
constexpr std::chrono::milliseconds fault_every{400};
constexpr std::chrono::milliseconds fault_lasts{300};
// Keys whose homes were restarted are refused for minutes, so the daemons that
// are killed are the same few: an ordinary day loses two.
constexpr std::size_t killed_daemons = 2;
constexpr const char* rules = R"(
class   confirm deadline 2s once   # bench
service desk    version v1         # bench
route POST /placements/* to desk as confirm # bench
)";

// One fault after the other, at nodes drawn by chance.
class faults {
public:
    faults(support::mesh& mesh, std::uint64_t seed, bool of_daemons)
        : mesh_(mesh), random_(seed), of_daemons_(of_daemons)
    {
    }

    void run(duration time)
    {
        const runtime_clock clock;
        const time_point end = clock.now() + time;
        while (clock.now() < end) {
            one();
            std::this_thread::sleep_for(fault_every - fault_lasts);
        }
    }

    std::size_t daemon_kills() const { return daemon_kills_; }
    std::size_t backend_kills() const { return backend_kills_; }
    std::size_t link_faults() const { return link_faults_; }

private:
    void one()
    {
        const std::size_t kind = of_daemons_ ? random_index(random_, 10) : 0;
        const bool kills_daemon = kind == 9;
        support::node& n =
            mesh_.at(random_index(random_, kills_daemon ? killed_daemons : mesh_.nodes().size()));
        if (kills_daemon) {
            n.daemon_->kill();
            std::this_thread::sleep_for(fault_lasts);
            n.start_daemon();
            ++daemon_kills_;
        }
        else if (kind < 3) {
            n.backend_->kill();
            std::this_thread::sleep_for(fault_lasts);
            n.start_backend();
            ++backend_kills_;
        }
        else {
            mesh_.set_fault(n, kind < 6 ? "mode=silence" : "mode=drop_answers");
            std::this_thread::sleep_for(fault_lasts);
            mesh_.set_fault(n, "mode=pass");
            ++link_faults_;
        }
    }

    support::mesh& mesh_;
    random_engine random_;
    bool of_daemons_;
    std::size_t daemon_kills_ = 0;
    std::size_t backend_kills_ = 0;
    std::size_t link_faults_ = 0;
};

support::mesh_plan plan(std::uint64_t nodes)
{
    support::mesh_plan p;
    p.fault_proxy_ = true;
    for (std::uint64_t i = 0; i < nodes; ++i)
        p.nodes_.push_back({i % 2 == 0 ? "leon" : "celaya", "desk", "v1", {"--work-ms=20"}});
    return p;
}

struct measured {
    support::once_counts counts_;
    std::size_t daemon_kills_ = 0;
    std::size_t backend_kills_ = 0;
    std::size_t link_faults_ = 0;
};

measured measure(std::uint64_t nodes, std::uint64_t seed, duration time, bool plain)
{
    support::mesh mesh(plan(nodes));
    mesh.apply(rules);
    mesh.wait_ready(1);
    support::once_plan load;
    load.seed_ = seed;
    load.repeat_blindly_ = plain;
    for (const support::node& n : mesh.nodes())
        load.entries_.push_back(plain ? n.backend() : n.callers());
    std::vector<support::once_request> requests;
    std::thread callers([&] { requests = support::send_once_load(load, time); });
    faults injected(mesh, seed, !plain);
    injected.run(time);
    callers.join();
    return {support::count_once(requests, mesh.journal()), injected.daemon_kills(), injected.backend_kills(),
            injected.link_faults()};
}

nlohmann::json once(const options& o)
{
    const std::uint64_t nodes = o.size_ == 0 ? default_nodes : o.size_;
    const std::uint64_t seconds = o.seconds_ == 0 ? default_seconds : o.seconds_;
    const duration half = std::chrono::seconds(seconds) / 2;
    const measured through = measure(nodes, o.seed_, half, false);
    const support::once_counts plain = measure(nodes, o.seed_, half, true).counts_;
    const support::once_counts& fenced = through.counts_;
    return {{"daemons", nodes},
            {"requests", fenced.requests_},
            {"run_twice", fenced.run_twice_},
            {"lost", fenced.lost_},
            {"false_not_run", fenced.false_not_run_},
            {"unknown", fenced.unknown_},
            {"refused", fenced.refused_},
            {"done", fenced.done_},
            {"daemon_kills", through.daemon_kills_},
            {"backend_kills", through.backend_kills_},
            {"link_faults", through.link_faults_},
            {"retry_three_times_requests", plain.requests_},
            {"retry_three_times_run_twice", plain.run_twice_},
            {"retry_three_times_unknown", plain.unknown_}};
}

const registration registered{"once", "at most once under kills, silence and lost answers", once};

} // namespace

} // namespace guavahaven::bench
