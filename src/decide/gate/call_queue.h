#pragma once

// Calls that wait for a slot at a gate. Classes that are shed last go first, and
// within a shed order those of the lowest priority number; others share by weight; within a class the
// earliest deadline goes first. Memory is bounded by count and bytes.

#include <map>
#include <optional>
#include <vector>

#include "decide/gate/held_call.h"

namespace guavahaven::decide {

class call_queue {
public:
    // Takes a call in. Returns the calls that have to be refused for lack of
    // room: calls of a class that is shed earlier, or else this one.
    std::vector<held_call> push(held_call held);

    // The call whose turn it is; empty if none waits.
    std::optional<held_call> pop();

    // Calls that have passed their deadline.
    std::vector<held_call> take_expired(time_point now);
    std::vector<held_call> take_all();
    // The call that this attempt waits for, taken out.
    std::optional<held_call> take(const call_key& key);
    // The same, left in; null if there is none. Valid until the next change.
    held_call* find(const call_key& key);
    // The call with an idempotency key that runs at most once.
    held_call* find_identity(const std::string& scoped_identity);

    // Calls that would go before one of this shed order and priority.
    std::size_t ahead_of(shed_order shed, std::uint32_t priority) const;
    std::size_t count_of(const class_name& name) const;
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

private:
    struct lane {
        shed_order shed_ = shed_order::normal;
        std::uint32_t priority_ = 0;
        std::uint32_t weight_ = 1;
        double served_ = 0; // calls per weight; the lane with the least goes next
        std::multimap<time_point, held_call> calls_;
    };

    bool fits(const held_call& held) const;
    std::optional<held_call> give_way(const held_call& to);
    held_call remove(lane& from, std::multimap<time_point, held_call>::iterator at);
    double least_served(shed_order shed) const;

    // Those of a class that are late already wait apart.
    using lane_key = std::pair<class_name, bool>;

    std::map<lane_key, lane> lanes_;
    std::size_t size_ = 0;
    std::size_t kept_ = 0;
    std::size_t bytes_ = 0;
};

// The identity within the scope in which it must be unique.
std::string scoped_identity(const call& c);

} // namespace guavahaven::decide
