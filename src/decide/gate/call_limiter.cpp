#include "decide/gate/call_limiter.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr double burst_seconds = 0.1; // of unused calls that may be taken at once

double burst(std::uint64_t count)
{
    return std::min(std::max(1.0, static_cast<double>(count) * burst_seconds), static_cast<double>(count));
}

std::vector<daemon_name> gates_of(const view& v, const service_name& service)
{
    std::vector<daemon_name> names; // sorted, as the members are
    for (const member& m : v.members_)
        if (m.service_ == service && m.state_ != member_state::left && m.state_ != member_state::dead)
            names.push_back(m.name_);
    return names;
}

} // namespace

std::uint64_t part_of(std::uint64_t limit, const std::vector<daemon_name>& sorted_gates,
                      const daemon_name& self)
{
    const auto at = std::find(sorted_gates.begin(), sorted_gates.end(), self);
    if (at == sorted_gates.end())
        return 0;
    const auto place = static_cast<std::uint64_t>(at - sorted_gates.begin());
    const std::uint64_t remainder = limit % sorted_gates.size();
    return limit / sorted_gates.size() + (place < remainder ? 1 : 0);
}

void call_limiter::set_view(const view& v, const service_name& service, const daemon_name& self,
                            time_point now)
{
    std::vector<part> before = std::exchange(parts_, {});
    if (!v.configuration_)
        return;
    std::vector<daemon_name> gates;
    for (const limit_rule& rule : v.configuration_->limits_) {
        if (rule.service_ != service)
            continue;
        if (gates.empty())
            gates = gates_of(v, service);
        part p{rule, part_of(rule.count_, gates, self), 0, now};
        // A view that changes other things must not hand out the tokens anew.
        const auto same = [&](const part& b) { return b.rule_ == rule; };
        const auto known = std::find_if(before.begin(), before.end(), same);
        if (known != before.end()) {
            p.tokens_ = std::min(known->tokens_, burst(p.count_));
            p.filled_ = known->filled_;
        }
        parts_.push_back(p);
    }
}

bool call_limiter::admit(const class_name& of, const held_counter& held, time_point now)
{
    std::vector<part*> of_class;
    for (part& p : parts_)
        if (!p.rule_.class_ || *p.rule_.class_ == of)
            of_class.push_back(&p);
    if (!std::all_of(of_class.begin(), of_class.end(), [&](part* p) { return room(*p, held, now); }))
        return false;
    for (part* p : of_class)
        if (p->rule_.unit_ == limit_unit::per_second)
            p->tokens_ -= 1;
    return true;
}

bool call_limiter::room(part& p, const held_counter& held, time_point now)
{
    if (p.rule_.unit_ == limit_unit::at_once)
        return held(p.rule_.class_) < p.count_;
    const double seconds = std::chrono::duration<double>(now - p.filled_).count();
    p.tokens_ = std::min(burst(p.count_), p.tokens_ + seconds * static_cast<double>(p.count_));
    p.filled_ = now;
    return p.tokens_ >= 1;
}

} // namespace guavahaven::decide
