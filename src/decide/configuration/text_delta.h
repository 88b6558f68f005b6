#pragma once

// Line-based deltas between two texts. A daemon sends a new configuration as a delta to one that holds the
// previous configuration.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavahaven::decide {

// Lines to copy from the base text, followed by new text.
struct text_part {
    std::uint32_t first_ = 0; // first line to copy, counted from 0
    std::uint32_t count_ = 0; // number of lines to copy
    std::string inserted_;

    friend bool operator==(const text_part&, const text_part&) = default;
};

// Returns parts that turn 'base' into 'after'.
std::vector<text_part> make_delta(const std::string& base, const std::string& after);

// Returns the text that the parts make of 'base'; none if they refer to lines that it does not have.
std::optional<std::string> apply_delta(const std::string& base, const std::vector<text_part>& parts);

// Approximate size of the parts on the wire, in bytes.
std::size_t delta_size(const std::vector<text_part>& parts);

} // namespace guavahaven::decide
