#include "operator/trace.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace guavahaven::operators {

namespace {

// The value of a field 'key=value'; empty if the line has none.
std::string field(const std::string& line, const std::string& key)
{
    const std::string start = " " + key + "=";
    const std::size_t at = line.find(start);
    if (at == std::string::npos)
        return {};
    const std::size_t value = at + start.size();
    return line.substr(value, line.find(' ', value) - value);
}

// A line is 'time level source event=...', after whatever a collector put before it.
std::string time_of(const std::string& line)
{
    std::istringstream words(line.substr(0, line.find(" event=")));
    std::vector<std::string> before;
    for (std::string word; words >> word;)
        before.push_back(word);
    constexpr std::size_t words_from_time = 3;
    return before.size() < words_from_time ? "" : before[before.size() - words_from_time];
}

} // namespace

std::vector<log_line> trace(const std::string& request, const std::vector<log_line>& lines)
{
    std::set<std::string> attempts;
    for (const log_line& l : lines)
        if (field(l.text_, "id") == request)
            attempts.insert(field(l.text_, "call"));
    attempts.erase("");
    std::vector<log_line> story;
    for (const log_line& l : lines)
        if (field(l.text_, "id") == request || attempts.contains(field(l.text_, "call")))
            story.push_back(l);
    std::stable_sort(story.begin(), story.end(), [](const log_line& a, const log_line& b) {
        return time_of(a.text_) < time_of(b.text_);
    });
    return story;
}

} // namespace guavahaven::operators
