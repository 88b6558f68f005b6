// A client sends a request with a long body, within the limits of the configuration. The platform's stand-in
// kills a daemon that exceeds the memory of its machine, as the pages say.

#include "../support/rig.h"

namespace {

using namespace rig;

constexpr long memory_mb = 110;         // of a 'sidecar' machine of this site
constexpr std::size_t long_body_mb = 60; // maxBodyBytes is 64 MB

// Resident memory now, in MB.
long resident_mb(pid_t id)
{
    std::ifstream in("/proc/" + std::to_string(id) + "/status");
    std::string line;
    while (std::getline(in, line))
        if (line.starts_with("VmRSS:"))
            return std::atol(line.c_str() + 6) / 1024;
    return 0;
}

json configuration(const std::string& version)
{
    return {{"version", version},
            {"routes",
             {{"r-patto", route("patto.example", "/patto/", "patto", false, 4)},
              {"r-notte", route("notte.example", "/notte/", "notte", false, 4)}}},
            {"services", {{"patto", service()}, {"notte", service()}}},
            {"limits", limits()}};
}

bool play(record& r, const std::string& folder, bool trouble)
{
    store platform(r);
    platform.put("config", "main", configuration("r3"));
    sidecar one(folder, "sidecar-palermo-a-1", "palermo-a", "notte", platform.port());
    sidecar two(folder, "sidecar-palermo-a-2", "palermo-a", "patto", platform.port());
    backend notte(r, "i-notte", "notte", "palermo-a", one.control_port());
    backend patto(r, "i-patto", "patto", "palermo-a", two.control_port(), [](const message& m) {
        return treatment{treatment::kind::answer, m.method_ == "POST" ? 2000 : 10};
    });
    if (!wait_for([&] { return one.ready() && two.ready(); }, 15'000))
        throw could_not_run{"the daemons are not ready"};
    const auto served = [&](const sidecar& at) {
        return fetch(r, at, {"GET", "patto.example", "/patto/0"}).status_ == 200 &&
               fetch(r, at, {"GET", "notte.example", "/notte/0"}).status_ == 200;
    };
    if (!wait_for([&] { return served(one) && served(two); }, 15'000))
        throw could_not_run{"no request is served"};
    r.note("platform", two.name() + " uses " + std::to_string(resident_mb(two.id())) + " MB");

    std::atomic<bool> over = false;
    std::atomic<long> peak = 0;
    std::atomic<bool> killed = false;
    std::thread watch([&] {
        while (!over) {
            const long now = resident_mb(two.id());
            peak = std::max<long>(peak, now);
            if (now > memory_mb && !killed.exchange(true)) {
                two.signal(SIGKILL);
                r.note("platform", two.name() + " uses " + std::to_string(now) + " MB of " +
                                       std::to_string(memory_mb) + ", and is killed");
            }
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        }
    });
    // Consent changes of others on kept connections, which the same daemon has read and whose backend is at
    // work.
    std::vector<std::thread> others;
    std::atomic<int> lost = 0;
    for (int i = 0; i < 5; ++i)
        others.emplace_back([&, i] {
            const std::string who = "client " + std::to_string(i);
            const auto c = connect_to(two.caller_port());
            fetch_on(r, c.get(), two, {"GET", "patto.example", "/patto/0"}, who);
            const request q{"POST", "patto.example", "/patto/consent" + std::to_string(i), 4000, "{}"};
            lost += fetch_on(r, c.get(), two, q, who).status_ == 0 && patto.runs().contains(q.attempt_);
        });
    sleep_ms(300);
    const std::size_t bytes = trouble ? long_body_mb << 20 : 1 << 20;
    r.note("client", "its next body has " + std::to_string(bytes) + " bytes");
    fetch(r, two, {"POST", "notte.example", "/notte/1", 4000, std::string(bytes, 'x')});
    for (std::thread& t : others)
        t.join();
    over = true;
    watch.join();
    sleep_ms(200);
    const bool runs = two.running();
    r.note("case", std::to_string(lost) + " requests of kept connections have run and got no answer");
    r.note("case", two.name() + " used up to " + std::to_string(peak) + " MB: " + two.end());
    return runs && !killed && lost <= 3;
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc, argv, play);
}
