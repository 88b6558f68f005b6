#include "base/settings.h"

#include <ini.h>

#include <charconv>
#include <fstream>
#include <sstream>

namespace guavahaven {

namespace {

// Passes the text to inih line by line, so that on_key() knows the current line number.
struct line_source {
    std::istringstream text_;
    int line_ = 0;
    int too_long_ = 0; // number of the first line that doesn't fit inih's buffer; 0: none
    std::vector<std::pair<std::string, std::pair<std::string, int>>> found_;
};

char* read_line(char* buffer, int size, void* stream)
{
    auto& source = *static_cast<line_source*>(stream);
    std::string line;
    if (!std::getline(source.text_, line))
        return nullptr;
    ++source.line_;
    const std::size_t max = static_cast<std::size_t>(size) - 2;
    if (line.size() > max && source.too_long_ == 0)
        source.too_long_ = source.line_;
    line.resize(std::min(line.size(), max));
    line += '\n';
    line.copy(buffer, line.size());
    buffer[line.size()] = '\0';
    return buffer;
}

int on_key(void* user, const char* section, const char* key, const char* value)
{
    auto& source = *static_cast<line_source*>(user);
    source.found_.push_back({std::string(section) + "." + key, {value, source.line_}});
    return 1;
}

std::optional<std::uint64_t> to_integer(const std::string& text)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, number);
    if (failed != std::errc() || stop != end)
        return {};
    return number;
}

} // namespace

result<settings_file> settings_file::read(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return error{code::settings_unreadable, path};
    std::ostringstream text;
    text << file.rdbuf();
    return parse(path, text.str());
}

result<settings_file> settings_file::parse(const std::string& path, const std::string& text)
{
    line_source source{std::istringstream(text), 0, 0, {}};
    const int bad_line = ini_parse_stream(read_line, &source, on_key, &source);
    if (source.too_long_ != 0)
        return error{code::settings_unreadable,
                     path + ":" + std::to_string(source.too_long_) + ": the line is too long"};
    if (bad_line != 0)
        return error{code::settings_unreadable,
                     path + ":" + std::to_string(bad_line) + ": not a 'key = value' line"};

    settings_file file;
    file.path_ = path;
    for (auto& [key, found] : source.found_) {
        const auto [at, inserted] = file.settings_.insert({key, {found.first, found.second, false}});
        if (!inserted)
            file.fail(code::settings_bad_value, found.second, key,
                      "also given in line " + std::to_string(at->second.line_));
    }
    return file;
}

settings_file::setting* settings_file::find(const std::string& key)
{
    const auto at = settings_.find(key);
    if (at == settings_.end())
        return nullptr;
    at->second.used_ = true;
    return &at->second;
}

void settings_file::fail(code c, int line, const std::string& key, const std::string& message)
{
    const std::string place = line > 0 ? path_ + ":" + std::to_string(line) : path_;
    std::string detail = place + ": " + key;
    if (!message.empty())
        detail += ": " + message;
    errors_.push_back({c, detail});
}

std::string settings_file::text(const std::string& key, std::optional<std::string> fallback)
{
    if (const setting* s = find(key))
        return s->value_;
    if (!fallback)
        fail(code::settings_missing_key, 0, key, "");
    return fallback.value_or("");
}

std::uint64_t settings_file::integer(const std::string& key, std::optional<std::uint64_t> fallback,
                                     std::uint64_t min, std::uint64_t max)
{
    const setting* s = find(key);
    if (!s) {
        if (!fallback)
            fail(code::settings_missing_key, 0, key, "");
        return fallback.value_or(0);
    }
    const auto number = to_integer(s->value_);
    if (number && *number >= min && *number <= max)
        return *number;
    fail(code::settings_bad_value, s->line_, key,
         "expected a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return fallback.value_or(0);
}

double settings_file::number(const std::string& key, double fallback, double min, double max)
{
    const setting* s = find(key);
    if (!s || s->value_.empty())
        return fallback;
    double read = 0;
    const char* end = s->value_.data() + s->value_.size();
    const auto [stopped, fault] = std::from_chars(s->value_.data(), end, read);
    if (fault == std::errc() && stopped == end && read >= min && read <= max)
        return read;
    std::ostringstream range;
    range << "expected a number from " << min << " to " << max;
    fail(code::settings_bad_value, s->line_, key, range.str());
    return fallback;
}

duration settings_file::milliseconds(const std::string& key, std::uint64_t fallback, std::uint64_t min,
                                     std::uint64_t max)
{
    return std::chrono::milliseconds(integer(key, fallback, min, max));
}

std::vector<error> settings_file::finish()
{
    for (const auto& [key, s] : settings_)
        if (!s.used_)
            fail(code::settings_unknown_key, s.line_, key, "");
    return errors_;
}

} // namespace guavahaven
