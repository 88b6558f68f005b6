// once: requests that must run at most once, while daemons and backend servers
// are killed, connections fall silent and answers are lost. Callers repeat
// under their key through other entries. The plain choices are measured in the
// same call: three attempts straight at the backend servers, and, where the
// daemon with removable guards is built, daemons without fence and daemons that
// send again whatever broke.

#include <filesystem>
#include <thread>

#include "base/random.h"
#include "main/bench/experiment.h"
#include "support/once_load.h"

namespace guavahaven::bench {

namespace {

constexpr std::uint64_t default_seconds = 60;
constexpr std::uint64_t default_nodes = 12;
constexpr const char* unguarded_daemon = "guavahaven-daemon-unguarded";
constexpr std::chrono::milliseconds fault_every{400};
constexpr std::chrono::milliseconds fault_lasts{300};
// Keys whose replicas were restarted are refused for minutes, so the daemons that
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

// How requests are sent; the daemons' guard to take away, if any.
struct variant {
    bool straight_ = false; // to the backend servers, repeated blindly
    std::string without_;
};

support::mesh_plan plan(std::uint64_t nodes, const variant& how)
{
    support::mesh_plan p;
    p.fault_proxy_ = true;
    if (!how.without_.empty()) {
        p.daemon_binary_ = unguarded_daemon;
        p.more_settings_ = "[test]\nwithout = " + how.without_ + "\n";
    }
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

measured measure(std::uint64_t nodes, std::uint64_t seed, duration time, const variant& how)
{
    support::mesh mesh(plan(nodes, how));
    mesh.apply(rules);
    mesh.wait_ready(1);
    support::once_plan load;
    load.seed_ = seed;
    load.repeat_blindly_ = how.straight_;
    for (const support::node& n : mesh.nodes())
        load.entries_.push_back(how.straight_ ? n.backend() : n.callers());
    std::vector<support::once_request> requests;
    std::thread callers([&] { requests = support::send_once_load(load, time); });
    faults injected(mesh, seed, !how.straight_);
    injected.run(time);
    callers.join();
    return {support::count_once(requests, mesh.journal()), injected.daemon_kills(), injected.backend_kills(),
            injected.link_faults()};
}

nlohmann::json to_json(const support::once_counts& c, const std::string& prefix)
{
    return {{prefix + "requests", c.requests_}, {prefix + "run_twice", c.run_twice_},
            {prefix + "lost", c.lost_},         {prefix + "false_not_run", c.false_not_run_},
            {prefix + "unknown", c.unknown_},   {prefix + "refused", c.refused_},
            {prefix + "done", c.done_}};
}

nlohmann::json once(const options& o)
{
    const std::uint64_t nodes = o.size_ == 0 ? default_nodes : o.size_;
    const std::uint64_t seconds = o.seconds_ == 0 ? default_seconds : o.seconds_;
    const bool unguarded = std::filesystem::exists(support::binary_folder() + "/" + unguarded_daemon);
    const duration each = std::chrono::seconds(seconds) / (unguarded ? 4 : 2);
    const measured fenced = measure(nodes, o.seed_, each, {});
    const measured straight = measure(nodes, o.seed_, each, {true, ""});
    nlohmann::json line = to_json(fenced.counts_, "");
    line.update({{"daemons", nodes},
                 {"daemon_kills", fenced.daemon_kills_},
                 {"backend_kills", fenced.backend_kills_},
                 {"link_faults", fenced.link_faults_}});
    line.update(to_json(straight.counts_, "retry_three_times_"));
    if (!unguarded)
        return line;
    line.update(to_json(measure(nodes, o.seed_, each, {false, "fence"}).counts_, "no_fence_"));
    line.update(to_json(measure(nodes, o.seed_, each, {false, "unknown_outcome"}).counts_, "retry_broken_"));
    return line;
}

const registration registered{"once", "at most once under kills, silence and lost answers", once};

} // namespace

} // namespace guavahaven::bench
