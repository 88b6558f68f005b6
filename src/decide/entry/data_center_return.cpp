#include "decide/entry/data_center_return.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr duration ramp_window = std::chrono::seconds(20);
constexpr double min_share = 0.1;

} // namespace

double return_share(duration since_return)
{
    const double part = static_cast<double>(since_return.count()) / static_cast<double>(ramp_window.count());
    return std::clamp(min_share + (1 - min_share) * part, min_share, 1.0);
}

void return_tracker::set_configuration(const configuration& c, time_point now)
{
    std::set<data_center_name> out;
    for (const out_rule& r : c.outs_)
        out.insert(r.data_center_);
    for (const data_center_name& name : out_)
        if (!out.contains(name))
            returned_[name] = now;
    std::erase_if(returned_, [&](const auto& r) { return out.contains(r.first); });
    out_ = std::move(out);
}

std::vector<returning_data_center> return_tracker::returning(time_point now) const
{
    std::vector<returning_data_center> all;
    for (const auto& [name, since] : returned_)
        if (now - since < ramp_window)
            all.push_back({name, since});
    return all;
}

std::set<daemon_name> draw_gates_to_skip(const view& known, const service_name& service,
                                         random_engine& random, time_point now)
{
    std::set<data_center_name> skipped;
    for (const returning_data_center& r : known.returning_) {
        const double share = return_share(now - r.since_);
        if (share < 1 && random_share(random) >= share)
            skipped.insert(r.data_center_);
    }
    if (skipped.empty())
        return {};
    std::set<version_name> elsewhere;
    for (const member& m : known.members_) {
        const bool out = known.configuration_ && known.configuration_->find_out(m.data_center_);
        if (m.service_ == service && m.state_ == member_state::alive && !out &&
            !skipped.contains(m.data_center_))
            elsewhere.insert(m.version_);
    }
    std::set<daemon_name> gates;
    for (const member& m : known.members_)
        if (m.service_ == service && skipped.contains(m.data_center_) && elsewhere.contains(m.version_))
            gates.insert(m.name_);
    return gates;
}

} // namespace guavahaven::decide
