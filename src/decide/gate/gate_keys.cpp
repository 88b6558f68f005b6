// How the gate uses the replicas of idempotency keys: it claims a key before the run and reports the outcome
// afterwards. It also serves as a replica for other gates.

#include <algorithm>

#include "decide/gate/gate.h"

namespace guavahaven::decide {

namespace {

constexpr duration claim_reply_timeout =
    std::chrono::milliseconds(150); // then the replica is asked again, or the next one is
constexpr duration outcome_ack_timeout = std::chrono::milliseconds(300); // then the outcome is sent again
constexpr std::uint32_t max_outcome_sends = 10;
constexpr std::size_t max_unacknowledged_outcomes = 10'000;

} // namespace

void gate::claim_key(held_call held, time_point now)
{
    const call_key key = held.waiters_.front().key_;
    claiming_call c;
    c.replicas_ = key_replicas(*view_, scoped_identity(held.call_));
    c.held_ = std::move(held);
    claiming_.emplace(key, std::move(c));
    ask_next_replica(key, now);
}

// All gates ask the replicas of a key in the same order, one at a time: of two concurrent claims, the one
// that reaches the first replica first succeeds.
void gate::ask_next_replica(const call_key& key, time_point now)
{
    const auto at = claiming_.find(key);
    claiming_call& c = at->second;
    if (c.grants_ >= grants_needed(c.replicas_.size())) {
        held_call held = std::move(c.held_);
        claiming_.erase(at);
        return enqueue(std::move(held), now);
    }
    // Too few replicas answered with complete records. An earlier request with this key may have run, so the
    // call can't be answered as 'not run'.
    if (c.held_.replicas_.size() == c.replicas_.size())
        return give_up_claim(key, code::outcome_unknown, 0, now);
    const daemon_name replica = c.replicas_[c.held_.replicas_.size()];
    c.held_.replicas_.push_back(replica);
    if (view_->gone(replica))
        return ask_next_replica(key, now); // don't wait for a timeout
    c.asked_at_ = now;
    c.retried_ = false;
    send_claim(c, false, now);
}

// A dead connection looks like a dead replica, so the first retry uses a new connection.
void gate::retry_claim(const call_key& key, time_point now)
{
    claiming_call& c = claiming_.at(key);
    if (c.retried_)
        return ask_next_replica(key, now);
    c.asked_at_ = now;
    c.retried_ = true;
    send_claim(c, true, now);
}

void gate::send_claim(const claiming_call& c, bool fresh, time_point now)
{
    const key_claim claim{scoped_identity(c.held_.call_), c.held_.waiters_.front().key_,
                          c.held_.call_.request_number_};
    const daemon_name replica = c.held_.replicas_.back();
    if (replica == self_)
        return receive(self_, key_replica_.handle(claim, now), now);
    actions_.push_back(send_to_peer_gate{replica, claim, fresh});
}

void gate::on(const peer_gate_message& e, time_point now)
{
    std::visit([&](const auto& m) { receive(e.from_, m, now); }, e.message_);
}

void gate::on(const peer_gate_disconnected& e, time_point now)
{
    std::vector<call_key> affected;
    for (const auto& [key, c] : claiming_)
        if (c.held_.replicas_.back() == e.gate_)
            affected.push_back(key);
    for (const call_key& key : affected)
        retry_claim(key, now);
}

void gate::receive(const daemon_name& from, const key_claim& m, time_point now)
{
    actions_.push_back(send_to_peer_gate{from, key_replica_.handle(m, now), false});
}

void gate::receive(const daemon_name& from, const key_claim_reply& m, time_point now)
{
    const auto at = claiming_.find(m.attempt_);
    if (at == claiming_.end() || at->second.held_.replicas_.back() != from)
        return; // a late reply; this replica receives the outcome as the others do
    if (!m.granted_) {
        const bool unknown = m.ended_ && m.status_ == 0;
        return give_up_claim(m.attempt_, unknown ? code::outcome_unknown : code::duplicate_request, m.status_,
                             now);
    }
    at->second.grants_ += m.recently_started_ ? 0 : 1;
    ask_next_replica(m.attempt_, now);
}

void gate::receive(const daemon_name& from, const key_outcome& m, time_point now)
{
    actions_.push_back(send_to_peer_gate{from, key_replica_.handle(m, now), false});
}

void gate::receive(const daemon_name& from, const key_outcome_ack& m, time_point)
{
    std::erase_if(unacknowledged_, [&](const unacknowledged_outcome& u) {
        return u.replica_ == from && u.outcome_.identity_ == m.identity_ && u.outcome_.attempt_ == m.attempt_;
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

void gate::check_claim_timeouts(time_point now)
{
    std::vector<call_key> late;
    for (const auto& [key, c] : claiming_)
        if (now - c.asked_at_ >= claim_reply_timeout || now >= c.held_.deadline_)
            late.push_back(key);
    for (const call_key& key : late) {
        if (now >= claiming_.at(key).held_.deadline_)
            give_up_claim(key, code::outcome_unknown, 0, now);
        else
            retry_claim(key, now);
    }
}

void gate::notify_replicas(const held_call& held, bool ran, int status, time_point now)
{
    const key_outcome outcome{scoped_identity(held.call_), held.waiters_.front().key_, ran, status};
    for (const daemon_name& replica : held.replicas_) {
        if (replica == self_) {
            key_replica_.handle(outcome, now);
            continue;
        }
        actions_.push_back(send_to_peer_gate{replica, outcome, false});
        if (unacknowledged_.size() < max_unacknowledged_outcomes)
            unacknowledged_.push_back({replica, outcome, now, 1});
    }
}

// A replica that missed the outcome would keep reporting the request as running.
void gate::resend_outcomes(time_point now)
{
    for (unacknowledged_outcome& u : unacknowledged_) {
        if (now - u.sent_ < outcome_ack_timeout)
            continue;
        u.sent_ = now;
        ++u.sends_;
        actions_.push_back(send_to_peer_gate{u.replica_, u.outcome_, true});
    }
    std::erase_if(unacknowledged_,
                  [](const unacknowledged_outcome& u) { return u.sends_ > max_outcome_sends; });
}

} // namespace guavahaven::decide
