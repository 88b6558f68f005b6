#pragma once

// The rules file: one rule a line, each followed by '# who asked: why'. The
// text is parsed and checked as a whole, or refused with every fault named.

#include <string>
#include <variant>
#include <vector>

#include "base/result.h"
#include "decide/configuration.h"

namespace guavahaven::operators {

// A fault in a rules file.
struct rules_fault {
    int line_ = 0;   // from 1; 0 for the file as a whole
    int column_ = 0; // from 1; 0 for the line as a whole
    error error_;

    friend bool operator==(const rules_fault&, const rules_fault&) = default;
};

// "FILE:LINE:COLUMN: E110 rules_syntax: detail (remedy)"
std::string to_string(const std::string& file, const rules_fault& fault);

// Bytes of a rules file at most; less than a platform object may hold.
inline constexpr std::size_t rules_most = 512 * 1024;

using parsed_rules = std::variant<decide::configuration, std::vector<rules_fault>>;

// Parses a text into a configuration with number 0.
parsed_rules parse_rules(const std::string& text);

// Parses a record as the platform and the daemons pass it on.
result<decide::configuration> parse_record(const decide::configuration_record& record);

} // namespace guavahaven::operators
