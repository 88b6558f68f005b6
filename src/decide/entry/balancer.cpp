#include "decide/entry/balancer.h"

#include <algorithm>
#include <cmath>

#include "base/guards.h"

namespace guavahaven::decide {

namespace {

constexpr duration report_trust = std::chrono::seconds(1);          // until a report has no weight left
constexpr duration refusal_memory = std::chrono::milliseconds(200); // a gate without room counts as full
constexpr duration ramp = std::chrono::seconds(5);         // until a newly seen gate gets its whole part
constexpr double ramp_start = 0.1;                         // share of its capacity that it starts with
constexpr duration forget_after = std::chrono::minutes(1); // of a gate that has left

constexpr double spill_from = 0.8; // utilization at which the first calls leave the data centre
constexpr double spill_all = 1.3;  // and at which all may
constexpr double response_time_gain = 0.1;
constexpr duration response_time_least = std::chrono::milliseconds(1); // below, differences are noise
constexpr double response_time_half_life = 2; // seconds, so that a slow gate is tried again

constexpr std::uint32_t failures_to_eject = 3; // one after the other
constexpr duration first_ejection = std::chrono::seconds(1);
constexpr duration longest_ejection = std::chrono::seconds(30);
constexpr duration longest_silence = std::chrono::seconds(2); // so that the end of a cut is noticed
constexpr double ejection_jitter = 0.5;                       // of its length, at random
constexpr std::size_t ejected_one_in = 2;                     // at most one in so many gates of a pool
constexpr int draws_most = 8;                                 // before the pool is walked through

} // namespace

balancer::balancer(data_center_name data_center) : data_center_(std::move(data_center)) {}

// Instances of a service without a version of its own make up one pool, but
// for the version that a move brings in; once it is done there are no others.
std::optional<balancer::pool_key> balancer::pool_for(const view& known, const member& m)
{
    const service_rule* rule =
        known.configuration_ ? known.configuration_->find_service(m.service_) : nullptr;
    if (!rule || rule->version_.str() != any_version)
        return pool_key{m.service_, m.version_};
    if (known.abandoned_.contains({m.service_, m.version_}))
        return {};
    const pool_key any{m.service_, rule->version_};
    const move_rule* move = known.configuration_->find_move(m.service_);
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
                         guarded(guard::out_refusal);
        const bool takes = m.state_ == member_state::alive ||
                           (m.state_ == member_state::draining && !guarded(guard::drain_refusal));
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
            g.first_seen_ = first_view ? now - ramp : now;
        }
        g.slots_ = std::max<std::uint32_t>(1, m.slots_);
        g.last_seen_ = now;
        pool& p = pools_[g.pool_];
        (m.data_center_ == data_center_ ? p.near_ : p.far_).push_back(&g);
    }
    if (known.configuration_)
        for (const move_rule& rule : known.configuration_->moves_)
            if (const move_fact* fact = known.find_move(rule.id()); fact && on_trial(rule, *fact))
                concentrate(pools_[{rule.service_, rule.version_}]);
    std::erase_if(gates_, [now](const auto& known_gate) {
        const gate_state& g = known_gate.second;
        return g.in_flight_ == 0 && now - g.last_seen_ > forget_after;
    });
}

// Leaves the half of a pool whose names come first, which is the same half for every daemon.
void balancer::concentrate(pool& p)
{
    std::vector<daemon_name> names;
    for (const gates* part : {&p.near_, &p.far_})
        for (const gate_state* g : *part)
            names.push_back(g->name_);
    if (names.size() < 2)
        return;
    std::sort(names.begin(), names.end());
    const daemon_name last = names[(names.size() + 1) / 2 - 1];
    for (gates* part : {&p.near_, &p.far_})
        std::erase_if(*part, [&last](const gate_state* g) { return last < g->name_; });
}

// 1 for a report of this moment, falling to 0 with its age.
double balancer::report_weight(const gate_state& g, time_point now)
{
    if (!g.has_report_ || now - g.reported_ >= report_trust)
        return 0;
    return 1 - std::chrono::duration<double>(now - g.reported_) / report_trust;
}

// Calls at once that the gate is believed to bear.
double balancer::capacity(const gate_state& g, time_point now)
{
    const double age = std::chrono::duration<double>(now - g.first_seen_) / ramp;
    const double ramped = g.slots_ * std::clamp(age, ramp_start, 1.0);
    const double weight = report_weight(g, now);
    const double limit = std::clamp<double>(g.load_.limit_, 1, g.slots_);
    return std::max(1.0, weight * limit + (1 - weight) * ramped);
}

