#pragma once

// The rules file of the demo: examples/bajio.rules, cut down to the services
// that are started here.

#include <string>

namespace guavahaven::demo {

// Lines of services that are not started are left out; payroll's checks go to
// the placement desk.
std::string adapted_rules(const std::string& example);

// The text with a further line.
std::string with_line(const std::string& rules, const std::string& line);

} // namespace guavahaven::demo
