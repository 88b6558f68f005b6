#pragma once

// Route matching: the most specific route rule that matches a request.

#include "base/http.h"
#include "decide/configuration.h"

namespace guavahaven::decide {

// True if every part of the route matches the request.
bool matches(const route_rule& route, const http::request& request);

// True if a is preferred over b when both match: one with a host first, then exact path
// before prefix, the longer path, one with a header, one with a method.
bool more_specific(const route_rule& a, const route_rule& b);

// The route of a request; null if none matches.
const route_rule* find_route(const configuration& c, const http::request& request);

// True for methods that HTTP defines as idempotent, so that a request may be sent again.
bool idempotent(const std::string& method);

} // namespace guavahaven::decide
