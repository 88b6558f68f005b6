#include "decide/view.h"

#include <algorithm>
#include <array>
#include <span>
#include <tuple>

#include "base/guards.h"

namespace guavahaven::decide {

namespace {

// Shares after the start share. At the last one a tenth of the calls stays on the old
// version: only answers of both versions in the same period tell a bad version from
// trouble that affects both. A move that is done has the whole share.
constexpr std::array later_shares{0.05, 0.15, 0.40, 0.90};
// A move with only seconds to its deadline has no time for small steps. After the start
// share comes a short trial under load, then the start share again, so that a version
// that turns bad later gets few requests. During the trial the old version keeps enough
// calls for a comparison.
constexpr std::array short_later_shares{0.65, 0.0};
// With a bound on its calls the trial is over sooner: it is compared with earlier calls of the old version.
constexpr std::array bounded_later_shares{0.90, 0.0};
constexpr duration short_move = std::chrono::seconds(30);

bool is_short(const move_rule& rule, const move_fact& fact)
{
    return rule.deadline_.time_since_epoch() - duration(static_cast<duration::rep>(fact.began_)) < short_move;
}

std::span<const double> shares_after_start(const move_rule& rule, const move_fact& fact)
{
    if (is_short(rule, fact))
        return rule.bounded() ? bounded_later_shares : short_later_shares;
    return later_shares;
}

} // namespace

std::string_view name(member_state s)
{
    switch (s) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::draining:
        return "draining";
    case member_state::left:
        return "left";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

namespace {

// True if b replaces a. With equal progress the earlier fact is kept: a judge that
// starts during a move would otherwise report again, as new, what others have recorded.
bool before(const move_fact& a, const move_fact& b)
{
    const auto progress = [](const move_fact& f) { return std::tuple(f.withdrawn_, f.done_, f.stage_); };
    const auto precedence = [](const move_fact& f) { return std::tie(f.since_, f.reason_); };
    if (progress(a) != progress(b))
        return progress(a) < progress(b);
    return precedence(b) < precedence(a);
}

} // namespace

move_fact merge(const move_fact& a, const move_fact& b)
{
    move_fact joined = before(a, b) ? b : a;
    joined.began_ = std::min(a.began_, b.began_);
    return joined;
}

std::uint32_t stage_count(const move_rule& rule, const move_fact& fact)
{
    return static_cast<std::uint32_t>(shares_after_start(rule, fact).size()) + 1;
}

bool on_trial(const move_rule& rule, const move_fact& fact)
{
    return is_short(rule, fact) && fact.stage_ == 1 && !fact.done_ && !fact.withdrawn_;
}

double share_of(const move_rule& rule, const move_fact& fact)
{
    if (fact.withdrawn_ && guard_enabled(guard::withdrawn_refusal))
        return 0.0;
    if (fact.done_)
        return 1.0;
    if (fact.stage_ == 0)
        return rule.start_share_;
    const std::span<const double> shares = shares_after_start(rule, fact);
    return std::max(rule.start_share_, shares[std::min<std::size_t>(fact.stage_ - 1, shares.size() - 1)]);
}

const service_rule* view::find_service(const service_name& name) const
{
    if (const service_rule* rule = configuration_ ? configuration_->find_service(name) : nullptr)
        return rule;
    const auto at = std::find_if(removed_services_.begin(), removed_services_.end(),
                                 [&](const service_rule& r) { return r.name_ == name; });
    return at == removed_services_.end() ? nullptr : &*at;
}

const move_fact* view::find_move(move_id id) const
{
    const auto at =
        std::find_if(moves_.begin(), moves_.end(), [id](const move_fact& f) { return f.id_ == id; });
    return at == moves_.end() ? nullptr : &*at;
}

const member* view::find_member(const daemon_name& name) const
{
    const auto before = [](const member& m, const daemon_name& n) { return m.name_ < n; };
    const auto at = std::lower_bound(members_.begin(), members_.end(), name, before);
    return at == members_.end() || at->name_ != name ? nullptr : &*at;
}

bool view::gone(const daemon_name& name) const
{
    const member* known = find_member(name);
    return known && (known->state_ == member_state::left || known->state_ == member_state::dead);
}

} // namespace guavahaven::decide
