#pragma once

// Structured log lines through log4cxx: one for each change of what the process
// believes, and, at a bounded pace (base/paced_log.h), one for each decision on a request.

#include <string>

namespace guavahaven {

// Writes to standard output, each line with UTC time, level and source. Never
// waits for its reader: a line that the pipe doesn't take is left out and counted.
// level is one of error, warn, info, debug.
void start_logging(const std::string& level);

// event is a short fixed name; detail is 'key=value key=value'.
void log_info(const std::string& source, const std::string& event, const std::string& detail = "");
void log_warning(const std::string& source, const std::string& event, const std::string& detail = "");

} // namespace guavahaven
