#include "operator/capacity.h"

#include <map>

namespace guavahaven::operators {

namespace {

constexpr double used_most = 0.8; // of the slots that remain

struct service_load {
    std::uint64_t remaining_ = 0; // backend servers
    std::uint64_t slots_ = 0;     // of those
    std::uint64_t leaving_ = 0;   // backend servers in data centres that would be out
    std::uint64_t in_flight_ = 0; // of all
};

std::string describe(const std::string& service, const service_load& s)
{
    return "service " + service + ": " + std::to_string(s.remaining_) + " backend servers with " +
           std::to_string(s.slots_) + " slots would remain, " + std::to_string(s.leaving_) +
           " would be out, " + std::to_string(s.in_flight_) + " requests are in flight";
}

} // namespace

std::vector<std::string> capacity_warnings(const decide::configuration& rules,
                                           const std::vector<daemon_status>& daemons)
{
    std::map<std::string, service_load> loads;
    for (const daemon_status& d : daemons) {
        if (d.own_.service_.empty())
            continue;
        service_load& s = loads[d.own_.service_];
        s.in_flight_ += d.own_.in_flight_;
        if (rules.find_out(data_center_name(d.data_center_))) {
            ++s.leaving_;
            continue;
        }
        ++s.remaining_;
        s.slots_ += d.own_.slots_;
    }
    std::vector<std::string> warnings;
    for (const auto& [service, s] : loads) {
        const double bearable = used_most * static_cast<double>(s.slots_);
        const bool too_few = s.remaining_ == 0 || static_cast<double>(s.in_flight_) > bearable;
        if (s.leaving_ > 0 && too_few)
            warnings.push_back(describe(service, s));
    }
    return warnings;
}

} // namespace guavahaven::operators
