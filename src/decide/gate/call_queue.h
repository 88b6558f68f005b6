#pragma once

// Calls that wait for a slot at a gate. Classes that are shed last go first; within a shed order those with
// the lowest priority number; those with equal priority share by weight; within a class the earliest deadline
// goes first. Memory is bounded by count and bytes.

#include <map>
#include <optional>
#include <vector>

#include "decide/gate/held_call.h"

namespace guavahaven::decide {

class call_queue {
public:
    // Adds a call. Returns the calls to refuse for lack of room: waiting calls of a class that is shed
    // earlier, or else (also) this one.
    std::vector<held_call> push(held_call held);

    // Removes and returns the next call; empty if none waits.
    std::optional<held_call> pop();

    // Removes and returns the calls whose deadline has passed.
    std::vector<held_call> extract_expired(time_point now);
    std::vector<held_call> extract_all();
    // Removes and returns the call that this attempt waits for.
    std::optional<held_call> extract(const call_key& key);
    // The same without removing it; null if there is none. Valid until the next change.
    held_call* find(const call_key& key);
    // The call with this scoped identity among those that must run at most once; null if there is none.
    held_call* find_identity(const std::string& scoped_identity);

    // Number of calls that would go before a new one of this shed order and priority.
    std::size_t ahead_of(shed_order shed, std::uint32_t priority) const;
    std::size_t count_of(const class_name& name) const;
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

private:
    struct class_queue {
        shed_order shed_ = shed_order::normal;
        std::uint32_t priority_ = 0;
        std::uint32_t weight_ = 1;
        double served_ = 0; // calls served, divided by weight; the queue with the lowest value is served next
        std::multimap<time_point, held_call> calls_;
    };

    // True if the bounds on count and bytes leave room for the call.
    bool fits(const held_call& held) const;
    // Removes the waiting call to refuse in favour of a new one; empty if none is shed before it.
    std::optional<held_call> evict_for(const held_call& newcomer);
    held_call remove(class_queue& from, std::multimap<time_point, held_call>::iterator at);
    // The lowest served_ of the non-empty queues of a shed order; 0 if there is none.
    double min_served(shed_order shed) const;

    // Calls of a class that are late already wait in a queue of their own (true).
    using queue_key = std::pair<class_name, bool>;

    std::map<queue_key, class_queue> queues_;
    std::size_t size_ = 0;
    std::size_t kept_count_ = 0;
    std::size_t bytes_ = 0;
};

// The call's identity within the scope in which it must be unique: service, route, and whether the caller or
// the entry chose it.
std::string scoped_identity(const call& c);

} // namespace guavahaven::decide
