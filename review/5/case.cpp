// A request whose path is a route's prefix without its last slash.

#include "../support/rig.h"

namespace {

using namespace rig;

json configuration(const std::string& version, bool added)
{
    json routes{{"r-all", route("mesh.example", "/", "board")}};
    if (added)
        routes["r-added"] = route("mesh.example", "/desk/", "desk", false);
    return {{"version", version},
            {"routes", routes},
            {"services", {{"board", service()}, {"desk", service()}}},
            {"limits", limits()}};
}

bool play(record& r, const std::string& folder, bool trouble)
{
    store platform(r);
    platform.put("config", "main", configuration("r3", false));
    sidecar one(folder, "sidecar-palermo-a-1", "palermo-a", "board", platform.port());
    sidecar two(folder, "sidecar-palermo-a-2", "palermo-a", "desk", platform.port());
    backend board(r, "i-board", "board", "palermo-a", one.control_port());
    backend desk(r, "i-desk", "desk", "palermo-a", two.control_port());
    if (!wait_for([&] { return one.ready() && two.ready(); }, 15'000))
        throw could_not_run{"the daemons are not ready"};
    if (!wait_for([&] { return fetch(r, one, {"GET", "mesh.example", "/desk"}).status_ == 200; }, 10'000))
        throw could_not_run{"no request is served"};
    if (trouble)
        platform.put("config", "main", configuration("r5", true));
    sleep_ms(6000); // configApplyS, and contactS
    std::set<std::string> sent;
    bool foreign = false;
    for (int i = 0; i < 10; ++i) {
        const request q{"GET", "mesh.example", "/desk"};
        sent.insert(q.attempt_);
        const message m = fetch(r, i % 2 ? one : two, q);
        foreign = foreign || m.body_.starts_with("desk");
    }
    int strange = 0;
    for (const auto& [attempt, runs] : desk.runs())
        strange += sent.contains(attempt) ? runs : 0;
    r.note("case", "requests for /desk that 'desk' ran: " + std::to_string(strange));
    return strange == 0 && !foreign;
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc, argv, play);
}
