// How the gate contains requests that crash backend servers: it reports crashes to the other gates of the
// service and refuses requests that have caused too many.

#include <algorithm>

#include "decide/gate/gate.h"

namespace guavahaven::decide {

void gate::record_crash(const held_call& held, time_point now)
{
    const crash_report report{fingerprint(held.call_.request_), self_, backend_start_};
    if (!crash_suspects_.record(report, now))
        return;
    for (const member& m : view_->members_)
        if (m.service_ == held.call_.service_ && m.name_ != self_)
            actions_.push_back(send_to_peer_gate{m.name_, report, false});
}

void gate::receive(const daemon_name&, const crash_report& m, time_point now)
{
    crash_suspects_.record(m, now);
}

// Only one run of a suspected request is allowed at a time, so that it crashes at most one more backend
// server.
code gate::check_suspect(const call& c) const
{
    const std::uint64_t request_fingerprint = fingerprint(c.request_);
    if (crash_suspects_.refused(request_fingerprint))
        return code::suspect_request;
    const auto same = [request_fingerprint](const auto& r) {
        return fingerprint(r.second.call_.request_) == request_fingerprint;
    };
    const bool runs =
        crash_suspects_.suspected(request_fingerprint) && std::any_of(running_.begin(), running_.end(), same);
    return runs ? code::overloaded : code::ok;
}

} // namespace guavahaven::decide
