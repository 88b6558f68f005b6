#include "platform/store.h"

#include <charconv>

namespace guavahaven::platform {

namespace {

constexpr duration call_timeout = std::chrono::seconds(2);
constexpr duration watch_slack = std::chrono::seconds(2); // beyond the wait that was asked for
constexpr std::size_t connections_most = 2;

std::string target(const std::string& kind, const std::string& name)
{
    return "/objects/" + kind + "/" + name;
}

std::uint64_t version_of(const http::response& r)
{
    const std::string text = http::find_header(r.headers_, "Version");
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

// The error that a response stands for; ok for 200.
error problem(const http::response& r, const std::string& what)
{
    switch (r.status_) {
    case 200:
        return version_of(r) > 0 ? error{} : error{code::platform_malformed, what + ": no version"};
    case 304:
    case 404:
        return {code::platform_not_found, what};
    case 409:
        return {code::platform_conflict, what};
    case 429:
    case 503:
        return {code::platform_refused, what};
    default:
        return {code::platform_malformed, what + ": status " + std::to_string(r.status_)};
    }
}

template <class T, class Make>
http::response_handler translate(std::string what, std::function<void(result<T>)> handler, Make make)
{
    return [=](const result<http::response>& r) {
        if (!ok(r))
            return handler(failure(r));
        const error found = problem(value(r), what);
        if (found.code_ != code::ok)
            return handler(found);
        handler(make(value(r)));
    };
}

object to_object(const http::response& r)
{
    return {version_of(r), r.body_};
}

} // namespace

store::store(event_loop& loop, http::address platform)
    : calls_(loop, platform, connections_most, {code::platform_unreachable, http::to_string(platform)}),
      watches_(loop, platform, connections_most, {code::platform_unreachable, http::to_string(platform)})
{
}

void store::get(const std::string& kind, const std::string& name, std::function<void(result<object>)> handler)
{
    const std::string at = target(kind, name);
    calls_.send({"GET", at, {}, ""}, call_timeout, translate<object>(at, std::move(handler), to_object));
}

void store::watch(const std::string& kind, const std::string& name, std::uint64_t above, duration wait,
                  std::function<void(result<object>)> handler)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    const std::string at = target(kind, name) + "?after=" + std::to_string(above) +
                           "&wait=" + std::to_string(milliseconds.count());
    watches_.send({"GET", at, {}, ""}, wait + watch_slack,
                  translate<object>(at, std::move(handler), to_object));
}

void store::put(const std::string& kind, const std::string& name, const std::string& bytes,
                std::uint64_t expected, std::function<void(result<std::uint64_t>)> handler)
{
    const std::string at = target(kind, name);
    http::request r{"PUT", at, {{"If-Version", std::to_string(expected)}}, bytes};
    calls_.send(std::move(r), call_timeout, translate<std::uint64_t>(at, std::move(handler), version_of));
}

} // namespace guavahaven::platform
