#pragma once

// Random numbers. There is no global generator: each owner seeds its own, so that
// the same seed gives the same decisions again.

#include <cstdint>
#include <random>

namespace guavahaven {

using random_engine = std::mt19937_64;

// Uniform index in [0, count); count must be above zero.
inline std::size_t random_index(random_engine& engine, std::size_t count)
{
    return static_cast<std::size_t>(engine() % count);
}

// Uniform fraction in [0, 1).
inline double random_share(random_engine& engine)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine);
}

} // namespace guavahaven
