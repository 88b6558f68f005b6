#pragma once

// Client of the platform's object store: opaque objects identified by kind and name, each with a version,
// with conditional updates and watches. A wire_format says how a call looks in HTTP; the default one is
//
//   GET /objects/KIND/NAME                  200 with header Version, or 404
//   GET /objects/KIND/NAME?after=V&wait=MS  the same once the version is above V; 304 if that takes longer
//   than MS PUT /objects/KIND/NAME                  with header If-Version: V (0: must not exist); 200 or 409

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

// How fresh the object that a read returns must be.
enum class freshness : std::uint8_t {
    latest,
    may_be_stale, // by some seconds, where the platform offers such reads at a lower cost
};

// How calls and their responses look in HTTP.
struct wire_format {
    std::function<http::request(const std::string& kind, const std::string& name, freshness wanted)>
        get_request_;
    // Writes the object if its version is still 'expected' (0: the object must not exist).
    std::function<http::request(const std::string& kind, const std::string& name, const std::string& bytes,
                                std::uint64_t expected)>
        put_request_;
    // Decodes a response of status 2xx; platform_malformed if that fails.
    std::function<result<object>(const http::response&)> parse_;
};

wire_format default_wire_format();

// Errors: platform_unreachable (a write may have taken effect all the same),
// platform_not_found, platform_conflict, platform_refused, platform_malformed.
class store {
public:
    store(event_loop& loop, http::address platform, wire_format d = default_wire_format());

    void get(const std::string& kind, const std::string& name, std::function<void(result<object>)> handler,
             freshness wanted = freshness::latest);

    // Calls the handler once the object's version is above 'above', with platform_not_found if that takes
    // longer than 'wait'.
    void watch(const std::string& kind, const std::string& name, std::uint64_t above, duration wait,
               std::function<void(result<object>)> handler);

    // Writes the object if its version is still the expected one (0: the object must not exist). The handler
    // gets the new version.
    void put(const std::string& kind, const std::string& name, const std::string& bytes,
             std::uint64_t expected, std::function<void(result<std::uint64_t>)> handler);

    // Sends any other request; the handler gets a response of status 2xx, or an error.
    void call(http::request r, http::response_handler handler);
    // The same for a request that the platform may answer up to 'wait' later (long poll).
    void call_waiting(http::request r, duration wait, http::response_handler handler);

private:
    wire_format format_;
    http::client calls_;
    http::client waiting_calls_;
};

} // namespace guavahaven::object_store
