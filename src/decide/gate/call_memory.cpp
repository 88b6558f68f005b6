#include "decide/gate/call_memory.h"

namespace guavahaven::decide {

namespace {

constexpr duration attempt_retention = std::chrono::minutes(2);
constexpr std::size_t max_attempts = 20'000;
constexpr std::size_t max_forgotten_entries =
    8'192; // entry processes with forgotten attempts; the one that had none forgotten for longest is dropped

} // namespace

void finished_attempts::record(const call_key& key, run_status f, time_point now)
{
    if (!fates_.emplace(key, f).second)
        return;
    by_time_.emplace_back(now, key);
    if (fates_.size() > max_attempts)
        forget_oldest(now);
}

std::optional<run_status> finished_attempts::find(const call_key& key) const
{
    if (const auto at = fates_.find(key); at != fates_.end())
        return at->second;
    const auto gone = forgotten_.find({key.entry_, key.id_.entry_});
    if (gone != forgotten_.end() && key.id_.sequence_ <= gone->second.max_sequence_)
        return run_status::unknown;
    return {};
}

void finished_attempts::forget_expired(time_point now)
{
    while (!by_time_.empty() && by_time_.front().first + attempt_retention <= now)
        forget_oldest(now);
}

// An entry numbers its attempts in order, so the highest forgotten number is enough to tell which attempts
// may have been forgotten.
void finished_attempts::forget_oldest(time_point now)
{
    const call_key& key = by_time_.front().second;
    forgotten& f = forgotten_[{key.entry_, key.id_.entry_}];
    f.max_sequence_ = std::max(f.max_sequence_, key.id_.sequence_);
    f.last_forgotten_ = now;
    fates_.erase(key);
    by_time_.pop_front();
    bound_forgotten();
}

void finished_attempts::bound_forgotten()
{
    if (forgotten_.size() <= max_forgotten_entries)
        return;
    const auto oldest =
        std::min_element(forgotten_.begin(), forgotten_.end(), [](const auto& a, const auto& b) {
            return a.second.last_forgotten_ < b.second.last_forgotten_;
        });
    forgotten_.erase(oldest);
}

} // namespace guavahaven::decide
