#include "decide/gate/key_replica.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr std::size_t homes_per_key = 3;
constexpr std::size_t grants_per_key = 2;
constexpr duration recent_start = std::chrono::minutes(2);
constexpr duration remember_claim = std::chrono::minutes(30); // whose outcome is never heard

// The entry numbers its attempts in order and makes the next one only when the
// last has surely not run.
bool same_request_later(const key_claim& claim, const known_run& known)
{
    return claim.attempt_.entry_ == known.attempt_.entry_ &&
           claim.attempt_.id_.entry_ == known.attempt_.id_.entry_ && claim.request_ == known.request_ &&
           claim.attempt_.id_.sequence_ >= known.attempt_.id_.sequence_;
}

} // namespace

std::vector<daemon_name> key_homes(const view& v, const std::string& identity)
{
    std::vector<daemon_name> ranked;
    for (const member& m : v.members_)
        ranked.push_back(m.name_);
    const std::size_t count = std::min(homes_per_key, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                      [&](const daemon_name& a, const daemon_name& b) {
                          return rendezvous_rank(identity, a) > rendezvous_rank(identity, b);
                      });
    ranked.resize(count);
    return ranked;
}

std::size_t grants_needed(std::size_t homes)
{
    return std::min(homes, grants_per_key);
}

key_verdict key_registry::handle(const key_claim& claim, time_point now)
{
    key_verdict verdict{claim.identity_, claim.attempt_, false, false, false, 0};
    verdict.recent_ = !complete_ && now - started_ < recent_start;
    const known_run* known = known_.find(claim.identity_);
    if (known && (known->ended_ || !same_request_later(claim, *known))) {
        verdict.ended_ = known->ended_;
        verdict.status_ = known->status_;
        return verdict;
    }
    known_run run;
    run.attempt_ = claim.attempt_;
    run.request_ = claim.request_;
    run.until_ = now + remember_claim;
    verdict.granted_ = known_.begin(claim.identity_, run);
    return verdict;
}

key_noted key_registry::handle(const key_outcome& outcome, time_point now)
{
    const key_noted noted{outcome.identity_, outcome.attempt_};
    const known_run* known = known_.find(outcome.identity_);
    if (!known || known->attempt_ != outcome.attempt_)
        return noted;
    if (outcome.ran_)
        known_.end(outcome.identity_, outcome.status_, now);
    else if (!known->ended_)
        known_.withdraw(outcome.identity_);
    return noted;
}

} // namespace guavahaven::decide
