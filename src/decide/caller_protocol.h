#pragma once

// What callers and backend servers see of the daemons beside plain HTTP:
// headers, and the responses that tell of a result code.

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/http.h"
#include "base/result.h"

namespace guavahaven::decide {

// The headers and statuses that callers see. What has an empty name is not spoken.
struct caller_protocol {
    std::string key_header_ = "Idempotency-Key";
    std::string deadline_header_ = "Request-Timeout-Ms"; // time left
    std::string depth_header_ = "Call-Depth";
    std::string identity_header_ = "Request-Id";
    // The caller names each request itself; the name is passed on as it is.
    bool caller_names_requests_ = false;
    // The service beside the daemon where the request entered.
    std::string caller_service_header_ = "Caller-Service";
    std::string caller_service_; // empty: as the backend server announces
    // Status of an earlier answer under the same idempotency key.
    std::string earlier_status_header_ = "Guavahaven-Earlier-Status";
    std::string result_header_ = "Guavahaven-Result"; // numbered result code
    // On a failed response: the entry next to the failure has done what retries
    // can. A backend server that passes the failure on passes this on too.
    std::string retried_header_ = "Guavahaven-Retried";
    std::map<code, int> statuses_; // where they differ from the usual ones

    friend bool operator==(const caller_protocol&, const caller_protocol&) = default;
};

// A header's whole number; empty if it is absent or no number.
std::optional<std::uint64_t> header_number(const http::request& request, std::string_view name);

// Replaces a header; does nothing if the name is empty.
void set_header(http::headers& headers, std::string_view name, const std::string& text);

// True for responses that say that a server failed or had no room.
bool failed(const http::response& response);

// The HTTP answer that tells a caller of a result code. One that says that the
// request has not run says also when to come back, in seconds.
http::response error_response(const caller_protocol& protocol, code c, duration come_back = {});

} // namespace guavahaven::decide
