// The gate's part in keeping idempotency keys at their homes: it claims a key
// before the run and reports the outcome, and it is home for other gates.

#include <algorithm>

#include "decide/gate/gate.h"

namespace guavahaven::decide {

namespace {

constexpr duration verdict_timeout =
    std::chrono::milliseconds(150);                                // until a home is asked again, or the next
constexpr duration noted_timeout = std::chrono::milliseconds(300); // until an outcome is sent again
constexpr std::uint32_t outcome_sends_most = 10;
constexpr std::size_t unnoted_most = 10'000;

} // namespace

void gate::claim_key(held_call held, time_point now)
{
    const call_key key = held.waiters_.front().key_;
    claiming_call c;
    c.homes_ = key_homes(*view_, scoped_identity(held.call_));
    c.held_ = std::move(held);
    claiming_.emplace(key, std::move(c));
    ask_next_home(key, now);
}

// One after the other, in an order that all gates share: of two claims at
// once, the one that is first at the first home goes through.
void gate::ask_next_home(const call_key& key, time_point now)
{
    const auto at = claiming_.find(key);
    claiming_call& c = at->second;
    if (c.grants_ >= grants_needed(c.homes_.size())) {
        held_call held = std::move(c.held_);
        claiming_.erase(at);
        return enqueue(std::move(held), now);
    }
    // Too few homes answer, or remember: whether an earlier request under the
    // key has run is not known, and so "not run" can't be said.
    if (c.held_.homes_.size() == c.homes_.size())
        return give_up_claim(key, code::outcome_unknown, 0, now);
    const daemon_name home = c.homes_[c.held_.homes_.size()];
    c.held_.homes_.push_back(home);
    if (view_->gone(home))
        return ask_next_home(key, now); // no time is lost on it
    c.asked_ = now;
    c.asked_again_ = false;
    ask(c, false, now);
}

// A connection that has fallen silent looks like a home that is gone.
void gate::ask_again(const call_key& key, time_point now)
{
    claiming_call& c = claiming_.at(key);
    if (c.asked_again_)
        return ask_next_home(key, now);
    c.asked_ = now;
    c.asked_again_ = true;
    ask(c, true, now);
}

void gate::ask(const claiming_call& c, bool fresh, time_point now)
{
    const key_claim claim{scoped_identity(c.held_.call_), c.held_.waiters_.front().key_,
                          c.held_.call_.request_number_};
    const daemon_name home = c.held_.homes_.back();
    if (home == self_)
        return take(self_, registry_.handle(claim, now), now);
    actions_.push_back(send_to_peer_gate{home, claim, fresh});
}

void gate::on(const peer_gate_message& e, time_point now)
{
    std::visit([&](const auto& m) { take(e.from_, m, now); }, e.message_);
}

void gate::on(const peer_gate_lost& e, time_point now)
{
    std::vector<call_key> affected;
    for (const auto& [key, c] : claiming_)
        if (c.held_.homes_.back() == e.gate_)
            affected.push_back(key);
    for (const call_key& key : affected)
        ask_again(key, now);
}

void gate::take(const daemon_name& from, const key_claim& m, time_point now)
{
    actions_.push_back(send_to_peer_gate{from, registry_.handle(m, now), false});
}

void gate::take(const daemon_name& from, const key_verdict& m, time_point now)
{
    const auto at = claiming_.find(m.attempt_);
    if (at == claiming_.end() || at->second.held_.homes_.back() != from)
        return; // late; the home is told the outcome like the others
    if (!m.granted_) {
        const bool unknown = m.ended_ && m.status_ == 0;
        return give_up_claim(m.attempt_, unknown ? code::outcome_unknown : code::duplicate_request, m.status_,
                             now);
    }
    at->second.grants_ += m.recent_ ? 0 : 1;
    ask_next_home(m.attempt_, now);
}

void gate::take(const daemon_name& from, const key_outcome& m, time_point now)
{
    actions_.push_back(send_to_peer_gate{from, registry_.handle(m, now), false});
}

void gate::take(const daemon_name& from, const key_noted& m, time_point)
{
    std::erase_if(unnoted_, [&](const unnoted_outcome& u) {
        return u.home_ == from && u.outcome_.identity_ == m.identity_ && u.outcome_.attempt_ == m.attempt_;
    });
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

void gate::tend_claims(time_point now)
{
    std::vector<call_key> late;
    for (const auto& [key, c] : claiming_)
        if (now - c.asked_ >= verdict_timeout || now >= c.held_.deadline_)
            late.push_back(key);
    for (const call_key& key : late) {
        if (now >= claiming_.at(key).held_.deadline_)
            give_up_claim(key, code::outcome_unknown, 0, now);
        else
            ask_again(key, now);
    }
}

void gate::tell_homes(const held_call& held, bool ran, int status, time_point now)
{
    const key_outcome outcome{scoped_identity(held.call_), held.waiters_.front().key_, ran, status};
    for (const daemon_name& home : held.homes_) {
        if (home == self_) {
            registry_.handle(outcome, now);
            continue;
        }
        actions_.push_back(send_to_peer_gate{home, outcome, false});
        if (unnoted_.size() < unnoted_most)
            unnoted_.push_back({home, outcome, now, 1});
    }
}

// A home that misses an outcome goes on to say that the request is running.
void gate::tell_homes_again(time_point now)
{
    for (unnoted_outcome& u : unnoted_) {
        if (now - u.sent_ < noted_timeout)
            continue;
        u.sent_ = now;
        ++u.sends_;
        actions_.push_back(send_to_peer_gate{u.home_, u.outcome_, true});
    }
    std::erase_if(unnoted_, [](const unnoted_outcome& u) { return u.sends_ > outcome_sends_most; });
}

} // namespace guavahaven::decide
