#include "decide/routing.h"

#include <tuple>

namespace guavahaven::decide {

namespace {

bool path_matches(const route_rule& route, const std::string& path)
{
    return route.prefix_ ? path.starts_with(route.path_) : path == route.path_;
}

auto specificity(const route_rule& r)
{
    return std::tuple(!r.host_.empty(), !r.prefix_, r.path_.size(), r.header_.has_value(), r.method_ != "*");
}

} // namespace

bool matches(const route_rule& route, const http::request& request)
{
    if (route.method_ != "*" && route.method_ != request.method_)
        return false;
    if (!route.host_.empty() &&
        !http::equals_ignore_case(route.host_, http::find_header(request.headers_, "Host")))
        return false;
    if (!path_matches(route, http::path_of(request.target_)))
        return false;
    return !route.header_ ||
           http::find_header(request.headers_, route.header_->name_) == route.header_->value_;
}

bool more_specific(const route_rule& a, const route_rule& b)
{
    return specificity(a) > specificity(b);
}

const route_rule* find_route(const configuration& c, const http::request& request)
{
    const route_rule* best = nullptr;
    for (const route_rule& r : c.routes_)
        if (matches(r, request) && (!best || more_specific(r, *best)))
            best = &r;
    return best;
}

bool idempotent(const std::string& method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT" ||
           method == "DELETE";
}

} // namespace guavahaven::decide
