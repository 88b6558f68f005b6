#include "decide/caller_protocol.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace guavahaven::decide {

namespace {

constexpr int status_failed = 500; // the lowest status of a failure
constexpr int status_unavailable = 503;
constexpr int status_too_many = 429;

int default_status(code c)
{
    switch (c) {
    case code::no_route:
        return 404;
    case code::request_malformed:
        return 400;
    case code::request_too_large:
        return 413;
    case code::duplicate_request:
        return 409;
    case code::suspect_request:
        return 422;
    case code::call_depth_exceeded:
        return 508;
    case code::limit_reached:
        return 429;
    case code::deadline_exceeded:
        return 504;
    case code::outcome_unknown:
    case code::backend_failed:
    case code::answer_incomplete:
        return 502;
    default:
        return 503;
    }
}

} // namespace

std::optional<std::uint64_t> header_number(const http::request& request, std::string_view name)
{
    if (name.empty())
        return {};
    const std::string text = http::find_header(request.headers_, name);
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, number);
    if (text.empty() || failed != std::errc() || stop != end)
        return {};
    return number;
}

void set_header(http::headers& headers, std::string_view name, const std::string& text)
{
    if (name.empty())
        return;
    std::erase_if(headers, [name](const http::header& h) { return http::equals_ignore_case(h.name_, name); });
    headers.push_back({std::string(name), text});
}

bool failed(const http::response& response)
{
    return response.status_ >= status_failed;
}

http::response error_response(const caller_protocol& protocol, code c, duration retry_after)
{
    const auto own = protocol.statuses_.find(c);
    http::response answer;
    answer.status_ = own == protocol.statuses_.end() ? default_status(c) : own->second;
    answer.body_ = to_string(error{c, std::string(remedy(c))}) + "\n";
    set_header(answer.headers_, protocol.result_header_, std::to_string(number(c)));
    const bool not_run = answer.status_ == status_unavailable || answer.status_ == status_too_many;
    if (not_run && retry_after > duration::zero()) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(retry_after).count());
        set_header(answer.headers_, "Retry-After", text.data());
    }
    return answer;
}

} // namespace guavahaven::decide
