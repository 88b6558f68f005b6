#pragma once

// The graded return of data centres that operators had taken out: the calls
// toward one grow with the time since its 'out' line went away, so that caches,
// connections and the gates' limits there warm up on a small load.

#include <map>
#include <set>
#include <vector>

#include "base/random.h"
#include "decide/view.h"

namespace guavahaven::decide {

// Share of its usual calls that a data centre gets, of 1, by the time since its return.
double return_share(duration since_return);

// Notices the returns that happen while this daemon runs. One that starts later
// sends the whole share; the gates' own limits hold then.
class return_tracker {
public:
    void set_configuration(const configuration& c, time_point now);

    // The data centres whose return is still under way.
    std::vector<returning_data_center> returning(time_point now) const;

private:
    std::set<data_center_name> out_;
    std::map<data_center_name, time_point> returned_;
};

// The gates of a service that one call leaves aside for the sake of a graded
// return; only those whose version others serve elsewhere.
std::set<daemon_name> draw_left_aside(const view& known, const service_name& service, random_engine& random,
                                      time_point now);

} // namespace guavahaven::decide
