#include "object_store/store.h"

#include <charconv>

namespace guavahaven::object_store {

namespace {

constexpr duration call_timeout = std::chrono::seconds(2);
constexpr duration watch_slack = std::chrono::seconds(2); // beyond the wait that was asked for
constexpr std::size_t connections_most = 2;
constexpr std::size_t watches_most = 4;

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

// The error that a response stands for; ok for 2xx.
error problem(const http::response& r, const std::string& what)
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
        const error found = problem(value(r), what);
        if (found.code_ != code::ok)
            return handler(found);
        handler(value(r));
    };
}

http::response_handler decoded(const dialect& d, std::function<void(result<object>)> handler)
{
    return [read = d.read_, handler = std::move(handler)](const result<http::response>& r) {
        handler(ok(r) ? read(value(r)) : failure(r));
    };
}

} // namespace

dialect own_dialect()
{
    dialect d;
    d.get_ = [](const std::string& kind, const std::string& name, freshness) {
        return http::request{"GET", target(kind, name), {}, ""};
    };
    d.put_ = [](const std::string& kind, const std::string& name, const std::string& bytes,
                std::uint64_t expected) {
        return http::request{"PUT", target(kind, name), {{"If-Version", std::to_string(expected)}}, bytes};
    };
    d.read_ = [](const http::response& r) -> result<object> {
        if (version_of(r) == 0)
            return error{code::platform_malformed, "no version"};
        return object{version_of(r), r.body_};
    };
    return d;
}

store::store(event_loop& loop, http::address platform, dialect d)
    : dialect_(std::move(d)),
      calls_(loop, platform, connections_most, {code::platform_unreachable, http::to_string(platform)}),
      watches_(loop, platform, watches_most, {code::platform_unreachable, http::to_string(platform)})
{
}

void store::get(const std::string& kind, const std::string& name, std::function<void(result<object>)> handler,
                freshness wanted)
{
    call(dialect_.get_(kind, name, wanted), decoded(dialect_, std::move(handler)));
}

void store::watch(const std::string& kind, const std::string& name, std::uint64_t above, duration wait,
                  std::function<void(result<object>)> handler)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    http::request r = dialect_.get_(kind, name, freshness::latest);
    r.target_ += "?after=" + std::to_string(above) + "&wait=" + std::to_string(milliseconds.count());
    call_waiting(std::move(r), wait, decoded(dialect_, std::move(handler)));
}

void store::put(const std::string& kind, const std::string& name, const std::string& bytes,
                std::uint64_t expected, std::function<void(result<std::uint64_t>)> handler)
{
    call(dialect_.put_(kind, name, bytes, expected),
         decoded(dialect_, [handler = std::move(handler)](const result<object>& written) {
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
    watches_.send(std::move(r), wait + watch_slack, checked(what, std::move(handler)));
}

} // namespace guavahaven::object_store
