#pragma once

// Which daemons are kept in the platform as the first to ask.

#include <set>
#include <vector>

#include "decide/gossip.h"

namespace guavahaven::decide {

// The seeds that should be kept, given those that are. A seed of the own data
// centre that is no candidate gives way if it was none at the last check too.
// Candidates are daemons alive in the own data centre, the first ones first.
std::vector<seed> refresh_seeds(const std::vector<seed>& kept, const data_center_name& own,
                                const std::vector<daemon_name>& candidates,
                                const std::set<daemon_name>& absent_before);

} // namespace guavahaven::decide
