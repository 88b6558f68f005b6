#pragma once

// The platform's object API: objects of a kind and name, each with a version;
// conditional updates; watches. Objects are opaque bytes to it.
//
//   GET /objects/KIND/NAME                  200 with header Version, or 404
//   GET /objects/KIND/NAME?after=V&wait=MS  the same once the version is above V; 304 if none came
//   PUT /objects/KIND/NAME                  with header If-Version: V (0: must not exist); 200 or 409

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/http.h"

namespace guavahaven::platform {

struct object {
    std::uint64_t version_ = 0;
    std::string bytes_;

    friend bool operator==(const object&, const object&) = default;
};

// Errors: platform_unreachable (a write may have taken effect all the same),
// platform_not_found, platform_conflict, platform_refused, platform_malformed.
class store {
public:
    store(event_loop& loop, http::address platform);

    void get(const std::string& kind, const std::string& name, std::function<void(result<object>)> handler);

    // Answers once the object's version is above one; platform_not_found if
    // none came within the wait.
    void watch(const std::string& kind, const std::string& name, std::uint64_t above, duration wait,
               std::function<void(result<object>)> handler);

    // Writes if the object's version is still the expected one (0: absent).
    // The handler gets the new version.
    void put(const std::string& kind, const std::string& name, const std::string& bytes,
             std::uint64_t expected, std::function<void(result<std::uint64_t>)> handler);

private:
    http::client calls_;
    http::client watches_;
};

} // namespace guavahaven::platform
