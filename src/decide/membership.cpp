#include "decide/membership.h"

#include <algorithm>
#include <tuple>

namespace guavahaven::decide {

namespace {

constexpr std::size_t neighbours_most = 8;
constexpr std::size_t watchers_per_data_center = 2;
constexpr duration silent_before_suspect = std::chrono::seconds(3);
constexpr duration suspect_before_dead = std::chrono::seconds(3);
constexpr duration keep_dead = std::chrono::minutes(2);

bool gone(member_state s)
{
    return s == member_state::left || s == member_state::dead;
}

// The order in which one announcement of a daemon replaces another. At the
// same revision the worse state wins, until the daemon itself refutes it.
auto precedence(const member& m)
{
    return std::tuple(m.incarnation_, m.revision_, m.state_);
}

} // namespace

membership::membership(member self, time_point) : self_(std::move(self)) {}

std::vector<member> membership::merge(const std::vector<member>& heard, time_point now)
{
    std::vector<member> news;
    for (const member& m : heard) {
        if (m.name_ == self_.name_) {
            if (m.incarnation_ == self_.incarnation_ && precedence(m) > precedence(self_)) {
                self_.revision_ = m.revision_ + 1; // refutes what is said of this daemon
                news.push_back(self_);
            }
            continue;
        }
        const auto at = others_.find(m.name_);
        if (at != others_.end() && precedence(m) <= precedence(at->second.member_))
            continue;
        others_[m.name_] = {m, now, now};
        news.push_back(m);
    }
    return news;
}

bool membership::announce(const service_name& service, const version_name& version, std::uint32_t slots,
                          bool draining)
{
    member changed = self_;
    changed.service_ = service;
    changed.version_ = version;
    changed.slots_ = slots;
    changed.state_ = draining ? member_state::draining : member_state::alive;
    if (changed == self_)
        return false;
    ++changed.revision_;
    self_ = changed;
    return true;
}

void membership::leave()
{
    ++self_.revision_;
    self_.state_ = member_state::left;
}

void membership::heard_from(const daemon_name& from, time_point now)
{
    const auto at = others_.find(from);
    if (at != others_.end())
        at->second.heard_ = now;
}

std::vector<member> membership::tick(time_point now)
{
    std::vector<member> news;
    const std::vector<daemon_name> watched = neighbours();
    for (auto at = others_.begin(); at != others_.end();) {
        known& k = at->second;
        const bool neighbour = std::find(watched.begin(), watched.end(), at->first) != watched.end();
        if (gone(k.member_.state_) && now - k.changed_ > keep_dead) {
            at = others_.erase(at);
            continue;
        }
        const bool silent = neighbour && now - k.heard_ > silent_before_suspect;
        if (k.member_.state_ == member_state::suspect && now - k.changed_ > suspect_before_dead) {
            k.member_.state_ = member_state::dead;
            k.changed_ = now;
            news.push_back(k.member_);
        }
        else if (silent && k.member_.state_ < member_state::suspect) {
            k.member_.state_ = member_state::suspect;
            k.changed_ = now;
            news.push_back(k.member_);
        }
        ++at;
    }
    return news;
}

std::vector<member> membership::members() const
{
    std::vector<member> all{self_};
    for (const auto& [name, k] : others_)
        all.push_back(k.member_);
    std::sort(all.begin(), all.end(), [](const member& a, const member& b) { return a.name_ < b.name_; });
    return all;
}

std::uint64_t membership::hash() const
{
    std::uint64_t sum = 0;
    for (const member& m : members()) {
        const std::string text = m.name_.str() + "/" + std::to_string(m.incarnation_.value()) + "/" +
                                 std::to_string(m.revision_) + "/" + std::string(name(m.state_));
        sum += guavahaven::hash(text);
    }
    return sum;
}

std::vector<daemon_name> membership::neighbours() const
{
    std::vector<daemon_name> names;
    for (const auto& [name, k] : others_)
        if (!gone(k.member_.state_))
            names.push_back(name);
    const auto rank = [this](const daemon_name& n) { return rendezvous_rank(self_.name_.str(), n); };
    std::sort(names.begin(), names.end(),
              [&](const daemon_name& a, const daemon_name& b) { return rank(a) > rank(b); });
    names.resize(std::min(names.size(), neighbours_most));
    return names;
}

bool membership::watches_platform() const
{
    const auto rank = [this](const daemon_name& n) { return rendezvous_rank(self_.data_center_.str(), n); };
    const std::uint64_t own = rank(self_.name_);
    std::size_t above = 0;
    for (const auto& [name, k] : others_) {
        const bool near = k.member_.data_center_ == self_.data_center_;
        if (near && k.member_.state_ == member_state::alive && rank(name) > own)
            ++above;
    }
    return above < watchers_per_data_center;
}

} // namespace guavahaven::decide
