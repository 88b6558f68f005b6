#include "decide/gate/key_memory.h"

namespace guavahaven::decide {

namespace {

constexpr std::size_t max_identities = 50'000;

} // namespace

const idempotency_record* idempotency_records::find(const std::string& identity) const
{
    const auto at = records_.find(identity);
    return at == records_.end() ? nullptr : &at->second;
}

bool idempotency_records::record_start(const std::string& identity, const idempotency_record& run)
{
    if (expiries_.size() >= max_identities)
        return false;
    records_[identity] = run;
    expiries_.emplace(run.until_, identity);
    return true;
}

void idempotency_records::record_end(const std::string& identity, int status, time_point now)
{
    const auto at = records_.find(identity);
    if (at == records_.end() || at->second.ended_)
        return;
    at->second.ended_ = true;
    at->second.status_ = status;
    at->second.until_ = now + identity_retention;
}

// A record whose until_ was moved by record_end() is scheduled again for the new time.
void idempotency_records::forget_expired(time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const std::string identity = expiries_.begin()->second;
        expiries_.erase(expiries_.begin());
        const auto at = records_.find(identity);
        if (at == records_.end())
            continue;
        if (at->second.until_ <= now)
            records_.erase(at);
        else
            expiries_.emplace(at->second.until_, identity);
    }
}

} // namespace guavahaven::decide
