#pragma once

// Names and numbers that all parts share.

#include "base/hash.h"
#include "base/strong.h"

namespace guavahaven {

using service_name = strong_name<struct service_tag>;
using version_name = strong_name<struct version_tag>;
using class_name = strong_name<struct class_tag>;
using data_center_name = strong_name<struct data_center_tag>;

// A daemon, named by its peer address "IP:PORT"; it stands for the backend
// server beside it too. A replaced daemon may take the same address.
using daemon_name = strong_name<struct daemon_tag>;

// Grows with each start of a daemon at an address: microseconds since 1970.
using incarnation = strong_number<struct incarnation_tag>;

// Number of a configuration; each accepted one is one above the last.
using configuration_number = strong_number<struct configuration_number_tag>;

// XXH3 of a configuration's text.
using content_hash = strong_number<struct content_hash_tag>;

// Identity of a move rule: a hash of its service, version and deadline. Facts
// and evidence of another move never match it.
using move_id = strong_number<struct move_tag>;

// Rank of a candidate for a key; the highest wins (rendezvous hashing).
inline std::uint64_t rendezvous_rank(std::string_view key, const daemon_name& candidate)
{
    return hash(candidate.str(), hash(key));
}

} // namespace guavahaven
