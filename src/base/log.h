#pragma once

// Structured log lines through log4cxx: one for each change of the process's state
// or of what it knows of others, and one for each decision on a request, at a
// limited rate (base/rate_limited_log.h).

#include <string>

namespace guavahaven {

// Writes to standard output, each line with UTC time, level and source. Writing
// never blocks: a line that the pipe has no room for is dropped, and the next line
// carries the number of dropped ones. level is one of error, warn, info, debug.
void start_logging(const std::string& level);

// event is a short fixed name; detail is 'key=value key=value'.
void log_info(const std::string& source, const std::string& event, const std::string& detail = "");
void log_warning(const std::string& source, const std::string& event, const std::string& detail = "");

} // namespace guavahaven
