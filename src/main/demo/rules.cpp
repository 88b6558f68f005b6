#include "main/demo/rules.h"

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

} // namespace guavahaven::demo
