#include "decide/gate/body_receiver.h"

#include <algorithm>

#include "decide/gate/call_queue.h"

namespace guavahaven::decide {

namespace {

constexpr std::uint64_t part_bytes = 8 * 1024;
constexpr std::uint64_t max_outstanding_per_body = 2 * part_bytes;
// Time for which the outstanding parts of all bodies may occupy the link, and the bounds on their bytes.
constexpr double max_outstanding_link_seconds = 0.02;
constexpr std::uint64_t min_outstanding_bytes = 2 * part_bytes;
constexpr std::uint64_t max_outstanding_bytes = 64 * part_bytes;
constexpr duration stall_timeout = std::chrono::milliseconds(300); // without a part, grants are taken back
// Longer than any deadline; a body size of another daemon may be any number.
constexpr duration max_transfer_time = std::chrono::hours(48);
constexpr std::size_t max_bodies = 256;
constexpr std::uint64_t max_total_bytes = 16 * 1024 * 1024; // of the bodies, as announced

} // namespace

body_receiver::body_receiver(double link_bytes_per_second)
    : link_bytes_per_second_(link_bytes_per_second),
      max_outstanding_bytes_(
          std::clamp(static_cast<std::uint64_t>(link_bytes_per_second * max_outstanding_link_seconds),
                     min_outstanding_bytes, max_outstanding_bytes))
{
}

bool body_receiver::has_room(std::uint64_t body_bytes) const
{
    return bodies_.empty() || (bodies_.size() < max_bodies && total_bytes_ + body_bytes <= max_total_bytes);
}

duration body_receiver::transfer_time(std::uint64_t body_bytes) const
{
    double bytes = static_cast<double>(body_bytes);
    for (const auto& [key, body] : bodies_)
        if (body.missing() <= body_bytes)
            bytes += static_cast<double>(body.missing());
    const std::chrono::duration<double> time(bytes / link_bytes_per_second_);
    return std::chrono::duration_cast<duration>(
        std::min<std::chrono::duration<double>>(time, max_transfer_time));
}

void body_receiver::add(held_call held, time_point now)
{
    total_bytes_ += held.call_.body_bytes_;
    const call_key key = held.waiters_.front().key_;
    bodies_.insert_or_assign(key, incoming_body{std::move(held), 0, now});
}

std::optional<held_call> body_receiver::receive(const call_key& key, std::uint64_t offset,
                                                const std::string& bytes, time_point now)
{
    const auto at = find_body(key);
    if (at == bodies_.end())
        return {};
    incoming_body& body = at->second;
    if (offset != body.received() || bytes.size() > body.missing())
        return {};
    body.held_.call_.request_.body_ += bytes;
    body.granted_ = std::max(body.granted_, body.received());
    body.last_progress_ = now;
    if (body.missing() > 0)
        return {};
    return remove(at);
}

std::vector<body_receiver::grant> body_receiver::next_grants(time_point now)
{
    reset_stalled(now);
    std::uint64_t outstanding = 0;
    std::vector<incoming_body*> by_missing;
    for (auto& [key, body] : bodies_) {
        outstanding += body.outstanding();
        by_missing.push_back(&body);
    }
    std::sort(by_missing.begin(), by_missing.end(),
              [](const incoming_body* a, const incoming_body* b) { return a->missing() < b->missing(); });
    std::vector<grant> grants;
    for (incoming_body* body : by_missing)
        while (body->granted_ < body->held_.call_.body_bytes_ &&
               body->outstanding() < max_outstanding_per_body) {
            const std::uint64_t bytes = std::min(part_bytes, body->held_.call_.body_bytes_ - body->granted_);
            if (outstanding + bytes > max_outstanding_bytes_)
                return grants;
            const call_key& key = body->held_.waiters_.front().key_;
            grants.push_back({key.entry_, {key.id_, body->granted_, bytes}});
            body->granted_ += bytes;
            outstanding += bytes;
        }
    return grants;
}

void body_receiver::reset_stalled(time_point now)
{
    for (auto& [key, body] : bodies_)
        if (now - body.last_progress_ >= stall_timeout && body.outstanding() > 0) {
            body.granted_ = body.received();
            body.last_progress_ = now;
        }
}

std::optional<held_call> body_receiver::extract(const call_key& key)
{
    const auto at = find_body(key);
    if (at == bodies_.end())
        return {};
    return remove(at);
}

std::vector<held_call> body_receiver::extract_expired(time_point now)
{
    std::vector<held_call> expired;
    for (auto at = bodies_.begin(); at != bodies_.end();) {
        const auto next = std::next(at);
        if (at->second.held_.deadline_ <= now)
            expired.push_back(remove(at));
        at = next;
    }
    return expired;
}

std::vector<held_call> body_receiver::extract_all()
{
    std::vector<held_call> all;
    while (!bodies_.empty())
        all.push_back(remove(bodies_.begin()));
    return all;
}

held_call* body_receiver::find(const call_key& key)
{
    const auto at = find_body(key);
    return at == bodies_.end() ? nullptr : &at->second.held_;
}

held_call* body_receiver::find_identity(const std::string& identity)
{
    for (auto& [key, body] : bodies_)
        if (body.held_.call_.once_ && scoped_identity(body.held_.call_) == identity)
            return &body.held_;
    return nullptr;
}

std::size_t body_receiver::count_of(const class_name& name) const
{
    return static_cast<std::size_t>(std::count_if(
        bodies_.begin(), bodies_.end(), [&](const auto& b) { return b.second.held_.call_.class_ == name; }));
}

body_receiver::body_map::iterator body_receiver::find_body(const call_key& key)
{
    const auto at = bodies_.find(key);
    if (at != bodies_.end())
        return at;
    return std::find_if(bodies_.begin(), bodies_.end(),
                        [&](const auto& b) { return b.second.held_.has_waiter(key); });
}

held_call body_receiver::remove(body_map::iterator at)
{
    held_call held = std::move(at->second.held_);
    total_bytes_ -= held.call_.body_bytes_;
    bodies_.erase(at);
    return held;
}

} // namespace guavahaven::decide
