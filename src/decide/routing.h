#pragma once

// Which route a request takes: the most specific that matches.

#include "base/http.h"
#include "decide/configuration.h"

namespace guavahaven::decide {

// True if every part of the route matches the request.
bool matches(const route_rule& route, const http::request& request);

// True if a is preferred over b when both match: exact path before prefix,
// then the longer path, then one with a header, then one with a method.
bool more_specific(const route_rule& a, const route_rule& b);

// The route of a request; null if none matches.
const route_rule* find_route(const configuration& c, const http::request& request);

// True for methods that HTTP defines as idempotent and safe to send again.
bool idempotent(const std::string& method);

} // namespace guavahaven::decide
