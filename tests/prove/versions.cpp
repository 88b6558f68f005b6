// Proofs about backend server versions.

#include "prove/promises.h"

namespace guavahaven::prove {

namespace {

constexpr int move_seconds = 60;   // until the move's deadline
constexpr double share_most = 0.3; // of the service's requests, that a bad version may get
constexpr duration withdraw_timeout = std::chrono::seconds(40);

bool taken_back_everywhere(support::mesh& mesh)
{
    for (support::node& n : mesh.nodes()) {
        const auto status = n.status();
        if (!ok(status) || value(status).moves_.empty() ||
            value(status).moves_.front().state_ != "taken back")
            return false;
    }
    return true;
}

std::size_t runs_of(const support::mesh& mesh, const std::string& version)
{
    std::size_t runs = 0;
    for (const support::journal_entry& e : mesh.journal())
        runs += e.event_ == "run" && e.version_ == version ? 1 : 0;
    return runs;
}

} // namespace

outcome bad_version_is_withdrawn(const setup& s)
{
    outcome o;
    support::mesh_plan plan = two_data_centers(s);
    for (const char* place : {"leon", "celaya"})
        plan.nodes_.push_back({place, "desk", "v2", {}});
    support::mesh mesh(plan);
    if (!establish(mesh, board_and_desk, 1, o))
        return o;
    support::load load(callers(mesh, {{"lookup", "GET", "/placements/", ""}}));
    wait_requests(load, 40);
    // The new version fails from the start, on all its backend servers.
    mesh.at(4).set_backend("fail=100");
    mesh.at(5).set_backend("fail=100");
    const std::string rules = std::string(board_and_desk) + "move desk to v2 by " +
                              support::utc_in(std::chrono::seconds(move_seconds)) + " from 10% # proof\n";
    const std::size_t old_before = runs_of(mesh, "v1");
    if (mesh.apply(rules).status_ != 0)
        o.broken_.emplace_back("rules not accepted");
    if (!support::wait_until([&] { return taken_back_everywhere(mesh); }, withdraw_timeout))
        o.broken_.emplace_back("the bad version was not taken back");
    const std::size_t bad = runs_of(mesh, "v2");
    const std::size_t good = runs_of(mesh, "v1") - old_before;
    if (bad == 0)
        o.broken_.emplace_back("the new version was never tried");
    if (static_cast<double>(bad) > share_most * static_cast<double>(bad + good))
        o.broken_.push_back("the bad version got " + std::to_string(bad) + " of " +
                            std::to_string(bad + good) + " requests");
    // Once withdrawn it gets none, though the platform fails and a daemon starts anew.
    mesh.set_platform("outage=1");
    const placed_fault kill{fault_kind::kill, s.seed_ % 4};
    begin(mesh, kill);
    heal(mesh, kill);
    wait_requests(load, 120);
    mesh.set_platform("outage=0");
    add_broken(o, runs_of(mesh, "v2") - bad, "requests ran on the version after its withdrawal");
    o.survived_.emplace_back("platform outage + kill");
    need_answers(load.stop(), o);
    return o;
}

} // namespace guavahaven::prove
