#pragma once

// The rules of services that a configuration has removed. Requests that came before it may still run on their
// instances, and be retried on others.

#include <map>
#include <vector>

#include "decide/view.h"

namespace guavahaven::decide {

class removed_services {
public:
    // The configuration that is in force from now on.
    void set_configuration(const configuration& c);

    // The last rules of the removed services of which a member is known. The other ones are dropped.
    std::vector<service_rule> rules(const std::vector<member>& members);

private:
    std::vector<service_rule> configured_;
    std::map<service_name, service_rule> removed_;
};

} // namespace guavahaven::decide
