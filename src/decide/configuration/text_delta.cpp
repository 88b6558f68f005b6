#include "decide/configuration/text_delta.h"

#include <string_view>
#include <unordered_map>

namespace guavahaven::decide {

namespace {

constexpr std::size_t part_overhead_bytes = 12; // of a part on the wire, without its inserted text

// Splits a text into lines that keep their line ends, so that joining them yields the text again.
std::vector<std::string_view> lines_of(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::size_t length = end == std::string_view::npos ? text.size() : end + 1;
        lines.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return lines;
}

} // namespace

std::vector<text_part> make_delta(const std::string& base, const std::string& after)
{
    const std::vector<std::string_view> old_lines = lines_of(base);
    const std::vector<std::string_view> new_lines = lines_of(after);
    std::unordered_map<std::string_view, std::uint32_t> line_at;
    for (std::uint32_t i = 0; i < old_lines.size(); ++i)
        line_at.emplace(old_lines[i], i);

    std::vector<text_part> parts;
    for (const std::string_view line : new_lines) {
        if (!parts.empty() && parts.back().inserted_.empty()) {
            text_part& last = parts.back();
            const std::uint32_t next = last.first_ + last.count_;
            if (next < old_lines.size() && old_lines[next] == line) {
                ++last.count_;
                continue;
            }
        }
        const auto known = line_at.find(line);
        if (known != line_at.end()) {
            parts.push_back({known->second, 1, ""});
            continue;
        }
        if (parts.empty())
            parts.emplace_back();
        parts.back().inserted_ += line;
    }
    return parts;
}

std::optional<std::string> apply_delta(const std::string& base, const std::vector<text_part>& parts)
{
    const std::vector<std::string_view> lines = lines_of(base);
    std::string text;
    for (const text_part& part : parts) {
        if (part.first_ > lines.size() || part.count_ > lines.size() - part.first_)
            return {};
        for (std::uint32_t i = 0; i < part.count_; ++i)
            text += lines[part.first_ + i];
        text += part.inserted_;
    }
    return text;
}

std::size_t delta_size(const std::vector<text_part>& parts)
{
    std::size_t size = 0;
    for (const text_part& part : parts)
        size += part_overhead_bytes + part.inserted_.size();
    return size;
}

} // namespace guavahaven::decide
