#pragma once

// Result codes and result<T>, the return type of every operation that can fail: a
// std::variant of the value and an error. docs/ERRORS.md lists each code with its
// meaning and remedy; numbers are never reused.

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace guavahaven {

// One number per kind of failure, grouped by where it arises: 1xx operators' input,
// 2xx the platform, 3xx other daemons, 4xx calls, 5xx the backend server.
enum class code : int {
    ok = 0,

    settings_unreadable = 100,
    settings_unknown_key = 101,
    settings_bad_value = 102,
    settings_missing_key = 103,
    rules_syntax = 110,
    rules_missing_comment = 111,
    rules_unknown_service = 112,
    rules_unknown_class = 113,
    rules_duplicate = 114,
    rules_ambiguous_route = 115,
    rules_bad_value = 116,
    rules_too_large = 117,
    rules_unreadable = 118,
    report_unwritable = 119,
    log_unreadable = 120,
    request_not_logged = 121,

    platform_unreachable = 200,
    platform_conflict = 201,
    platform_malformed = 202,
    platform_not_found = 203,
    platform_refused = 204,
    platform_older_state = 205,
    configuration_conflict = 206,
    started_unconfirmed = 207,
    platform_history_gone = 208,
    configuration_ahead_of_clock = 209,

    frame_malformed = 300,
    frame_too_large = 301,
    frame_protocol_version = 302,
    peer_unreachable = 303,
    content_hash_mismatch = 304,

    no_route = 400,
    no_backend_server = 401,
    deadline_exceeded = 402,
    overloaded = 403,
    not_run = 404,
    outcome_unknown = 405,
    duplicate_request = 406,
    request_too_large = 407,
    request_malformed = 408,
    suspect_request = 409,
    draining = 410,
    data_center_out = 411,
    starting = 412,
    version_withdrawn = 413,
    call_depth_exceeded = 414,
    retry_budget_spent = 415,
    limit_reached = 416,
    caller_gone = 417,

    backend_unreachable = 500,
    backend_failed = 501,
    answer_incomplete = 502,
    backend_refused = 503,
};

// The number of a code, as shown to operators and callers.
constexpr int number(code c)
{
    return static_cast<int>(c);
}

// Short lower-case name of a code, as in docs/ERRORS.md.
std::string_view name(code c);

// What the operator or the caller can do about a code; empty if nothing is needed.
std::string_view remedy(code c);

// A failure: its code, and a text that says what it concerns.
struct error {
    code code_ = code::ok;
    std::string detail_;

    friend bool operator==(const error&, const error&) = default;
};

// "E110 rules_syntax: detail"
std::string to_string(const error& e);

template <class T>
using result = std::variant<T, error>;

// Result of an operation that yields nothing but success.
using status = result<std::monostate>;

template <class T>
bool ok(const result<T>& r)
{
    return std::holds_alternative<T>(r);
}

template <class T>
const T& value(const result<T>& r)
{
    return std::get<T>(r);
}

// Moves the value out.
template <class T>
T&& take(result<T>&& r)
{
    return std::get<T>(std::move(r));
}

template <class T>
const error& failure(const result<T>& r)
{
    return std::get<error>(r);
}

// Visitor made of lambdas, for std::visit.
template <class... Fs>
struct overloaded : Fs... {
    using Fs::operator()...;
};
template <class... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

} // namespace guavahaven
