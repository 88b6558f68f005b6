#pragma once

// A platform's object API: objects of a kind and name, each with a version;
// conditional updates; watches. Objects are opaque bytes here. How a call looks
// on the wire is the dialect's; the product's own is
//
//   GET /objects/KIND/NAME                  200 with header Version, or 404
//   GET /objects/KIND/NAME?after=V&wait=MS  the same once the version is above V; 304 if none came
//   PUT /objects/KIND/NAME                  with header If-Version: V (0: must not exist); 200 or 409

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/http.h"

namespace guavahaven::object_store {

struct object {
    std::uint64_t version_ = 0;
    std::string bytes_;

    friend bool operator==(const object&, const object&) = default;
};

// What a read may return.
enum class freshness : std::uint8_t {
    latest,
    may_be_old, // by seconds, where the platform offers that for less
};

// How calls and their responses look on the wire.
struct dialect {
    std::function<http::request(const std::string& kind, const std::string& name, freshness wanted)> get_;
    // For an object whose version is still 'expected' (0: that must not exist).
    std::function<http::request(const std::string& kind, const std::string& name, const std::string& bytes,
                                std::uint64_t expected)>
        put_;
    // Decodes a response of status 200; platform_malformed if it can't.
    std::function<result<object>(const http::response&)> read_;
};

dialect own_dialect();

// Errors: platform_unreachable (a write may have taken effect all the same),
// platform_not_found, platform_conflict, platform_refused, platform_malformed.
class store {
public:
    store(event_loop& loop, http::address platform, dialect d = own_dialect());

    void get(const std::string& kind, const std::string& name, std::function<void(result<object>)> handler,
             freshness wanted = freshness::latest);

    // Answers once the object's version is above one; platform_not_found if
    // none came within the wait.
    void watch(const std::string& kind, const std::string& name, std::uint64_t above, duration wait,
               std::function<void(result<object>)> handler);

    // Writes if the object's version is still the expected one (0: absent).
    // The handler gets the new version.
    void put(const std::string& kind, const std::string& name, const std::string& bytes,
             std::uint64_t expected, std::function<void(result<std::uint64_t>)> handler);

    // Any other call; the handler gets a response of status 2xx, or the error.
    void call(http::request r, http::response_handler handler);
    // The same for one that the platform may keep waiting for so long.
    void call_waiting(http::request r, duration wait, http::response_handler handler);

private:
    dialect dialect_;
    http::client calls_;
    http::client watches_;
};

} // namespace guavahaven::object_store
