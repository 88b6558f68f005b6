#include "decide/configuration/removed_services.h"

#include <algorithm>

namespace guavahaven::decide {

void removed_services::set_configuration(const configuration& c)
{
    for (const service_rule& before : configured_)
        removed_.insert_or_assign(before.name_, before);
    for (const service_rule& rule : c.services_)
        removed_.erase(rule.name_);
    configured_ = c.services_;
}

std::vector<service_rule> removed_services::rules(const std::vector<member>& members)
{
    std::erase_if(removed_, [&](const auto& removed) {
        return std::none_of(members.begin(), members.end(),
                            [&](const member& m) { return m.service_ == removed.first; });
    });
    std::vector<service_rule> all;
    for (const auto& [name, rule] : removed_)
        all.push_back(rule);
    return all;
}

} // namespace guavahaven::decide
