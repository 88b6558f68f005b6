// Proofs about configurations.

#include <atomic>

#include "object_store/objects.h"
#include "prove/promises.h"

namespace guavahaven::prove {

namespace {

constexpr duration converge_timeout = std::chrono::seconds(30);

std::string numbered_rules(std::uint64_t number)
{
    return std::string(board_and_desk) + "# text " + std::to_string(number) + "\n";
}

// Watches the configuration numbers of all daemons; counts each fall.
class number_watch {
public:
    explicit number_watch(support::mesh& mesh) : mesh_(mesh), thread_([this] { run(); }) {}
    ~number_watch() { stop(); }
    number_watch(const number_watch&) = delete;
    number_watch& operator=(const number_watch&) = delete;

    std::size_t stop()
    {
        stopping_ = true;
        if (thread_.joinable())
            thread_.join();
        return falls_;
    }

private:
    void run()
    {
        while (!stopping_) {
            for (const support::node& n : mesh_.nodes())
                look(n);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    void look(const support::node& n)
    {
        const auto status = n.status();
        if (!ok(status) || value(status).configuration_ == 0)
            return; // not there, or not serving yet
        std::uint64_t& highest = highest_[n.name()];
        falls_ += value(status).configuration_ < highest ? 1 : 0;
        highest = std::max(highest, value(status).configuration_);
    }

    support::mesh& mesh_;
    std::map<std::string, std::uint64_t> highest_;
    std::size_t falls_ = 0;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

// Writes a record straight into the platform, past the command line's checks.
void put_record(support::mesh& mesh, std::uint64_t number, const std::string& text)
{
    const std::string target =
        std::string("/objects/") + object_store::configuration_kind + "/" + object_store::current_name;
    const auto now = support::fetch(mesh.platform(), {"GET", target, {}, ""});
    const std::string version = ok(now) ? http::find_header(value(now).headers_, "Version") : "0";
    const std::string bytes = object_store::to_bytes({configuration_number(number), "intruder", 0, text});
    support::fetch(mesh.platform(), {"PUT", target, {{"If-Version", version}}, bytes});
}

// After a bad configuration 2: nothing changed, it is reported, and a good one is taken.
void check_refused(support::mesh& mesh, outcome& o)
{
    const auto told = [&] {
        for (support::node& n : mesh.nodes()) {
            const auto status = n.status();
            if (ok(status) && !value(status).problems_.empty())
                return true;
        }
        return false;
    };
    if (!support::wait_until(told, std::chrono::seconds(10)))
        o.broken_.emplace_back("no daemon reports the bad configuration");
    for (support::node& n : mesh.nodes()) {
        const auto status = n.status();
        if (!ok(status))
            o.broken_.push_back("a daemon does not answer any more");
        else if (value(status).configuration_ != 1)
            o.broken_.push_back("a daemon has put the bad configuration in force");
    }
    support::load load(callers(mesh, {{"lookup", "GET", "/shifts/", ""}}));
    wait_requests(load, 40);
    std::size_t refused = 0;
    for (const support::sent_request& r : load.stop())
        refused += r.status_ == 200 ? 0 : 1;
    add_broken(o, refused, "requests were not served by the configuration in force");
    const support::finished applied = mesh.apply(numbered_rules(3));
    if (applied.status_ != 0 || !mesh.wait_configuration(3))
        o.broken_.push_back("a good configuration does not follow the bad one: " + applied.output_);
}

outcome prove_refused(const setup& s, const std::string& bad_line)
{
    outcome o;
    support::mesh mesh(two_data_centers(s));
    if (!establish(mesh, board_and_desk, 1, o))
        return o;
    // The command line refuses it
    const std::string bad = std::string(board_and_desk) + bad_line + "\n";
    if (mesh.apply(bad).status_ != 2)
        o.broken_.emplace_back("the command line does not refuse the bad rules");
    // And so does each daemon, if it comes in another way
    put_record(mesh, 2, bad);
    o.survived_.emplace_back("bad rules in the platform");
    check_refused(mesh, o);
    return o;
}

} // namespace

outcome never_reverts(const setup& s)
{
    return in_two_data_centers(s, numbered_rules(1), [&](support::mesh& mesh, outcome& o) {
        number_watch watch(mesh);
        random_engine random(s.seed_);
        for (std::uint64_t number = 2; number <= 4; ++number) {
            const std::vector<placed_fault> pair = draw_pair(
                random, {fault_kind::freeze, fault_kind::cut, fault_kind::silence, fault_kind::delay},
                mesh.nodes().size());
            for (const placed_fault& f : pair)
                begin(mesh, f);
            if (mesh.apply(numbered_rules(number)).status_ != 0)
                o.broken_.emplace_back("rules not accepted");
            for (const placed_fault& f : pair)
                heal(mesh, f);
            o.survived_.push_back(to_string(pair));
            if (!mesh.wait_configuration(number)) {
                o.broken_.push_back("configuration " + std::to_string(number) +
                                    " is not in force everywhere");
                break;
            }
        }
        // The platform is put back to an older state, and tells everyone of it.
        put_record(mesh, 3, numbered_rules(3));
        std::this_thread::sleep_for(std::chrono::seconds(1));
        if (!mesh.wait_configuration(4))
            o.broken_.emplace_back("a daemon went back with the platform");
        o.survived_.emplace_back("platform put back");
        add_broken(o, watch.stop(), "times a daemon went back to an older configuration");
    });
}

outcome accepted_reaches_all(const setup& s)
{
    outcome o;
    // More daemons than those few of a data centre that watch the platform.
    support::mesh_plan plan = two_data_centers(s);
    for (int i = 0; i < 3; ++i)
        plan.nodes_.push_back({"leon", "board", "v1", {}});
    support::mesh mesh(plan);
    if (!establish(mesh, numbered_rules(1), 1, o))
        return o;
    random_engine random(s.seed_);
    // Two operators race, answers of the platform are lost, and as soon as a
    // configuration is accepted and has reached one daemon, the platform fails.
    // One daemon is down meanwhile, and can learn of it from the others alone.
    const std::size_t down = random_index(random, mesh.nodes().size());
    mesh.at(down).daemon_->kill();
    begin(mesh, {fault_kind::platform_forgets, 0});
    support::finished other;
    std::thread rival([&] { other = mesh.apply(numbered_rules(3), "rival"); });
    const support::finished applied = mesh.apply(numbered_rules(2), "operator");
    rival.join();
    heal(mesh, {fault_kind::platform_forgets, 0});
    const std::uint64_t accepted = 1 + (applied.status_ == 0 ? 1U : 0U) + (other.status_ == 0 ? 1U : 0U);
    if (accepted == 1)
        o.broken_.push_back("neither operator's rules were accepted: " + applied.output_ + other.output_);
    const auto one_has_it = [&] {
        for (std::size_t i = 0; i < mesh.nodes().size(); ++i) {
            if (i == down)
                continue;
            const auto status = mesh.at(i).status();
            if (ok(status) && value(status).configuration_ >= accepted)
                return true;
        }
        return false;
    };
    if (!support::wait_until(one_has_it, converge_timeout))
        o.broken_.emplace_back("no daemon has the accepted configuration");
    mesh.set_platform("outage=1");
    mesh.at(down).start_daemon();
    if (!mesh.wait_configuration(accepted, converge_timeout))
        o.broken_.emplace_back("the accepted configuration does not reach every daemon");
    mesh.set_platform("outage=0");
    o.survived_.emplace_back("operator race + lost platform answers");
    o.survived_.emplace_back("platform outage + kill");
    return o;
}

outcome bad_configuration_is_refused_whole(const setup& s)
{
    return prove_refused(s, "class lookup deadline never # proof");
}

outcome routes_have_targets(const setup& s)
{
    return prove_refused(s, "route GET /ghosts/* to ghost as lookup # proof");
}

} // namespace guavahaven::prove
