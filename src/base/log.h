#pragma once

// Structured log lines through log4cxx. Counters carry what happens often;
// a line is written only when some state changes.

#include <string>

namespace guavahaven {

// Writes to standard output, never waiting for its reader, each line with UTC time, level and source.
// level is one of error, warn, info, debug.
void start_logging(const std::string& level);

// event is a short fixed name; detail is 'key=value key=value'.
void log_info(const std::string& source, const std::string& event, const std::string& detail = "");
void log_warning(const std::string& source, const std::string& event, const std::string& detail = "");

} // namespace guavahaven
