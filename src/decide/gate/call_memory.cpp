#include "decide/gate/call_memory.h"

namespace guavahaven::decide {

namespace {

constexpr duration remember_call = std::chrono::minutes(2);
constexpr std::size_t calls_most = 20'000;
constexpr std::size_t entries_most = 8'192; // entry processes whose calls were forgotten

} // namespace

void call_memory::note(const call_key& key, fate f, time_point now)
{
    if (!fates_.emplace(key, f).second)
        return;
    order_.emplace_back(now, key);
    if (fates_.size() > calls_most)
        forget_oldest(now);
}

std::optional<fate> call_memory::find(const call_key& key) const
{
    if (const auto at = fates_.find(key); at != fates_.end())
        return at->second;
    const auto gone = forgotten_.find({key.entry_, key.id_.entry_});
    if (gone != forgotten_.end() && key.id_.sequence_ <= gone->second.through_)
        return fate::unknown;
    return {};
}

void call_memory::forget(time_point now)
{
    while (!order_.empty() && order_.front().first + remember_call <= now)
        forget_oldest(now);
}

// An entry numbers its attempts in order, so one number tells which attempts
// may have been forgotten.
void call_memory::forget_oldest(time_point now)
{
    const call_key& key = order_.front().second;
    forgotten& f = forgotten_[{key.entry_, key.id_.entry_}];
    f.through_ = std::max(f.through_, key.id_.sequence_);
    f.at_ = now;
    fates_.erase(key);
    order_.pop_front();
    bound_forgotten();
}

void call_memory::bound_forgotten()
{
    if (forgotten_.size() <= entries_most)
        return;
    const auto oldest =
        std::min_element(forgotten_.begin(), forgotten_.end(),
                         [](const auto& a, const auto& b) { return a.second.at_ < b.second.at_; });
    forgotten_.erase(oldest);
}

} // namespace guavahaven::decide
