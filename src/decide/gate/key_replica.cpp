#include "decide/gate/key_replica.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr std::size_t replicas_per_key = 3;
constexpr std::size_t max_grants_needed = 2;
constexpr duration recent_start_window = std::chrono::minutes(2); // records may be incomplete this long
constexpr duration claim_retention = std::chrono::minutes(30);    // of a claim whose outcome never arrives

// True if the claim is by a later attempt of the same request. That one may run: an entry makes its next
// attempt only after it has established that the previous one has not run.
bool same_request_later(const key_claim& claim, const idempotency_record& record)
{
    return claim.attempt_.entry_ == record.attempt_.entry_ &&
           claim.attempt_.id_.entry_ == record.attempt_.id_.entry_ && claim.request_ == record.request_ &&
           claim.attempt_.id_.sequence_ >= record.attempt_.id_.sequence_;
}

} // namespace

std::vector<daemon_name> key_replicas(const view& v, const std::string& identity)
{
    std::vector<daemon_name> ranked;
    for (const member& m : v.members_)
        ranked.push_back(m.name_);
    const std::size_t count = std::min(replicas_per_key, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                      [&](const daemon_name& a, const daemon_name& b) {
                          return rendezvous_rank(identity, a) > rendezvous_rank(identity, b);
                      });
    ranked.resize(count);
    return ranked;
}

std::size_t grants_needed(std::size_t replicas)
{
    return std::min(replicas, max_grants_needed);
}

key_claim_reply key_replica_store::handle(const key_claim& claim, time_point now)
{
    key_claim_reply reply{claim.identity_, claim.attempt_, false, false, false, 0};
    reply.recently_started_ = !complete_ && now - started_ < recent_start_window;
    const idempotency_record* record = records_.find(claim.identity_);
    if (record && (record->ended_ || !same_request_later(claim, *record))) {
        reply.ended_ = record->ended_;
        reply.status_ = record->status_;
        return reply;
    }
    idempotency_record created;
    created.attempt_ = claim.attempt_;
    created.request_ = claim.request_;
    created.until_ = now + claim_retention;
    reply.granted_ = records_.record_start(claim.identity_, created);
    return reply;
}

key_outcome_ack key_replica_store::handle(const key_outcome& outcome, time_point now)
{
    const key_outcome_ack ack{outcome.identity_, outcome.attempt_};
    const idempotency_record* record = records_.find(outcome.identity_);
    if (!record || record->attempt_ != outcome.attempt_)
        return ack;
    if (outcome.ran_)
        records_.record_end(outcome.identity_, outcome.status_, now);
    else if (!record->ended_)
        records_.remove(outcome.identity_);
    return ack;
}

} // namespace guavahaven::decide
