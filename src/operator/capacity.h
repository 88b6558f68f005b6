#pragma once

// What taking data centres out would leave to carry the load.

#include <string>
#include <vector>

#include "decide/configuration.h"
#include "operator/status.h"

namespace guavahaven::operators {

// One line a service that what remains by the rules can't carry, or hardly can,
// by what the daemons say of their backend servers' slots and runs in flight.
std::vector<std::string> capacity_warnings(const decide::configuration& rules,
                                           const std::vector<daemon_status>& daemons);

} // namespace guavahaven::operators
