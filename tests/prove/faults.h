#pragma once

// Faults that the proofs cause in a running deployment, and their healing.

#include <string>
#include <vector>

#include "base/random.h"
#include "support/mesh.h"

namespace guavahaven::prove {

enum class fault_kind {
    kill,             // a daemon is killed, and started again when healed
    freeze,           // a daemon is stopped by SIGSTOP
    cut,              // connections to a daemon close, new ones are refused
    silence,          // open connections to a daemon deliver nothing any more
    drop_answers,     // what a daemon answers to others is lost after the effect
    delay,            // bytes to and from a daemon come later
    platform_outage,  // the platform answers nothing
    platform_slow,    // the platform answers late
    platform_forgets, // answers of the platform are lost after the write took effect
};

std::string_view name(fault_kind kind);

// Faults of a request's path, and those of the platform too.
std::vector<fault_kind> path_faults();
std::vector<fault_kind> all_faults();

// Two different faults, each at a node of its own choice.
struct placed_fault {
    fault_kind kind_ = fault_kind::kill;
    std::size_t node_ = 0;

    friend bool operator==(const placed_fault&, const placed_fault&) = default;
};
std::vector<placed_fault> draw_pair(random_engine& random, const std::vector<fault_kind>& from,
                                    std::size_t nodes);

std::string to_string(const std::vector<placed_fault>& faults);

void begin(support::mesh& mesh, const placed_fault& fault);
void heal(support::mesh& mesh, const placed_fault& fault);

} // namespace guavahaven::prove
