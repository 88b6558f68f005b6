// A configuration removes a route and its service, and the service's backend is emptied and taken away, while
// a long request still runs there.

#include "../support/rig.h"

namespace {

using namespace rig;

json configuration(const std::string& version, bool with_old)
{
    json routes{{"r-new", route("new.example", "/new/", "desk", false)}};
    json services{{"desk", service()}};
    if (with_old) {
        routes["r-old"] = route("old.example", "/old/", "board", true, 8.0);
        services["board"] = service();
    }
    return {{"version", version}, {"routes", routes}, {"services", services}, {"limits", limits()}};
}

bool play(record& r, const std::string& folder, bool trouble)
{
    store platform(r);
    platform.put("config", "main", configuration("r3", true));
    sidecar one(folder, "sidecar-palermo-a-1", "palermo-a", "board", platform.port());
    sidecar two(folder, "sidecar-palermo-a-2", "palermo-a", "desk", platform.port());
    // A search of the board takes 5 s.
    backend board(r, "i-board", "board", "palermo-a", one.control_port(), [](const message& m) {
        return treatment{treatment::kind::answer, m.target_.ends_with("search") ? 5000 : 10};
    });
    backend desk(r, "i-desk", "desk", "palermo-a", two.control_port(), [](const message& m) {
        return treatment{treatment::kind::answer, m.method_ == "POST" ? 1000 : 10};
    });
    if (!wait_for([&] { return one.ready() && two.ready(); }, 15'000))
        throw could_not_run{"the daemons are not ready"};
    const auto served = [&](const sidecar& at) {
        return fetch(r, at, {"GET", "new.example", "/new/0"}).status_ == 200 &&
               fetch(r, at, {"GET", "old.example", "/old/0"}).status_ == 200;
    };
    if (!wait_for([&] { return served(one) && served(two); }, 15'000))
        throw could_not_run{"no request is served"};
    sleep_ms(3000);

    std::thread waiting([&] { fetch(r, two, {"GET", "old.example", "/old/search", 8000}, "client a"); });
    sleep_ms(300);
    // Nothing leads to the board any more: its backend is emptied and taken away.
    if (trouble)
        platform.put("config", "main", configuration("r5", false));
    board.set_state("draining");
    board.beat();
    sleep_ms(2000); // drainS
    // Confirmations that the desk works on for a second, taken by the same daemon.
    std::vector<std::thread> others;
    for (int i = 0; i < 3; ++i)
        others.emplace_back([&, i] {
            fetch(r, two, {"POST", "new.example", "/new/confirm" + std::to_string(i), 2000, "{}"},
                  "client b" + std::to_string(i));
        });
    sleep_ms(400);
    board.leave();
    board.stop();
    waiting.join();
    for (std::thread& t : others)
        t.join();
    sleep_ms(1000);
    const bool both_run = one.running() && two.running();
    r.note("case", "daemon one: " + one.end() + "; daemon two: " + two.end());
    return both_run;
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc, argv, play);
}
