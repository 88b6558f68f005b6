// The gate's part in keeping idempotency keys at their homes: it claims a key
// before the run and reports the outcome, and it is home for other gates.

#include "decide/gate.h"

namespace guavahaven::decide {

namespace {

constexpr duration claim_timeout = std::chrono::milliseconds(500); // for all homes together

} // namespace

void gate::claim_key(held_call held, time_point now)
{
    const call_key key = held.waiters_.front().key_;
    claiming_call c;
    c.homes_ = key_homes(*view_, scoped_identity(held.call_));
    c.held_ = std::move(held);
    c.give_up_ = std::min(now + claim_timeout, c.held_.deadline_);
    claiming_.emplace(key, std::move(c));
    ask_next_home(key, now);
}

// One after the other, in an order that all gates share: of two claims at
// once, the one that is first at the home goes through.
void gate::ask_next_home(const call_key& key, time_point now)
{
    const auto at = claiming_.find(key);
    claiming_call& c = at->second;
    const std::size_t asked = c.held_.homes_.size();
    if (asked < c.homes_.size()) {
        const daemon_name home = c.homes_[asked];
        c.held_.homes_.push_back(home);
        const key_claim claim{scoped_identity(c.held_.call_), key, c.held_.call_.request_number_};
        if (home == self_)
            return take(self_, registry_.handle(claim, now), now);
        actions_.push_back(send_to_peer_gate{home, claim});
        return;
    }
    if (!c.history_known_)
        return give_up_claim(key, code::outcome_unknown, 0, now);
    held_call held = std::move(c.held_);
    claiming_.erase(at);
    enqueue(std::move(held), now);
}

void gate::on(const peer_gate_message& e, time_point now)
{
    std::visit([&](const auto& m) { take(e.from_, m, now); }, e.message_);
}

void gate::take(const daemon_name& from, const key_claim& m, time_point now)
{
    actions_.push_back(send_to_peer_gate{from, registry_.handle(m, now)});
}

void gate::take(const daemon_name& from, const key_verdict& m, time_point now)
{
    const auto at = claiming_.find(m.attempt_);
    if (at == claiming_.end() || at->second.held_.homes_.back() != from)
        return; // late; the home has been told the outcome
    if (!m.granted_)
        return give_up_claim(m.attempt_, code::duplicate_request, m.status_, now);
    at->second.history_known_ = at->second.history_known_ || !m.recent_;
    ask_next_home(m.attempt_, now);
}

void gate::take(const daemon_name&, const key_outcome& m, time_point now)
{
    registry_.handle(m, now);
}

void gate::give_up_claim(const call_key& key, code why, int earlier_status, time_point now)
{
    const auto at = claiming_.find(key);
    if (at == claiming_.end())
        return;
    const held_call held = std::move(at->second.held_);
    claiming_.erase(at);
    refuse(held, why, now, earlier_status);
}

// Without a home that answers it is not known whether an earlier request under
// the key has run, and so "not run" can't be said of the key.
void gate::give_up_claims(time_point now)
{
    std::vector<call_key> late;
    for (const auto& [key, c] : claiming_)
        if (now >= c.give_up_)
            late.push_back(key);
    for (const call_key& key : late) {
        const bool known = claiming_.at(key).history_known_;
        give_up_claim(key, known ? code::not_run : code::outcome_unknown, 0, now);
    }
}

void gate::tell_homes(const held_call& held, bool ran, int status, time_point now)
{
    const key_outcome outcome{scoped_identity(held.call_), held.waiters_.front().key_, ran, status};
    for (const daemon_name& home : held.homes_) {
        if (home == self_)
            registry_.handle(outcome, now);
        else
            actions_.push_back(send_to_peer_gate{home, outcome});
    }
}

} // namespace guavahaven::decide
