#pragma once

// Which rules decide for a request, and who asked for them.

#include <string>

#include "base/http.h"
#include "decide/configuration.h"

namespace guavahaven::operators {

// Lines of text, with every default that is in force; no_route if none matches.
result<std::string> explain(const decide::configuration& c, const http::request& request);

} // namespace guavahaven::operators
