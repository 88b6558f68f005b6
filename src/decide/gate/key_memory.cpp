#include "decide/gate/key_memory.h"

namespace guavahaven::decide {

namespace {

constexpr std::size_t identities_most = 50'000;

} // namespace

const known_run* key_memory::find(const std::string& identity) const
{
    const auto at = known_.find(identity);
    return at == known_.end() ? nullptr : &at->second;
}

bool key_memory::begin(const std::string& identity, const known_run& run)
{
    if (expiries_.size() >= identities_most)
        return false;
    known_[identity] = run;
    expiries_.emplace(run.until_, identity);
    return true;
}

void key_memory::end(const std::string& identity, int status, time_point now)
{
    const auto at = known_.find(identity);
    if (at == known_.end() || at->second.ended_)
        return;
    at->second.ended_ = true;
    at->second.status_ = status;
    at->second.until_ = now + remember_identity;
}

// A run that ended meanwhile is looked at again when its own time has come.
void key_memory::forget(time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const std::string identity = expiries_.begin()->second;
        expiries_.erase(expiries_.begin());
        const auto at = known_.find(identity);
        if (at == known_.end())
            continue;
        if (at->second.until_ <= now)
            known_.erase(at);
        else
            expiries_.emplace(at->second.until_, identity);
    }
}

} // namespace guavahaven::decide