// Calls there for each that it bears. A report can only add to the own calls,
// so that one which is stuck low or too good does no more harm than none.
double balancer::utilization(const gate_state& g, time_point now)
{
    if (g.was_refused_ && now - g.refused_ < refusal_memory)
        return spill_all;
    const double there = static_cast<double>(g.load_.in_flight_) + g.load_.queued_;
    const double others = std::max(0.0, there - g.in_flight_);
    return (g.in_flight_ + report_weight(g, now) * others) / capacity(g, now);
}

// Microseconds of a call without waiting; an old measurement counts for less.
double balancer::expected_time(const gate_state& g, time_point now)
{
    const double age = std::chrono::duration<double>(now - g.answered_).count();
    const double measured =
        static_cast<double>(g.response_time_.count()) * std::exp2(-age / response_time_half_life);
    return std::max(measured, static_cast<double>(response_time_least.count()));
}

// Rises with the time that a call there is expected to take.
double balancer::cost(const gate_state& g, time_point now)
{
    const double waiting = utilization(g, now) + 1 / capacity(g, now);
    return waiting * expected_time(g, now);
}

const balancer::gate_state* balancer::draw(const gates& from, const usable& fits, random_engine& random)
{
    if (from.empty())
        return nullptr;
    std::size_t at = 0;
    for (int i = 0; i < draws_most; ++i) {
        at = random_index(random, from.size());
        if (fits(*from[at]))
            return from[at];
    }
    for (std::size_t i = 0; i < from.size(); ++i) {
        const gate_state* g = from[(at + i) % from.size()];
        if (fits(*g))
            return g;
    }
    return nullptr;
}

// Two draws spread calls about as well as knowing the least loaded one, and
// without sending everyone to it.
const balancer::gate_state* balancer::draw_better(const gates& from, const usable& fits,
                                                  random_engine& random, time_point now)
{
    const gate_state* a = draw(from, fits, random);
    if (!a || from.size() == 1)
        return a;
    const gate_state* b = draw(
        from, [&](const gate_state& g) { return &g != a && fits(g); }, random);
    return !b || cost(*a, now) <= cost(*b, now) ? a : b;
}

// Leaves the data centre for a growing share of the calls as the own gates fill
// up, and only for a gate that is better off.
const balancer::gate_state* balancer::choose_near_or_far(const pool& all, const usable& fits,
                                                         random_engine& random, time_point now)
{
    const gate_state* near = draw_better(all.near_, fits, random, now);
    if (!near)
        return draw_better(all.far_, fits, random, now);
    const double used = utilization(*near, now);
    const double spill = (used - spill_from) / (spill_all - spill_from);
    if (spill <= 0 || random_share(random) >= spill)
        return near;
    const gate_state* far = draw_better(all.far_, fits, random, now);
    return far && utilization(*far, now) < used ? far : near;
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
    const gate_state* chosen = choose_near_or_far(at->second, healthy, random, now);
    const auto not_silent = [&](const gate_state& g) { return g.silent_until_ <= now && untried(g); };
    if (!chosen)
        chosen =
            choose_near_or_far(at->second, tried.empty() ? usable(untried) : usable(not_silent), random, now);
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
            g.response_time_ +=
                std::chrono::duration_cast<duration>((took - g.response_time_) * response_time_gain);
        return;
    case attempt_end::refused:
        g.refused_ = now;
        g.was_refused_ = true;
        return;
    case attempt_end::failed:
        if (++g.failures_ >= failures_to_eject && may_eject(g, now))
            eject(g, longest_ejection, random, now);
        return;
    case attempt_end::unreachable:
        if (may_eject(g, now))
            eject(g, longest_ejection, random, now);
        return;
    case attempt_end::dropped:
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

// However many they are: where a data centre is cut off, all gates of the others
// are silent, and each call to one of them is lost.
void balancer::fell_silent(const daemon_name& gate, random_engine& random, time_point now)
{
    const auto at = gates_.find(gate);
    if (at == gates_.end())
        return;
    eject(at->second, longest_silence, random, now);
    at->second.silent_until_ = at->second.ejected_until_;
}

// When most gates of a service fail, the fault is not theirs alone, and leaving
// them all would flood the rest.
bool balancer::may_eject(const gate_state& g, time_point now) const
{
    const auto at = pools_.find(g.pool_);
    if (at == pools_.end())
        return true;
    const std::size_t size = at->second.near_.size() + at->second.far_.size();
    return (ejected(g.pool_.first, g.pool_.second, now) + 1) * ejected_one_in <= size;
}

void balancer::eject(gate_state& g, duration longest, random_engine& random, time_point now) const
{
    if (g.ejected_until_ > now)
        return;
    g.failures_ = 0;
    const duration length = std::min(longest, first_ejection * (1 << std::min(g.ejections_, 5U)));
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
    return static_cast<std::size_t>(std::count_if(p.near_.begin(), p.near_.end(), out) +
                                    std::count_if(p.far_.begin(), p.far_.end(), out));
}

} // namespace guavahaven::decide
