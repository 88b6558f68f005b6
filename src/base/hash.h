#pragma once

// 64-bit hash of a text (XXH3), for rendezvous hashing and for comparing contents.

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace guavahaven {

inline std::uint64_t hash(std::string_view text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace guavahaven
