#pragma once

// Rules of small tests: one class of requests, one service.

#include <string>

namespace guavahaven::support {

// Look-ups at the shift board, which wait that long.
inline std::string lookup_rules(const std::string& deadline)
{
    return "class lookup deadline " + deadline + " # office\n" +
           "service board version v1 # office\n"
           "route GET /shifts/* to board as lookup # office\n";
}

// Confirmations at the placement desk, which run at most once.
inline std::string confirmation_rules()
{
    return "class confirm deadline 2s once # supervisors\n"
           "service desk version v1 # supervisors\n"
           "route POST /placements/* to desk as confirm # supervisors\n";
}

} // namespace guavahaven::support
