#include "decide/gate/call_queue.h"

#include <tuple>

namespace guavahaven::decide {

namespace {

constexpr std::size_t waiting_most = 256;            // calls that may be refused early
constexpr std::size_t kept_most = 512;               // calls that are kept to their deadline
constexpr std::size_t bytes_most = 16 * 1024 * 1024; // of all requests that wait
constexpr std::size_t call_bytes = 512;              // what a call takes beside its request

std::size_t bytes_of(const held_call& held)
{
    std::size_t bytes = call_bytes + held.call_.request_.target_.size() + held.call_.request_.body_.size();
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
        std::optional<held_call> gave_way = give_way(held);
        if (!gave_way) {
            refused.push_back(std::move(held));
            return refused;
        }
        refused.push_back(std::move(*gave_way));
    }
    lane& l = lanes_[{held.call_.class_, held.late_}];
    l.shed_ = held.shed_;
    l.priority_ = held.priority_;
    l.weight_ = std::max<std::uint32_t>(1, held.weight_);
    if (l.calls_.empty())
        l.served_ = std::max(l.served_, least_served(l.shed_));
    ++size_;
    kept_ += held.keep_ ? 1 : 0;
    bytes_ += bytes_of(held);
    const time_point deadline = held.deadline_;
    l.calls_.emplace(deadline, std::move(held));
    return refused;
}

bool call_queue::fits(const held_call& held) const
{
    const bool room = held.keep_ ? kept_ < kept_most : size_ - kept_ < waiting_most;
    return room && bytes_ + bytes_of(held) <= bytes_most;
}

// The latest call of the class that is shed first, if that is before this one.
std::optional<held_call> call_queue::give_way(const held_call& to)
{
    lane* worst = nullptr;
    for (auto& [name, l] : lanes_) {
        if (l.calls_.empty() || l.shed_ >= to.shed_ || l.calls_.rbegin()->second.keep_)
            continue;
        if (!worst || l.shed_ < worst->shed_)
            worst = &l;
    }
    if (!worst)
        return {};
    return remove(*worst, std::prev(worst->calls_.end()));
}

std::optional<held_call> call_queue::pop()
{
    lane* next = nullptr;
    for (auto& [name, l] : lanes_) {
        if (l.calls_.empty())
            continue;
        if (!next || std::tuple(l.shed_, next->priority_, next->served_) >
                         std::tuple(next->shed_, l.priority_, l.served_))
            next = &l;
    }
    if (!next)
        return {};
    next->served_ += 1.0 / next->weight_;
    return remove(*next, next->calls_.begin());
}

std::vector<held_call> call_queue::take_expired(time_point now)
{
    std::vector<held_call> expired;
    for (auto& [name, l] : lanes_)
        while (!l.calls_.empty() && l.calls_.begin()->first <= now)
            expired.push_back(remove(l, l.calls_.begin()));
    return expired;
}

std::vector<held_call> call_queue::take_all()
{
    return take_expired(time_point::max());
}

std::optional<held_call> call_queue::take(const call_key& key)
{
    for (auto& [name, l] : lanes_)
        for (auto at = l.calls_.begin(); at != l.calls_.end(); ++at)
            if (at->second.waited_for_by(key))
                return remove(l, at);
    return {};
}

held_call* call_queue::find(const call_key& key)
{
    for (auto& [name, l] : lanes_)
        for (auto& [deadline, held] : l.calls_)
            if (held.waited_for_by(key))
                return &held;
    return nullptr;
}

held_call* call_queue::find_identity(const std::string& wanted)
{
    for (auto& [name, l] : lanes_)
        for (auto& [deadline, held] : l.calls_)
            if (held.call_.once_ && scoped_identity(held.call_) == wanted)
                return &held;
    return nullptr;
}

std::size_t call_queue::count_of(const class_name& name) const
{
    std::size_t count = 0;
    for (const bool late : {false, true})
        if (const auto at = lanes_.find({name, late}); at != lanes_.end())
            count += at->second.calls_.size();
    return count;
}

std::size_t call_queue::ahead_of(shed_order shed, std::uint32_t priority) const
{
    std::size_t count = 0;
    for (const auto& [name, l] : lanes_)
        if (l.shed_ > shed || (l.shed_ == shed && l.priority_ <= priority))
            count += l.calls_.size();
    return count;
}

held_call call_queue::remove(lane& from, std::multimap<time_point, held_call>::iterator at)
{
    held_call held = std::move(at->second);
    from.calls_.erase(at);
    --size_;
    kept_ -= held.keep_ ? 1 : 0;
    bytes_ -= bytes_of(held);
    return held;
}

double call_queue::least_served(shed_order shed) const
{
    std::optional<double> least;
    for (const auto& [name, l] : lanes_)
        if (!l.calls_.empty() && l.shed_ == shed)
            least = least ? std::min(*least, l.served_) : l.served_;
    return least.value_or(0);
}

} // namespace guavahaven::decide
