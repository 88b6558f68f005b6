#include "decide/entry/balancer.h"

#include <algorithm>
#include <cmath>

#include "base/guards.h"

namespace guavahaven::decide {

namespace {

// Age at which a load report has lost all weight.
constexpr duration report_lifetime = std::chrono::seconds(1);
// A gate counts as full this long after a refusal.
constexpr duration refusal_window = std::chrono::milliseconds(200);
constexpr duration slow_start_window = std::chrono::seconds(5); // until a newly seen gate gets its full share
constexpr double slow_start_min_share = 0.1; // share of its capacity that a newly seen gate starts with
constexpr duration departed_gate_retention = std::chrono::minutes(1); // state of a gate that has left

// Utilization of the own gate from which on some calls go to other data centres, and
// from which on all may.
constexpr double spill_start_utilization = 0.8;
constexpr double spill_full_utilization = 1.3;
constexpr double response_time_average_weight = 0.1;
constexpr duration min_response_time = std::chrono::milliseconds(1); // differences below it are noise
// A measured response time loses half of its weight in this time, so that a slow gate is
// tried again.
constexpr double response_time_half_life_s = 2;

constexpr std::uint32_t consecutive_failures_to_eject = 3;
constexpr duration base_ejection_time = std::chrono::seconds(1);
constexpr duration max_ejection_time = std::chrono::seconds(30);
// An unresponsive gate is tried again after this, so that the entry finds out when a
// network partition has ended.
constexpr duration max_unresponsive_time = std::chrono::seconds(2);
constexpr double ejection_jitter = 0.5;           // up to this part of the time is taken off at random
constexpr std::size_t min_gates_per_ejection = 2; // of a pool: at most one in this many is ejected at a time
constexpr int max_random_draws = 8;               // before the whole pool is searched

} // namespace

balancer::balancer(data_center_name data_center) : data_center_(std::move(data_center)) {}

// If the service rule names no single version (any_version), all instances of the
// service form one pool, except those of the version that a move brings in. Once that
// move is done, only the new version gets calls.
std::optional<balancer::pool_key> balancer::pool_for(const view& known, const member& m)
{
    const service_rule* rule = known.find_service(m.service_);
    if (!rule || rule->version_.str() != any_version)
        return pool_key{m.service_, m.version_};
    if (known.abandoned_versions_.contains({m.service_, m.version_}))
        return {};
    const pool_key any{m.service_, rule->version_};
    const move_rule* move = known.configuration_ ? known.configuration_->find_move(m.service_) : nullptr;
    if (!move)
        return any;
    const move_fact* fact = known.find_move(move->id());
    const bool done = fact && fact->done_ && !fact->withdrawn_;
    if (m.version_ == move->version_)
        return pool_key{m.service_, m.version_};
    return done ? std::nullopt : std::optional(any);
}

void balancer::set_view(const view& known, time_point now)
{
    const bool first_view = gates_.empty();
    pools_.clear();
    for (const member& m : known.members_) {
        const bool out = known.configuration_ && known.configuration_->find_out(m.data_center_) &&
                         guard_enabled(guard::out_refusal);
        const bool takes = m.state_ == member_state::alive ||
                           (m.state_ == member_state::draining && !guard_enabled(guard::drain_refusal));
        if (!takes || m.service_.empty() || out)
            continue;
        const auto pool_of_member = pool_for(known, m);
        if (!pool_of_member)
            continue;
        gate_state& g = gates_[m.name_];
        const pool_key& key = *pool_of_member;
        if (g.name_.empty() || g.incarnation_ != m.incarnation_ || g.pool_ != key) {
            const std::uint32_t in_flight = g.in_flight_;
            g = {};
            g.in_flight_ = in_flight;
            g.name_ = m.name_;
            g.incarnation_ = m.incarnation_;
            g.pool_ = key;
            g.first_seen_ = first_view ? now - slow_start_window : now;
        }
        g.slots_ = std::max<std::uint32_t>(1, m.slots_);
        g.last_seen_ = now;
        pool& p = pools_[g.pool_];
        (m.data_center_ == data_center_ ? p.local_ : p.remote_).push_back(&g);
    }
    if (known.configuration_)
        for (const move_rule& rule : known.configuration_->moves_)
            if (const move_fact* fact = known.find_move(rule.id()); fact && on_trial(rule, *fact))
                keep_on_trial(pools_[{rule.service_, rule.version_}], rule);
    std::erase_if(gates_, [now](const auto& known_gate) {
        const gate_state& g = known_gate.second;
        return g.in_flight_ == 0 && now - g.last_seen_ > departed_gate_retention;
    });
}

// Keeps half of a pool, or one gate if a bound leaves few calls: spread over more, they would not load any.
// The names that sort first are kept, so that every daemon keeps the same.
void balancer::keep_on_trial(pool& p, const move_rule& rule)
{
    std::vector<daemon_name> names;
    for (const gates* part : {&p.local_, &p.remote_})
        for (const gate_state* g : *part)
            names.push_back(g->name_);
    if (names.size() < 2)
        return;
    std::sort(names.begin(), names.end());
    const daemon_name last = names[rule.bounded() ? 0 : (names.size() + 1) / 2 - 1];
    for (gates* part : {&p.local_, &p.remote_})
        std::erase_if(*part, [&last](const gate_state* g) { return last < g->name_; });
}

// Falls from 1 for a report received now to 0 at report_lifetime.
double balancer::report_weight(const gate_state& g, time_point now)
{
    if (!g.has_report_ || now - g.reported_ >= report_lifetime)
        return 0;
    return 1 - std::chrono::duration<double>(now - g.reported_) / report_lifetime;
}

// Estimated number of concurrent calls that the gate can run.
double balancer::capacity(const gate_state& g, time_point now)
{
    const double age = std::chrono::duration<double>(now - g.first_seen_) / slow_start_window;
    const double ramped = g.slots_ * std::clamp(age, slow_start_min_share, 1.0);
    const double weight = report_weight(g, now);
    const double limit = std::clamp<double>(g.load_.limit_, 1, g.slots_);
    return std::max(1.0, weight * limit + (1 - weight) * ramped);
}

// Calls at the gate divided by its capacity. A report can only add calls to those of
// this entry, so that a report that is stuck or too low does no more harm than none.
double balancer::utilization(const gate_state& g, time_point now)
{
    if (g.was_refused_ && now - g.refused_ < refusal_window)
        return spill_full_utilization;
    const double there = static_cast<double>(g.load_.in_flight_) + g.load_.queued_;
    const double others = std::max(0.0, there - g.in_flight_);
    return (g.in_flight_ + report_weight(g, now) * others) / capacity(g, now);
}

// Microseconds that a call takes without queueing; decays with the age of the measurement.
double balancer::expected_time(const gate_state& g, time_point now)
{
    const double age = std::chrono::duration<double>(now - g.answered_).count();
    const double measured =
        static_cast<double>(g.response_time_.count()) * std::exp2(-age / response_time_half_life_s);
    return std::max(measured, static_cast<double>(min_response_time.count()));
}

// Relative measure of the time that one more call would take at the gate.
double balancer::cost(const gate_state& g, time_point now)
{
    const double waiting = utilization(g, now) + 1 / capacity(g, now);
    return waiting * expected_time(g, now);
}

const balancer::gate_state* balancer::pick_random(const gates& from, const gate_filter& filter,
                                                  random_engine& random)
{
    if (from.empty())
        return nullptr;
    std::size_t at = 0;
    for (int i = 0; i < max_random_draws; ++i) {
        at = random_index(random, from.size());
        if (filter(*from[at]))
            return from[at];
    }
    for (std::size_t i = 0; i < from.size(); ++i) {
        const gate_state* g = from[(at + i) % from.size()];
        if (filter(*g))
            return g;
    }
    return nullptr;
}

// The better of two random choices balances nearly as well as always taking the least
// loaded gate, but does not make all entries pick the same one.
const balancer::gate_state* balancer::pick_better_of_two(const gates& from, const gate_filter& filter,
                                                         random_engine& random, time_point now)
{
    const gate_state* a = pick_random(from, filter, random);
    if (!a || from.size() == 1)
        return a;
    const gate_state* b = pick_random(
        from, [&](const gate_state& g) { return &g != a && filter(g); }, random);
    return !b || cost(*a, now) <= cost(*b, now) ? a : b;
}

// Sends a growing share of calls to other data centres as the own gates fill up, and
// only to a gate with lower utilization.
const balancer::gate_state* balancer::choose_local_or_remote(const pool& all, const gate_filter& filter,
                                                             random_engine& random, time_point now)
{
    const gate_state* local = pick_better_of_two(all.local_, filter, random, now);
    if (!local)
        return pick_better_of_two(all.remote_, filter, random, now);
    const double used = utilization(*local, now);
    const double spill =
        (used - spill_start_utilization) / (spill_full_utilization - spill_start_utilization);
    if (spill <= 0 || random_share(random) >= spill)
        return local;
    const gate_state* remote = pick_better_of_two(all.remote_, filter, random, now);
    return remote && utilization(*remote, now) < used ? remote : local;
}

std::optional<daemon_name> balancer::choose(const service_name& service, const version_name& version,
                                            const std::set<daemon_name>& tried, random_engine& random,
                                            time_point now) const
{
    const auto at = pools_.find({service, version});
    if (at == pools_.end())
        return {};
    const auto untried = [&](const gate_state& g) { return !tried.contains(g.name_); };
    const auto healthy = [&](const gate_state& g) { return g.ejected_until_ <= now && untried(g); };
    const gate_state* chosen = choose_local_or_remote(at->second, healthy, random, now);
    const auto responsive = [&](const gate_state& g) { return g.unresponsive_until_ <= now && untried(g); };
    if (!chosen)
        chosen = choose_local_or_remote(
            at->second, tried.empty() ? gate_filter(untried) : gate_filter(responsive), random, now);
    if (!chosen)
        return {};
    return chosen->name_;
}

std::optional<std::pair<load_report, time_point>> balancer::last_report(const daemon_name& gate) const
{
    const auto at = gates_.find(gate);
    if (at == gates_.end() || !at->second.has_report_)
        return {};
    return std::pair(at->second.load_, at->second.reported_);
}

incarnation balancer::incarnation_of(const daemon_name& gate) const
{
    const auto at = gates_.find(gate);
    return at == gates_.end() ? incarnation() : at->second.incarnation_;
}

void balancer::began(const daemon_name& gate)
{
    ++gates_[gate].in_flight_;
}

void balancer::ended(const daemon_name& gate, attempt_end how, duration took, random_engine& random,
                     time_point now)
{
    const auto at = gates_.find(gate);
    if (at == gates_.end())
        return;
    gate_state& g = at->second;
    g.in_flight_ -= std::min<std::uint32_t>(1, g.in_flight_);
    switch (how) {
    case attempt_end::answered:
        g.failures_ = 0;
        g.ejections_ = 0;
        g.answered_ = now;
        if (g.response_time_ == duration::zero())
            g.response_time_ = took;
        else
            g.response_time_ += std::chrono::duration_cast<duration>((took - g.response_time_) *
                                                                     response_time_average_weight);
        return;
    case attempt_end::refused:
        g.refused_ = now;
        g.was_refused_ = true;
        return;
    case attempt_end::failed:
        if (++g.failures_ >= consecutive_failures_to_eject && may_eject(g, now))
            eject(g, max_ejection_time, random, now);
        return;
    case attempt_end::unreachable:
        if (may_eject(g, now))
            eject(g, max_ejection_time, random, now);
        return;
    case attempt_end::neutral:
        return;
    }
}

void balancer::reported(const daemon_name& gate, const load_report& load, time_point now)
{
    const auto at = gates_.find(gate);
    if (at == gates_.end())
        return;
    at->second.load_ = load;
    at->second.reported_ = now;
    at->second.has_report_ = true;
}

// Not bounded by may_eject: in a data centre that is cut off, all gates of the other
// data centres are unresponsive, and each call to one of them is lost.
void balancer::mark_unresponsive(const daemon_name& gate, random_engine& random, time_point now)
{
    const auto at = gates_.find(gate);
    if (at == gates_.end())
        return;
    eject(at->second, max_unresponsive_time, random, now);
    at->second.unresponsive_until_ = at->second.ejected_until_;
}

// When most gates of a service fail, the cause is probably not in each of them, and
// ejecting them all would overload the rest.
bool balancer::may_eject(const gate_state& g, time_point now) const
{
    const auto at = pools_.find(g.pool_);
    if (at == pools_.end())
        return true;
    const std::size_t size = at->second.local_.size() + at->second.remote_.size();
    return (ejected(g.pool_.first, g.pool_.second, now) + 1) * min_gates_per_ejection <= size;
}

void balancer::eject(gate_state& g, duration longest, random_engine& random, time_point now) const
{
    if (g.ejected_until_ > now)
        return;
    g.failures_ = 0;
    const duration length = std::min(longest, base_ejection_time * (1 << std::min(g.ejections_, 5U)));
    const double jitter = 1 - ejection_jitter * random_share(random);
    g.ejected_until_ = now + std::chrono::duration_cast<duration>(length * jitter);
    ++g.ejections_;
}

std::size_t balancer::ejected(const service_name& service, const version_name& version, time_point now) const
{
    const auto at = pools_.find({service, version});
    if (at == pools_.end())
        return 0;
    const auto out = [now](const gate_state* g) { return g->ejected_until_ > now; };
    const pool& p = at->second;
    return static_cast<std::size_t>(std::count_if(p.local_.begin(), p.local_.end(), out) +
                                    std::count_if(p.remote_.begin(), p.remote_.end(), out));
}

} // namespace guavahaven::decide
