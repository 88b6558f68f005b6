#include "operator/text_diff.h"

#include <algorithm>
#include <sstream>

namespace guavahaven::operators {

namespace {

std::vector<std::string> split_lines(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

} // namespace

std::vector<changed_line> difference(const std::string& before, const std::string& after)
{
    const std::vector<std::string> a = split_lines(before);
    const std::vector<std::string> b = split_lines(after);
    // common[i][j]: length of the longest common subsequence of a[i..] and b[j..]
    std::vector<std::vector<std::uint32_t>> common(a.size() + 1, std::vector<std::uint32_t>(b.size() + 1, 0));
    for (std::size_t i = a.size(); i-- > 0;)
        for (std::size_t j = b.size(); j-- > 0;)
            common[i][j] =
                a[i] == b[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);

    std::vector<changed_line> changes;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        }
        else if (j == b.size() || (i < a.size() && common[i + 1][j] >= common[i][j + 1]))
            changes.push_back({'-', a[i++]});
        else
            changes.push_back({'+', b[j++]});
    }
    return changes;
}

} // namespace guavahaven::operators
