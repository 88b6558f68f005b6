#pragma once

// Bounds how many calls an entry sends to the new version of a move before the move is done, as a count over
// the whole move: a share bounds only what is expected, and a busy second or many retries exceed it.

#include <cstddef>
#include <cstdint>

#include "decide/view.h"

namespace guavahaven::decide {

class exposure_limit {
public:
    // rounding: random, 0 to 1. The entries' parts are fractions of a call; each entry rounds up or down at
    // random, so that the sum over many entries is right.
    explicit exposure_limit(double rounding = 0) : rounding_(rounding) {}

    // A call was sent to the new version.
    void record_new() { ++new_; }
    // A call to either version has reached a backend server.
    void record_reached() { ++reached_; }
    // True if one more call may go to the new version. entries: how many share the move's reserve.
    bool allows(const move_rule& rule, const move_fact& fact, std::size_t entries) const;

private:
    double rounding_;
    std::uint64_t new_ = 0;
    std::uint64_t reached_ = 0;
};

} // namespace guavahaven::decide
