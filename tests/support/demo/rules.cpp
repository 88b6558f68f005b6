#include "support/demo/rules.h"

#include <ctime>
#include <sstream>

namespace guavahaven::demo {

std::string adapted_rules(const std::string& example)
{
    std::string rules;
    std::istringstream lines(example);
    for (std::string line; std::getline(lines, line);) {
        const bool elsewhere = line.find("payroll-ledger") != std::string::npos ||
                               line.find("certification-registry") != std::string::npos;
        if (!elsewhere)
            rules += line + "\n";
    }
    return with_line(rules, "route GET /payroll/* to placement-desk as background # payroll: checks");
}

std::string with_line(const std::string& rules, const std::string& line)
{
    return rules + line + "\n";
}

std::string utc_in(int seconds)
{
    const std::time_t at = std::time(nullptr) + seconds;
    std::tm fields{};
    gmtime_r(&at, &fields);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &fields);
    return {text, length};
}

} // namespace guavahaven::demo
