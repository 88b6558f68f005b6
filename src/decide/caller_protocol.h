#pragma once

// What callers and backend servers see of the daemons beyond plain HTTP: headers, and
// the responses that carry a result code.

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/http.h"
#include "base/result.h"

namespace guavahaven::decide {

// Header names and statuses. A header with an empty name is neither read nor sent.
struct caller_protocol {
    std::string key_header_ = "Idempotency-Key";
    std::string deadline_header_ =
        "Request-Timeout-Ms"; // time left to the caller's deadline, in milliseconds
    std::string depth_header_ = "Call-Depth";
    std::string identity_header_ = "Request-Id";
    // True if the caller sets identity_header_ itself; it is passed on unchanged.
    bool caller_names_requests_ = false;
    // The service beside the daemon where the request entered.
    std::string caller_service_header_ = "Caller-Service";
    std::string caller_service_; // empty: the service that the backend server announced
    // Status of an earlier answer under the same idempotency key.
    std::string earlier_status_header_ = "Guavahaven-Earlier-Status";
    std::string result_header_ = "Guavahaven-Result"; // number of the result code
    // Set on a failed response when the entry next to the failure has already done the
    // retries that its rules allow. A backend server that passes the failure on passes
    // this header on too, so that no entry upstream retries again.
    std::string retried_header_ = "Guavahaven-Retried";
    std::map<code, int> statuses_; // where they differ from the defaults

    friend bool operator==(const caller_protocol&, const caller_protocol&) = default;
};

// A header's value as an unsigned integer; empty if it is absent or not a number.
std::optional<std::uint64_t> header_number(const http::request& request, std::string_view name);

// Sets a header, replacing any of that name; does nothing if the name is empty.
void set_header(http::headers& headers, std::string_view name, const std::string& text);

// True for responses that report a server failure or lack of capacity (status 5xx).
bool failed(const http::response& response);

// The HTTP response for a result code. With status 429 or 503 it has a Retry-After
// header with 'retry_after', in seconds with two decimals, unless that is zero.
http::response error_response(const caller_protocol& protocol, code c, duration retry_after = {});

} // namespace guavahaven::decide
