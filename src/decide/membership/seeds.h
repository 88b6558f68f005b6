#pragma once

// Chooses the seeds: daemons that the platform stores as the first contacts of a starting daemon.

#include <set>
#include <vector>

#include "decide/gossip.h"

namespace guavahaven::decide {

// Returns the seeds to store, given the stored ones. Seeds of other data centres stay as they are. A seed of
// the own data centre that is no candidate is removed only if it was absent at the last check too; candidates
// fill the own data centre up to three seeds. 'candidates': daemons alive in the own data centre, best first.
std::vector<seed> refresh_seeds(const std::vector<seed>& stored, const data_center_name& own_data_center,
                                const std::vector<daemon_name>& candidates,
                                const std::set<daemon_name>& absent_at_last_check);

} // namespace guavahaven::decide
