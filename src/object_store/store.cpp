#include "object_store/store.h"

#include <charconv>

namespace guavahaven::object_store {

namespace {

constexpr duration call_timeout = std::chrono::seconds(2);
constexpr duration watch_grace_time =
    std::chrono::seconds(1); // for the response, after the wait that was asked for
constexpr std::size_t max_connections = 2;
constexpr std::size_t max_watches = 4;

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

// The error that a status stands for; code::ok for 2xx.
error status_error(const http::response& r, const std::string& what)
{
    if (r.status_ >= 200 && r.status_ < 300)
        return {};
    switch (r.status_) {
    case 304:
    case 404:
        return {code::platform_not_found, what};
    case 409:
        return {code::platform_conflict, what};
    case 410:
        return {code::platform_history_gone, what};
    case 429:
    case 503:
        return {code::platform_refused, what + ": status " + std::to_string(r.status_)};
    default:
        return {code::platform_malformed, what + ": status " + std::to_string(r.status_)};
    }
}

http::response_handler checked(std::string what, http::response_handler handler)
{
    return [what = std::move(what), handler = std::move(handler)](const result<http::response>& r) {
        if (!ok(r))
            return handler(failure(r));
        const error status_problem = status_error(value(r), what);
        if (status_problem.code_ != code::ok)
            return handler(status_problem);
        handler(value(r));
    };
}

http::response_handler decoded(const wire_format& d, std::function<void(result<object>)> handler)
{
    return [parse = d.parse_, handler = std::move(handler)](const result<http::response>& r) {
        handler(ok(r) ? parse(value(r)) : failure(r));
    };
}

} // namespace

wire_format default_wire_format()
{
    wire_format d;
    d.get_request_ = [](const std::string& kind, const std::string& name, freshness) {
        return http::request{"GET", target(kind, name), {}, ""};
    };
    d.put_request_ = [](const std::string& kind, const std::string& name, const std::string& bytes,
                        std::uint64_t expected) {
        return http::request{"PUT", target(kind, name), {{"If-Version", std::to_string(expected)}}, bytes};
    };
    d.parse_ = [](const http::response& r) -> result<object> {
        if (version_of(r) == 0)
            return error{code::platform_malformed, "no version"};
        return object{version_of(r), r.body_};
    };
    return d;
}

store::store(event_loop& loop, http::address platform, wire_format d)
    : format_(std::move(d)),
      calls_(loop, platform, max_connections, {code::platform_unreachable, http::to_string(platform)}),
      waiting_calls_(loop, platform, max_watches, {code::platform_unreachable, http::to_string(platform)})
{
}

void store::get(const std::string& kind, const std::string& name, std::function<void(result<object>)> handler,
                freshness wanted)
{
    call(format_.get_request_(kind, name, wanted), decoded(format_, std::move(handler)));
}

void store::watch(const std::string& kind, const std::string& name, std::uint64_t above, duration wait,
                  std::function<void(result<object>)> handler)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    http::request r = format_.get_request_(kind, name, freshness::latest);
    r.target_ += "?after=" + std::to_string(above) + "&wait=" + std::to_string(milliseconds.count());
    call_waiting(std::move(r), wait, decoded(format_, std::move(handler)));
}

void store::put(const std::string& kind, const std::string& name, const std::string& bytes,
                std::uint64_t expected, std::function<void(result<std::uint64_t>)> handler)
{
    call(format_.put_request_(kind, name, bytes, expected),
         decoded(format_, [handler = std::move(handler)](const result<object>& written) {
             handler(ok(written) ? result<std::uint64_t>(value(written).version_) : failure(written));
         }));
}

void store::call(http::request r, http::response_handler handler)
{
    const std::string what = r.target_;
    calls_.send(std::move(r), call_timeout, checked(what, std::move(handler)));
}

void store::call_waiting(http::request r, duration wait, http::response_handler handler)
{
    const std::string what = r.target_;
    waiting_calls_.send(std::move(r), wait + watch_grace_time, checked(what, std::move(handler)));
}

} // namespace guavahaven::object_store
