#include "backend/announcement.h"

#include <charconv>

#include "base/hash.h"

namespace guavahaven::backend {

namespace {

constexpr std::uint32_t max_slots = 100'000;

std::optional<std::uint32_t> parameter_number(const std::string& target, const std::string& name)
{
    const std::string text = http::query_parameter(target, name);
    std::uint32_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, number);
    if (text.empty() || failed != std::errc() || stop != end || number == 0 || number > max_slots)
        return {};
    return number;
}

result<registration_message> parse_announcement(const http::request& r, const http::address& listener)
{
    const std::string& target = r.target_;
    const auto port = parameter_number(target, "port");
    const auto slots = parameter_number(target, "slots");
    const auto connections = parameter_number(target, "connections");
    announcement a;
    a.service_ = service_name(http::query_parameter(target, "service"));
    a.version_ = version_name(http::query_parameter(target, "version"));
    const bool valid = http::path_of(target) == "/announce" && port && *port <= 65'535 && slots &&
                       connections && !a.service_.empty() && !a.version_.empty();
    if (!valid)
        return error{code::request_malformed, "not a valid announcement"};
    a.address_ = {listener.ip_, static_cast<std::uint16_t>(*port)};
    a.slots_ = *slots;
    a.connections_ = *connections;
    a.draining_ = http::query_parameter(target, "state") == "draining";
    a.start_ = hash(http::query_parameter(target, "start"));
    return a;
}

} // namespace

protocol default_protocol()
{
    protocol p;
    p.parse_ = parse_announcement;
    p.accepted_response_ = {200, {}, ""};
    return p;
}

} // namespace guavahaven::backend
