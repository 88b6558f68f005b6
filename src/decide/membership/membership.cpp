#include "decide/membership/membership.h"

#include <algorithm>
#include <tuple>

namespace guavahaven::decide {

namespace {

constexpr std::size_t platform_watchers_per_data_center = 2;
constexpr duration suspicion_timeout = std::chrono::seconds(4);
constexpr duration cut_off_suspicion_timeout = std::chrono::hours(1);
constexpr duration gone_retention = std::chrono::minutes(2);
constexpr std::size_t min_suspects_of_cut_off = 2; // one silent daemon is no sign of a cut-off data centre

bool gone(member_state s)
{
    return s == member_state::left || s == member_state::dead;
}

// How strongly a state contradicts that the daemon serves; 0 if it does not.
int suspicion_level(member_state s)
{
    switch (s) {
    case member_state::alive:
    case member_state::draining:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::left:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

// The announcement with the highest precedence replaces the others of a daemon. At the same revision the
// stronger suspicion wins, until the daemon itself refutes it under a higher revision.
auto precedence(const member& m)
{
    return std::tuple(m.incarnation_, m.revision_, suspicion_level(m.state_));
}

std::uint32_t bucket_of(const daemon_name& name)
{
    return static_cast<std::uint32_t>(guavahaven::hash(name.str()) % membership::bucket_count);
}

std::uint64_t hash_of_member(const member& m)
{
    const std::uint64_t numbers[] = {m.incarnation_.value(), m.revision_,
                                     static_cast<std::uint64_t>(m.state_)};
    const std::string_view bytes(reinterpret_cast<const char*>(numbers), sizeof numbers);
    return guavahaven::hash(bytes, guavahaven::hash(m.name_.str()));
}

} // namespace

membership::membership(member self, time_point) : self_(std::move(self)), self_bucket_(bucket_of(self_.name_))
{
    own_ring_positions_ = ring_positions_of(self_.name_);
    update_self_hash();
}

membership::ring_positions membership::ring_positions_of(const daemon_name& name) const
{
    ring_positions positions{};
    for (std::size_t ring = 0; ring < positions.size(); ++ring)
        positions[ring] = guavahaven::hash(name.str(), ring + 1) - own_ring_positions_[ring];
    return positions;
}

void membership::update_self_hash()
{
    buckets_[self_bucket_] -= self_hash_;
    self_hash_ = hash_of_member(self_);
    buckets_[self_bucket_] += self_hash_;
}

// Members that are gone are not hashed: daemons forget them at different times, and their hashes would
// differ.
void membership::update_bucket_hash(known_member& k)
{
    buckets_[k.bucket_] -= k.hash_;
    k.hash_ = gone(k.member_.state_) ? 0 : hash_of_member(k.member_);
    buckets_[k.bucket_] += k.hash_;
}

void membership::count(const known_member& k, bool added)
{
    population& p = populations_[k.member_.data_center_];
    const std::size_t step = added ? 1 : static_cast<std::size_t>(-1);
    if (!gone(k.member_.state_))
        p.present_ += step;
    if (k.member_.state_ == member_state::suspect)
        p.suspect_ += step;
}

void membership::put(const member& m, time_point now)
{
    neighbours_stale_ = true;
    auto at = others_.find(m.name_);
    if (at == others_.end()) {
        known_member added;
        added.bucket_ = bucket_of(m.name_);
        added.ring_positions_ = ring_positions_of(m.name_);
        at = others_.emplace(m.name_, added).first;
    }
    else
        count(at->second, false);
    known_member& k = at->second;
    k.member_ = m;
    k.changed_ = now;
    k.watcher_rank_ = rendezvous_rank(m.data_center_.str(), m.name_);
    count(k, true);
    update_bucket_hash(k);
}

merge_outcome membership::merge(const std::vector<member>& received, time_point now)
{
    merge_outcome outcome;
    for (const member& m : received) {
        if (m.name_ == self_.name_) {
            if (precedence(m) <= precedence(self_))
                continue;
            // Refutes a state that others hold of this daemon, or of an earlier one at this address.
            self_.incarnation_ = m.incarnation_;
            self_.revision_ = m.revision_ + 1;
            update_self_hash();
            outcome.news_.push_back(self_);
            continue;
        }
        const auto at = others_.find(m.name_);
        if (at == others_.end() ? gone(m.state_) : precedence(m) <= precedence(at->second.member_)) {
            const bool outdated = at != others_.end() && gone(at->second.member_.state_) &&
                                  precedence(m) < precedence(at->second.member_);
            if (outdated)
                outcome.corrections_.push_back(at->second.member_);
            continue;
        }
        put(m, now);
        outcome.news_.push_back(m);
    }
    return outcome;
}

bool membership::announce(const service_name& service, const version_name& version, std::uint32_t slots,
                          bool draining)
{
    member changed = self_;
    changed.service_ = service;
    changed.version_ = version;
    changed.slots_ = slots;
    if (self_.state_ != member_state::left)
        changed.state_ = draining ? member_state::draining : member_state::alive;
    if (changed == self_)
        return false;
    ++changed.revision_;
    self_ = changed;
    update_self_hash();
    return true;
}

void membership::leave()
{
    ++self_.revision_;
    self_.state_ = member_state::left;
    update_self_hash();
}

void membership::change_state(known_member& k, member_state state, time_point now)
{
    member changed = k.member_;
    changed.state_ = state;
    put(changed, now);
}

std::vector<member> membership::suspect(const daemon_name& name, time_point now)
{
    const auto at = others_.find(name);
    if (at == others_.end() || suspicion_level(at->second.member_.state_) > 0)
        return {};
    change_state(at->second, member_state::suspect, now);
    return {at->second.member_};
}

std::vector<member> membership::tick(time_point now)
{
    std::vector<member> updates;
    for (auto at = others_.begin(); at != others_.end();) {
        known_member& k = at->second;
        const duration age = now - k.changed_;
        if (gone(k.member_.state_) && age > gone_retention) {
            at = others_.erase(at);
            continue;
        }
        const bool overdue = k.member_.state_ == member_state::suspect && age > suspicion_timeout;
        if (overdue && (age > cut_off_suspicion_timeout || !cut_off(k.member_.data_center_))) {
            change_state(k, member_state::dead, now);
            updates.push_back(k.member_);
        }
        ++at;
    }
    return updates;
}

void membership::resume(time_point now)
{
    for (auto& [name, k] : others_)
        if (k.member_.state_ == member_state::suspect)
            k.changed_ = now;
}

const member* membership::find(const daemon_name& name) const
{
    const auto at = others_.find(name);
    return at == others_.end() ? nullptr : &at->second.member_;
}

std::vector<member> membership::members() const
{
    std::vector<member> all;
    all.reserve(others_.size() + 1);
    for (const auto& [name, k] : others_)
        all.push_back(k.member_);
    const auto position = std::lower_bound(
        all.begin(), all.end(), self_, [](const member& a, const member& b) { return a.name_ < b.name_; });
    all.insert(position, self_);
    return all;
}

std::uint64_t membership::hash() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t bucket : buckets_)
        sum += bucket;
    return sum;
}

std::vector<std::uint64_t> membership::bucket_hashes() const
{
    return {buckets_.begin(), buckets_.end()};
}

std::vector<member> membership::members_in(const std::vector<std::uint32_t>& buckets) const
{
    std::array<bool, bucket_count> wanted{};
    for (const std::uint32_t b : buckets)
        if (b < bucket_count)
            wanted[b] = true;
    std::vector<member> found;
    if (wanted[self_bucket_])
        found.push_back(self_);
    for (const auto& [name, k] : others_)
        if (wanted[k.bucket_] && !gone(k.member_.state_))
            found.push_back(k.member_);
    return found;
}

const std::vector<daemon_name>& membership::neighbours() const
{
    if (!neighbours_stale_)
        return neighbours_;
    neighbours_.clear();
    for (std::size_t ring = 0; ring < local_rings + remote_rings; ++ring) {
        const bool same_data_center = ring < local_rings;
        const daemon_name* successor = nullptr;
        std::uint64_t least_distance = 0;
        for (const auto& [name, k] : others_) {
            if (suspicion_level(k.member_.state_) > 0 ||
                (k.member_.data_center_ == self_.data_center_) != same_data_center)
                continue;
            const bool closer = !successor || k.ring_positions_[ring] < least_distance;
            if (closer && std::find(neighbours_.begin(), neighbours_.end(), name) == neighbours_.end()) {
                successor = &name;
                least_distance = k.ring_positions_[ring];
            }
        }
        if (successor)
            neighbours_.push_back(*successor);
    }
    neighbours_stale_ = false;
    return neighbours_;
}

bool membership::watches_platform() const
{
    const std::uint64_t own = rendezvous_rank(self_.data_center_.str(), self_.name_);
    std::size_t higher_ranked = 0;
    for (const auto& [name, k] : others_) {
        const bool same_data_center = k.member_.data_center_ == self_.data_center_;
        if (same_data_center && k.member_.state_ == member_state::alive && k.watcher_rank_ > own)
            ++higher_ranked;
    }
    return higher_ranked < platform_watchers_per_data_center;
}

std::vector<daemon_name> membership::seed_candidates() const
{
    std::vector<std::pair<std::uint64_t, daemon_name>> ranked;
    ranked.emplace_back(rendezvous_rank(self_.data_center_.str(), self_.name_), self_.name_);
    for (const auto& [name, k] : others_)
        if (k.member_.data_center_ == self_.data_center_ && k.member_.state_ == member_state::alive)
            ranked.emplace_back(k.watcher_rank_, name);
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<daemon_name> names;
    for (const auto& [rank, name] : ranked)
        names.push_back(name);
    return names;
}

bool membership::cut_off(const data_center_name& name) const
{
    const auto at = populations_.find(name);
    if (at == populations_.end())
        return false;
    const population& p = at->second;
    return p.suspect_ >= min_suspects_of_cut_off && 2 * p.suspect_ >= p.present_;
}

std::optional<member> membership::pick_suspect_or_dead(random_engine& random) const
{
    std::vector<const member*> candidates;
    for (const auto& [name, k] : others_)
        if (k.member_.state_ == member_state::suspect || k.member_.state_ == member_state::dead)
            candidates.push_back(&k.member_);
    if (candidates.empty())
        return {};
    return *candidates[random_index(random, candidates.size())];
}

std::optional<member> membership::pick_unsuspected_in_cut_off(random_engine& random) const
{
    std::vector<const member*> candidates;
    for (const auto& [name, k] : others_)
        if (suspicion_level(k.member_.state_) == 0 && cut_off(k.member_.data_center_))
            candidates.push_back(&k.member_);
    if (candidates.empty())
        return {};
    return *candidates[random_index(random, candidates.size())];
}

} // namespace guavahaven::decide
