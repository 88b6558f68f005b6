#pragma once

// Reads settings files (INI format, parsed by inih). The caller asks for each key that
// it knows; every bad, missing or unknown key is reported with its line.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace guavahaven {

// The keys and values of a settings file. Keys are written "section.key".
class settings_file {
public:
    // Reads a file; settings_unreadable if it can't be opened or parsed.
    static result<settings_file> read(const std::string& path);

    // Parses text; the path is only used in messages.
    static result<settings_file> parse(const std::string& path, const std::string& text);

    // The value of a key, or the fallback if the key is missing. An error is recorded
    // if it is missing without a fallback, or the value is malformed or out of range;
    // then the fallback is returned, or zero or "" without one.
    std::string text(const std::string& key, std::optional<std::string> fallback = {});
    std::uint64_t integer(const std::string& key, std::optional<std::uint64_t> fallback, std::uint64_t min,
                          std::uint64_t max);
    // An empty value counts as a missing key.
    double number(const std::string& key, double fallback, double min, double max);
    duration milliseconds(const std::string& key, std::uint64_t fallback, std::uint64_t min,
                          std::uint64_t max);

    // To be called last: all errors, including one for each key in the file that was
    // not asked for.
    std::vector<error> finish();

private:
    struct setting {
        std::string value_;
        int line_ = 0;
        bool used_ = false;
    };

    setting* find(const std::string& key);
    void fail(code c, int line, const std::string& key, const std::string& message);

    std::string path_;
    std::map<std::string, setting> settings_; // "section.key"
    std::vector<error> errors_;
};

} // namespace guavahaven
