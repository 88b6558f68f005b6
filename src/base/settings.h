#pragma once

// Settings files (INI, read by inih). A reader declares the keys that it
// knows; every bad, missing or unknown key is reported with its line.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace guavahaven {

// Raw contents of a settings file.
class settings_file {
public:
    // Reads a file; settings_unreadable if it can't be opened or parsed.
    static result<settings_file> read(const std::string& path);

    // Parses text; path only names it in messages.
    static result<settings_file> parse(const std::string& path, const std::string& text);

    // Typed access. A missing key yields the default; with no default, or for a
    // value of the wrong kind, an error is kept and a zero value returned.
    std::string text(const std::string& key, std::optional<std::string> fallback = {});
    std::uint64_t integer(const std::string& key, std::optional<std::uint64_t> fallback, std::uint64_t least,
                          std::uint64_t most);
    // The fallback also stands for an empty value.
    double number(const std::string& key, double fallback, double least, double most);
    duration milliseconds(const std::string& key, std::uint64_t fallback, std::uint64_t least,
                          std::uint64_t most);

    // Keys that are in the file, yet were not asked for, are errors as well.
    // Call last; returns every error found.
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
