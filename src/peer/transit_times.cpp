#include "peer/transit_times.h"

#include <algorithm>

namespace guavahaven::peer {

duration transit_times::lateness(const daemon_name& from, incarnation process, duration sent, duration came)
{
    const duration took = came - sent;
    quickest& known = quickest_.try_emplace(from, quickest{process, took}).first->second;
    if (known.process_ != process)
        known = {process, took};
    known.took_ = std::min(known.took_, took);
    return took - known.took_;
}

} // namespace guavahaven::peer
