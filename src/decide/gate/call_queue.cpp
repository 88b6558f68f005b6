#include "decide/gate/call_queue.h"

#include <tuple>

namespace guavahaven::decide {

namespace {

constexpr std::size_t max_sheddable_calls = 256; // calls of classes that are not kept
constexpr std::size_t max_kept_calls = 512; // calls of classes with 'keep', which wait until their deadline
constexpr std::size_t max_waiting_bytes = 16 * 1024 * 1024; // of all waiting requests
constexpr std::size_t call_overhead_bytes = 512;            // memory of a call apart from its request

std::size_t bytes_of(const held_call& held)
{
    std::size_t bytes =
        call_overhead_bytes + held.call_.request_.target_.size() + held.call_.request_.body_.size();
    for (const http::header& h : held.call_.request_.headers_)
        bytes += h.name_.size() + h.value_.size();
    return bytes;
}

} // namespace

std::string scoped_identity(const call& c)
{
    const char* kind = c.keyed_ ? "key" : "own";
    return c.service_.str() + "\n" + c.route_ + "\n" + kind + "\n" + c.identity_;
}

std::vector<held_call> call_queue::push(held_call held)
{
    std::vector<held_call> refused;
    while (!fits(held)) {
        std::optional<held_call> evicted = evict_for(held);
        if (!evicted) {
            refused.push_back(std::move(held));
            return refused;
        }
        refused.push_back(std::move(*evicted));
    }
    class_queue& queue = queues_[{held.call_.class_, held.late_}];
    queue.shed_ = held.shed_;
    queue.priority_ = held.priority_;
    queue.weight_ = std::max<std::uint32_t>(1, held.weight_);
    if (queue.calls_.empty())
        queue.served_ = std::max(queue.served_, min_served(queue.shed_));
    ++size_;
    kept_count_ += held.keep_ ? 1 : 0;
    bytes_ += bytes_of(held);
    const time_point deadline = held.deadline_;
    queue.calls_.emplace(deadline, std::move(held));
    return refused;
}

bool call_queue::fits(const held_call& held) const
{
    const bool room = held.keep_ ? kept_count_ < max_kept_calls : size_ - kept_count_ < max_sheddable_calls;
    return room && bytes_ + bytes_of(held) <= max_waiting_bytes;
}

// Evicts the call with the latest deadline of the class that is shed first, if that class is shed before the
// new call's.
std::optional<held_call> call_queue::evict_for(const held_call& newcomer)
{
    class_queue* worst = nullptr;
    for (auto& [name, queue] : queues_) {
        if (queue.calls_.empty() || queue.shed_ >= newcomer.shed_ || queue.calls_.rbegin()->second.keep_)
            continue;
        if (!worst || queue.shed_ < worst->shed_)
            worst = &queue;
    }
    if (!worst)
        return {};
    return remove(*worst, std::prev(worst->calls_.end()));
}

std::optional<held_call> call_queue::pop()
{
    class_queue* next = nullptr;
    for (auto& [name, queue] : queues_) {
        if (queue.calls_.empty())
            continue;
        if (!next || std::tuple(queue.shed_, next->priority_, next->served_) >
                         std::tuple(next->shed_, queue.priority_, queue.served_))
            next = &queue;
    }
    if (!next)
        return {};
    next->served_ += 1.0 / next->weight_;
    return remove(*next, next->calls_.begin());
}

std::vector<held_call> call_queue::extract_expired(time_point now)
{
    std::vector<held_call> expired;
    for (auto& [name, queue] : queues_)
        while (!queue.calls_.empty() && queue.calls_.begin()->first <= now)
            expired.push_back(remove(queue, queue.calls_.begin()));
    return expired;
}

std::vector<held_call> call_queue::extract_all()
{
    return extract_expired(time_point::max());
}

std::optional<held_call> call_queue::extract(const call_key& key)
{
    for (auto& [name, queue] : queues_)
        for (auto at = queue.calls_.begin(); at != queue.calls_.end(); ++at)
            if (at->second.has_waiter(key))
                return remove(queue, at);
    return {};
}

held_call* call_queue::find(const call_key& key)
{
    for (auto& [name, queue] : queues_)
        for (auto& [deadline, held] : queue.calls_)
            if (held.has_waiter(key))
                return &held;
    return nullptr;
}

held_call* call_queue::find_identity(const std::string& wanted)
{
    for (auto& [name, queue] : queues_)
        for (auto& [deadline, held] : queue.calls_)
            if (held.call_.once_ && scoped_identity(held.call_) == wanted)
                return &held;
    return nullptr;
}

std::size_t call_queue::count_of(const class_name& name) const
{
    std::size_t count = 0;
    for (const bool late : {false, true})
        if (const auto at = queues_.find({name, late}); at != queues_.end())
            count += at->second.calls_.size();
    return count;
}

std::size_t call_queue::ahead_of(shed_order shed, std::uint32_t priority) const
{
    std::size_t count = 0;
    for (const auto& [name, queue] : queues_)
        if (queue.shed_ > shed || (queue.shed_ == shed && queue.priority_ <= priority))
            count += queue.calls_.size();
    return count;
}

held_call call_queue::remove(class_queue& from, std::multimap<time_point, held_call>::iterator at)
{
    held_call held = std::move(at->second);
    from.calls_.erase(at);
    --size_;
    kept_count_ -= held.keep_ ? 1 : 0;
    bytes_ -= bytes_of(held);
    return held;
}

double call_queue::min_served(shed_order shed) const
{
    std::optional<double> minimum;
    for (const auto& [name, queue] : queues_)
        if (!queue.calls_.empty() && queue.shed_ == shed)
            minimum = minimum ? std::min(*minimum, queue.served_) : queue.served_;
    return minimum.value_or(0);
}

} // namespace guavahaven::decide
