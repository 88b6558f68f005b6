#include "decide/configuration.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

template <class Rules, class Match>
auto find(const Rules& rules, Match match) -> decltype(rules.data())
{
    const auto at = std::find_if(rules.begin(), rules.end(), match);
    return at == rules.end() ? nullptr : &*at;
}

} // namespace

move_id move_rule::id() const
{
    const std::string order = order_.empty() ? std::to_string(deadline_.time_since_epoch().count()) : order_;
    const std::string identity = service_.str() + '\n' + version_.str() + '\n' + order;
    return move_id(hash(identity));
}

bool route_rule::leads_to(const service_name& name) const
{
    return std::any_of(services_.begin(), services_.end(),
                       [&](const weighted_service& part) { return part.service_ == name; });
}

std::string route_rule::path_pattern() const
{
    return path_ + (prefix_ ? "*" : "");
}

const class_rule* configuration::find_class(const class_name& name) const
{
    return find(classes_, [&](const class_rule& r) { return r.name_ == name; });
}

std::uint32_t configuration::max_priority_number() const
{
    std::uint32_t most = 0;
    for (const class_rule& r : classes_)
        most = std::max(most, r.priority_);
    return most;
}

const service_rule* configuration::find_service(const service_name& name) const
{
    return find(services_, [&](const service_rule& r) { return r.name_ == name; });
}

const split_rule* configuration::find_split(const service_name& name) const
{
    return find(splits_, [&](const split_rule& r) { return r.service_ == name; });
}

const move_rule* configuration::find_move(const service_name& name) const
{
    return find(moves_, [&](const move_rule& r) { return r.service_ == name; });
}

retry_rule configuration::retry_of(const service_name& name) const
{
    const retry_rule* found = find(retries_, [&](const retry_rule& r) { return r.service_ == name; });
    retry_rule defaults;
    defaults.service_ = name;
    return found ? *found : defaults;
}

const out_rule* configuration::find_out(const data_center_name& name) const
{
    return find(outs_, [&](const out_rule& r) { return r.data_center_ == name; });
}

content_hash hash_of(const std::string& text)
{
    return content_hash(hash(text));
}

} // namespace guavahaven::decide
