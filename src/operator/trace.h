#pragma once

// The story of one request, out of the log lines of several daemons: the lines
// that name it, and those that name one of its attempts.

#include <string>
#include <vector>

namespace guavahaven::operators {

struct log_line {
    std::string source_; // the log that it stands in
    std::string text_;

    friend bool operator==(const log_line&, const log_line&) = default;
};

// In the order of their times; empty if no line names the request.
std::vector<log_line> trace(const std::string& request, const std::vector<log_line>& lines);

} // namespace guavahaven::operators
