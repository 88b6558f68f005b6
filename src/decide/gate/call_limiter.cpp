#include "decide/gate/call_limiter.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr double burst_seconds = 0.1; // unused calls of this time may be made up for in a burst

double burst(std::uint64_t count)
{
    return std::min(std::max(1.0, static_cast<double>(count) * burst_seconds), static_cast<double>(count));
}

std::vector<daemon_name> gates_of(const view& v, const service_name& service)
{
    std::vector<daemon_name> names; // sorted, since v.members_ is
    for (const member& m : v.members_)
        if (m.service_ == service && m.state_ != member_state::left && m.state_ != member_state::dead)
            names.push_back(m.name_);
    return names;
}

} // namespace

std::uint64_t gate_quota(std::uint64_t limit, const std::vector<daemon_name>& sorted_gates,
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
    std::vector<quota> previous = std::exchange(quotas_, {});
    if (!v.configuration_)
        return;
    std::vector<daemon_name> gates;
    for (const limit_rule& rule : v.configuration_->limits_) {
        if (rule.service_ != service)
            continue;
        if (gates.empty())
            gates = gates_of(v, service);
        quota q{rule, gate_quota(rule.count_, gates, self), 0, now};
        // A new view with the same rule must not refill the tokens.
        const auto same = [&](const quota& b) { return b.rule_ == rule; };
        const auto known = std::find_if(previous.begin(), previous.end(), same);
        if (known != previous.end()) {
            q.tokens_ = std::min(known->tokens_, burst(q.count_));
            q.filled_ = known->filled_;
        }
        quotas_.push_back(q);
    }
}

bool call_limiter::admit(const class_name& of, const held_counter& held, time_point now)
{
    std::vector<quota*> of_class;
    for (quota& q : quotas_)
        if (!q.rule_.class_ || *q.rule_.class_ == of)
            of_class.push_back(&q);
    if (!std::all_of(of_class.begin(), of_class.end(), [&](quota* q) { return room(*q, held, now); }))
        return false;
    for (quota* q : of_class)
        if (q->rule_.unit_ == limit_unit::per_second)
            q->tokens_ -= 1;
    return true;
}

bool call_limiter::room(quota& q, const held_counter& held, time_point now)
{
    if (q.rule_.unit_ == limit_unit::concurrent)
        return held(q.rule_.class_) < q.count_;
    const double seconds = std::chrono::duration<double>(now - q.filled_).count();
    q.tokens_ = std::min(burst(q.count_), q.tokens_ + seconds * static_cast<double>(q.count_));
    q.filled_ = now;
    return q.tokens_ >= 1;
}

} // namespace guavahaven::decide
