#include "operator/daemon_settings.h"

#include <sstream>

#include "base/guards.h"

namespace guavahaven::operators {

namespace {

constexpr std::uint64_t port_most = 65'535;
constexpr double default_link_mbps = 1'000;
constexpr double min_link_mbps = 0.1;
constexpr double max_link_mbps = 1e6;
constexpr double bytes_per_megabit = 125'000;

// The port alone stands for one at the daemon's own IP address.
std::uint16_t read_port(settings_file& file, const std::string& key,
                        std::optional<std::uint64_t> fallback = {})
{
    return static_cast<std::uint16_t>(file.integer(key, fallback, fallback ? 0 : 1, port_most));
}

} // namespace

parsed_settings read_daemon_settings(settings_file file)
{
    daemon_settings s;
    std::vector<error> more;
    const auto parse = [&](const std::string& key, const std::string& text) {
        const result<http::address> a = http::parse_address(text);
        if (!ok(a))
            more.push_back({code::settings_bad_value, key + ": " + failure(a).detail_});
        return ok(a) ? value(a) : http::address{};
    };

    s.data_center_ = data_center_name(file.text("daemon.data_center"));
    const std::string ip = file.text("daemon.ip");
    const auto address = [&](const std::string& name) {
        const std::string whole = file.text("daemon." + name + "_address", "");
        return whole.empty() ? http::address{ip, read_port(file, "daemon." + name + "_port")}
                             : parse("daemon." + name + "_address", whole);
    };
    s.callers_ = address("caller");
    s.peers_ = address("peer");
    s.backend_ = address("backend");
    s.operators_ = address("operator");
    s.metrics_port_ = read_port(file, "daemon.metrics_port", 0);
    s.service_ = file.text("daemon.service", "");
    s.stop_notice_ = file.milliseconds("daemon.stop_notice_ms", 0, 0, 3'600'000);
    s.drain_timeout_ = file.milliseconds("daemon.drain_timeout_ms", 30'000, 0, 3'600'000);
    s.link_bytes_per_second_ =
        file.number("daemon.link_mbps", default_link_mbps, min_link_mbps, max_link_mbps) * bytes_per_megabit;
    s.announcement_timeout_ = file.milliseconds("backend.announcement_timeout_ms", 3'000, 100, 600'000);
    s.log_level_ = file.text("log.level", "info");
    if (s.log_level_ != "info" && s.log_level_ != "warn" && s.log_level_ != "error" &&
        s.log_level_ != "debug")
        more.push_back({code::settings_bad_value, "log.level: expected error, warn, info or debug"});
    s.platform_ = parse("platform.address", file.text("platform.address"));
    s.advertised_ = parse("mesh.advertised", file.text("mesh.advertised", http::to_string(s.peers_)));
    std::istringstream seeds(file.text("mesh.seeds", ""));
    for (std::string seed; seeds >> seed;) {
        parse("mesh.seeds", seed);
        s.seeds_.emplace_back(seed);
    }

#ifdef GUAVAHAVEN_UNGUARDED
    if (const std::string off = file.text("test.without", ""); !off.empty() && !disable_guard(off))
        more.push_back({code::settings_bad_value, "test.without: no such guard"});
#endif

    std::vector<error> faults = file.finish();
    faults.insert(faults.end(), more.begin(), more.end());
    if (!faults.empty())
        return faults;
    return s;
}

} // namespace guavahaven::operators
