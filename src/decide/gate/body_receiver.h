#pragma once

// Receives the bodies of large requests before they wait for a slot. The gate grants parts to the entries
// (receiver-driven flow control), so that only a few parts at a time are on the gate's link and the small
// messages of other calls are not delayed behind whole bodies. The body with the fewest bytes left goes
// first.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/gate/held_call.h"

namespace guavahaven::decide {

inline constexpr double default_link_bytes_per_second = 125e6; // 1,000 Mbit/s

class body_receiver {
public:
    // For the entry of the attempt.
    struct grant {
        daemon_name entry_;
        body_grant part_;
        friend bool operator==(const grant&, const grant&) = default;
    };

    // link_bytes_per_second: bandwidth of the machine's network link.
    explicit body_receiver(double link_bytes_per_second);

    // True if the bounds on count and memory leave room for one more body.
    bool has_room(std::uint64_t body_bytes) const;
    // Time until a body that is added now is here: that of all bytes that are received before its own, and
    // its own.
    duration transfer_time(std::uint64_t body_bytes) const;

    // Adds a call whose body of call_.body_bytes_ is still to be received.
    void add(held_call held, time_point now);
    // Appends a part; returns the call if its body is complete. A part after a gap is dropped and granted
    // again later.
    std::optional<held_call> receive(const call_key& key, std::uint64_t offset, const std::string& bytes,
                                     time_point now);
    // The grants to send now.
    std::vector<grant> next_grants(time_point now);

    // Removes and returns the call that this attempt waits for.
    std::optional<held_call> extract(const call_key& key);
    std::vector<held_call> extract_expired(time_point now);
    std::vector<held_call> extract_all();
    // Null if there is none. Valid until the next change.
    held_call* find(const call_key& key);
    held_call* find_identity(const std::string& scoped_identity);

    std::size_t count_of(const class_name& name) const;
    std::size_t size() const { return bodies_.size(); }
    bool empty() const { return bodies_.empty(); }

private:
    struct incoming_body {
        held_call held_;
        std::uint64_t granted_ = 0; // offset up to which parts have been granted
        time_point last_progress_{};

        std::uint64_t received() const { return held_.call_.request_.body_.size(); }
        std::uint64_t missing() const { return held_.call_.body_bytes_ - received(); }
        std::uint64_t outstanding() const { return granted_ - received(); }
    };
    using body_map = std::map<call_key, incoming_body>;

    body_map::iterator find_body(const call_key& key);
    held_call remove(body_map::iterator at);
    // Takes back the grants of bodies that make no progress, so that they don't block the others.
    void reset_stalled(time_point now);

    double link_bytes_per_second_;
    std::uint64_t max_outstanding_bytes_;
    body_map bodies_; // by the first attempt that waits for it
    std::uint64_t total_bytes_ = 0;
};

} // namespace guavahaven::decide
