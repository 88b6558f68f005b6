// Half of the machines lose power for good just before the configuration moves a route to another service:
// those that were reading the platform's store. The others can reach the store all the while.

#include "../support/rig.h"

namespace {

using namespace rig;

json configuration(const std::string& version, const std::string& to)
{
    return {{"version", version},
            {"routes", {{"r-confirm", route("mesh.example", "/confirm/", to, false)}}},
            {"services", {{"board", service()}, {"desk", service()}}},
            {"limits", limits()}};
}

bool play(record& r, const std::string& folder, bool trouble)
{
    constexpr std::size_t machines = 8; // 4 in each of 2 zones
    store platform(r);
    platform.put("config", "main", configuration("r3", "board"));
    std::vector<std::unique_ptr<sidecar>> daemons;
    std::vector<std::unique_ptr<backend>> backends;
    for (std::size_t i = 0; i < machines; ++i) {
        const std::string zone = i < machines / 2 ? "palermo-a" : "palermo-b";
        const std::string of = i % 2 ? "desk" : "board";
        daemons.push_back(std::make_unique<sidecar>(
            folder, "sidecar-" + zone + "-" + std::to_string(i % 4 + 1), zone, of, platform.port()));
        backends.push_back(std::make_unique<backend>(r, "i-" + of + "-" + std::to_string(i), of, zone,
                                                     daemons[i]->control_port()));
    }
    if (!wait_for([&] { return std::all_of(daemons.begin(), daemons.end(), [](auto& d) { return d->ready(); }); },
                  15'000))
        throw could_not_run{"the daemons are not ready"};
    sleep_ms(8000); // until it is settled which of them watch the store
    std::vector<std::size_t> lost, rest;
    for (std::size_t i = 0; i < machines; ++i)
        (platform.watches(i) && lost.size() < machines / 2 ? lost : rest).push_back(i);
    for (const std::size_t i : rest)
        if (fetch(r, *daemons[i], {"POST", "mesh.example", "/confirm/0"}).status_ != 200)
            throw could_not_run{"no request is served"};
    for (const std::size_t i : lost)
        r.note("case", daemons[i]->name() + " watches the store");
    if (trouble)
        for (const std::size_t i : lost) {
            daemons[i]->signal(SIGKILL); // for good, and its backend with it
            backends[i]->stop_beats();
            r.note("platform", daemons[i]->name() + " loses power");
        }
    platform.put("config", "main", configuration("r5", "desk"));
    const auto acknowledged = steady::now();
    int stale = 0, sent_late = 0;
    while (steady::now() - acknowledged < milliseconds(8000)) {
        for (const std::size_t i : rest) {
            const bool late = steady::now() - acknowledged > milliseconds(2000); // configApplyS
            const request q{"POST", "mesh.example", "/confirm/1", 1000};
            const message m = fetch(r, *daemons[i], q);
            sent_late += late ? 1 : 0;
            if (late && m.body_.starts_with("board")) {
                ++stale;
                r.note("case", "attempt " + q.attempt_ + " was sent " +
                                   std::to_string(std::chrono::duration_cast<milliseconds>(steady::now() -
                                                                                           acknowledged)
                                                      .count()) +
                                   " ms after the acknowledgement of r5 and run as only r3 allows");
            }
        }
        sleep_ms(100);
    }
    r.note("case", std::to_string(stale) + " of " + std::to_string(sent_late) +
                       " requests sent later than 2 s after the acknowledgement were run by the old service");
    return stale == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc, argv, play);
}
