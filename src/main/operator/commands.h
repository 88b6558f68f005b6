#pragma once

// The commands of guavahaven; each returns the exit status of the process.

#include "main/operator/command.h"

namespace guavahaven::commands {

// On a rules file: rules.cpp.
int check(const arguments& args);
int diff(const arguments& args);
int apply(const arguments& args);

// On what daemons say: reports.cpp.
int status(const arguments& args);
int write_report(const arguments& args);

// On one request, and on the past: inquiries.cpp.
int explain(const arguments& args);
int history(const arguments& args);
int trace(const arguments& args);

} // namespace guavahaven::commands
