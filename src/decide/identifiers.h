#pragma once

// Strongly typed names and numbers used by all parts.

#include "base/hash.h"
#include "base/strong.h"

namespace guavahaven {

using service_name = strong_name<struct service_tag>;
using version_name = strong_name<struct version_tag>;
using class_name = strong_name<struct class_tag>;
using data_center_name = strong_name<struct data_center_tag>;

// A daemon, named by its peer address "IP:PORT"; also names the backend server beside it.
// A daemon that replaces another may have the same name.
using daemon_name = strong_name<struct daemon_tag>;

// Start time of a daemon process in microseconds since 1970; tells restarts at one
// address apart.
using incarnation = strong_number<struct incarnation_tag>;

// Version number of a configuration; each accepted one is one above the last.
using configuration_number = strong_number<struct configuration_number_tag>;

// XXH3 of a configuration's text.
using content_hash = strong_number<struct content_hash_tag>;

// Identity of a move (progressive rollout): a hash of its service, its version and its
// name, or its deadline if it has no name. Facts and statistics of another move never
// match it.
using move_id = strong_number<struct move_tag>;

// Rendezvous hashing: the candidate with the highest rank is chosen for the key.
inline std::uint64_t rendezvous_rank(std::string_view key, const daemon_name& candidate)
{
    return hash(candidate.str(), hash(key));
}

} // namespace guavahaven
