#pragma once

// Gradual return of a data centre whose 'out' rule (evacuation) was removed: its
// share of calls grows with the time since the removal, so that caches, connections
// and the gates' limits there warm up under a small load.

#include <map>
#include <set>
#include <vector>

#include "base/random.h"
#include "decide/view.h"

namespace guavahaven::decide {

// Share (0 to 1) of its normal calls that a data centre gets this long after its return.
double return_share(duration since_return);

// Records which data centres have returned since this daemon started. A daemon that
// starts after a return sends the full share at once; only the gates' own admission
// limits protect the data centre from its calls.
class return_tracker {
public:
    void set_configuration(const configuration& c, time_point now);

    // The data centres whose return is still under way.
    std::vector<returning_data_center> returning(time_point now) const;

private:
    std::set<data_center_name> out_;
    std::map<data_center_name, time_point> returned_;
};

// Draws the gates that one call must not use because their data centre is still
// returning. A gate is skipped only if another data centre serves its version.
std::set<daemon_name> draw_gates_to_skip(const view& known, const service_name& service,
                                         random_engine& random, time_point now);

} // namespace guavahaven::decide
