#pragma once

// Line differences between two rules texts.

#include <string>
#include <vector>

namespace guavahaven::operators {

struct changed_line {
    char sign_ = ' '; // '-' only in the old text, '+' only in the new one
    std::string text_;

    friend bool operator==(const changed_line&, const changed_line&) = default;
};

// The lines that differ, in the order of the texts (longest common subsequence).
std::vector<changed_line> difference(const std::string& before, const std::string& after);

} // namespace guavahaven::operators
