#pragma once

// What callers and backend servers see of the daemons beside plain HTTP:
// headers, and the responses that tell of a result code.

#include <optional>
#include <string>
#include <string_view>

#include "base/http.h"
#include "base/result.h"

namespace guavahaven::decide {

inline constexpr std::string_view key_header = "Idempotency-Key";
inline constexpr std::string_view deadline_header = "Request-Timeout-Ms"; // time left
inline constexpr std::string_view depth_header = "Call-Depth";
inline constexpr std::string_view identity_header = "Request-Id";
// Status of an earlier answer under the same idempotency key.
inline constexpr std::string_view earlier_status_header = "Guavahaven-Earlier-Status";
inline constexpr std::string_view result_header = "Guavahaven-Result"; // numbered result code
// On a failed response: the entry next to the failure has done what retries
// can. A backend server that passes the failure on passes this on too.
inline constexpr std::string_view retried_header = "Guavahaven-Retried";

// A header's whole number; empty if it is absent or no number.
std::optional<std::uint64_t> header_number(const http::request& request, std::string_view name);

// Replaces a header.
void set_header(http::headers& headers, std::string_view name, const std::string& text);

// True for responses that say that a server failed or had no room.
bool failed(const http::response& response);

// The HTTP answer that tells a caller of a result code.
http::response error_response(code c);

} // namespace guavahaven::decide
