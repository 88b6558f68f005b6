#pragma once

// One line of a rules file: its words, and a reader that takes them in order.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace guavahaven::operators::detail {

struct word {
    std::string text_;
    int column_ = 0; // from 1
};

// A line that can't be understood, with the column of the offending word.
struct syntax_error {
    int column_ = 0;
    error error_;
};

std::vector<word> split_words(const std::string& line);
// Without blanks at both ends.
std::string trimmed(const std::string& text);

// Reads the words of one line in order. The first fault is kept; later reads
// then yield defaults, and the caller asks failed() once at the end.
class line_reader {
public:
    explicit line_reader(std::vector<word> words) : words_(std::move(words)) {}

    bool done() const { return at_ >= words_.size() || fault_; }
    const std::optional<syntax_error>& failed() const { return fault_; }

    void fail(code c, const std::string& detail);
    std::string next(const std::string& what);
    bool accept(const std::string& keyword);
    void expect(const std::string& keyword);
    std::string name(const std::string& what);
    // "400ms", "2s", "10m", "1h"
    duration wait(const std::string& what);
    // "10%" as 0.1
    double share(const std::string& what);
    std::uint64_t count(const std::string& what, std::uint64_t least, std::uint64_t most);
    // "2026-12-05T18:00Z", with or without seconds
    wall_time moment(const std::string& what);
    // Faults the word read last.
    void reject(const std::string& detail);

private:
    std::vector<word> words_;
    std::size_t at_ = 0;
    std::optional<syntax_error> fault_;
};

} // namespace guavahaven::operators::detail
