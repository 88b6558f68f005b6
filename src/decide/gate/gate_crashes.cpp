// The gate's part in containing requests that crash backend servers.

#include <algorithm>

#include "decide/gate/gate.h"

namespace guavahaven::decide {

void gate::note_crash(const held_call& held, time_point now)
{
    const crash_report report{fingerprint(held.call_.request_), self_, backend_start_};
    if (!suspects_.note(report, now))
        return;
    for (const member& m : view_->members_)
        if (m.service_ == held.call_.service_ && m.name_ != self_)
            actions_.push_back(send_to_peer_gate{m.name_, report, false});
}

void gate::take(const daemon_name&, const crash_report& m, time_point now)
{
    suspects_.note(m, now);
}

// A suspect runs once at a time, so that one death at most adds to the proof.
code gate::suspicion(const call& c) const
{
    const std::uint64_t print = fingerprint(c.request_);
    if (suspects_.refused(print))
        return code::suspect_request;
    const auto same = [print](const auto& r) { return fingerprint(r.second.call_.request_) == print; };
    const bool runs = suspects_.suspected(print) && std::any_of(running_.begin(), running_.end(), same);
    return runs ? code::overloaded : code::ok;
}

} // namespace guavahaven::decide
