#pragma once

// A text as a change of another one, by whole lines: what configurations are
// sent as between daemons that hold the one before.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavahaven::decide {

// A run of lines of the base text, and new text after it.
struct text_part {
    std::uint32_t first_ = 0; // line of the base, from 0
    std::uint32_t count_ = 0;
    std::string inserted_;

    friend bool operator==(const text_part&, const text_part&) = default;
};

// Parts that make 'after' out of 'base'.
std::vector<text_part> make_delta(const std::string& base, const std::string& after);

// The text that the parts make; none if they name lines that the base lacks.
std::optional<std::string> apply_delta(const std::string& base, const std::vector<text_part>& parts);

// Bytes that the parts take on the wire, roughly.
std::size_t delta_size(const std::vector<text_part>& parts);

} // namespace guavahaven::decide
