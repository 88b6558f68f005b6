#include "peer/transit_times.h"

#include <algorithm>

namespace guavahaven::peer {

duration transit_times::lateness(const daemon_name& from, incarnation process, duration sent,
                                 duration arrived)
{
    const duration transit = arrived - sent;
    fastest_transit& known = fastest_.try_emplace(from, fastest_transit{process, transit}).first->second;
    if (known.process_ != process)
        known = {process, transit};
    known.transit_ = std::min(known.transit_, transit);
    return transit - known.transit_;
}

} // namespace guavahaven::peer
