#pragma once

// Immutable snapshot of what a daemon knows of the mesh, published by control to the
// entry and the gate.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/http.h"
#include "decide/configuration.h"

namespace guavahaven::decide {

enum class member_state : std::uint8_t { alive, suspect, draining, left, dead };

std::string_view name(member_state s);

// What a daemon tells others about itself and the backend server beside it.
struct member {
    daemon_name name_;
    incarnation incarnation_;
    std::uint64_t revision_ = 0; // grows with each change within an incarnation
    member_state state_ = member_state::alive;
    data_center_name data_center_;
    http::address peer_;
    http::address operator_;
    // Empty while no backend server has announced itself there.
    service_name service_;
    version_name version_;
    std::uint32_t slots_ = 0; // concurrent requests that the backend server can run

    friend bool operator==(const member&, const member&) = default;
};

// Progress of a move (progressive rollout of a version). Progress never decreases:
// merging keeps the fact that is further on, and of two equal ones the earlier.
struct move_fact {
    move_id id_;
    service_name service_;
    version_name version_;
    std::uint32_t stage_ = 0; // 0 for the start share, then one for each later share
    bool done_ = false;
    bool withdrawn_ = false; // wins over every stage and over done
    std::string reason_;
    std::uint64_t since_ = 0; // microseconds since 1970, of the last change
    std::uint64_t began_ = 0; // microseconds since 1970, of the first judgement; the earliest known

    friend bool operator==(const move_fact&, const move_fact&) = default;
};

// Joins two facts of one move: commutative, associative, idempotent.
move_fact merge(const move_fact& a, const move_fact& b);

// Share (0 to 1) of a service's calls that the new version of a move gets.
double share_of(const move_rule& rule, const move_fact& fact);

// True while a short move's new version is tried under load: half of its backend
// servers get its whole share.
bool on_trial(const move_rule& rule, const move_fact& fact);

// Number of stages of a move; at the last one the version is watched before the move is done.
std::uint32_t stage_count(const move_rule& rule, const move_fact& fact);

// A data centre whose 'out' rule was removed, and when this daemon learned of it.
struct returning_data_center {
    data_center_name data_center_;
    time_point since_;

    friend bool operator==(const returning_data_center&, const returning_data_center&) = default;
};

struct view {
    configuration_ptr configuration_; // null until one is known
    std::vector<member> members_;     // sorted by name
    std::vector<move_fact> moves_;
    std::vector<returning_data_center> returning_;
    // Versions whose move was withdrawn, or replaced by a move to another version.
    std::set<std::pair<service_name, version_name>> abandoned_versions_;
    // Rules of services that are no longer in the configuration, while instances of them are known.
    std::vector<service_rule> removed_services_;

    // The rule of a service, or its last one if the configuration has removed it; null if none is known.
    const service_rule* find_service(const service_name& name) const;
    const move_fact* find_move(move_id id) const;
    // Null if no such daemon is known.
    const member* find_member(const daemon_name& name) const;
    // True if the daemon is known to be dead or to have left.
    bool gone(const daemon_name& name) const;
};
using view_ptr = std::shared_ptr<const view>;

} // namespace guavahaven::decide
