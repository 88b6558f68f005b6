#include "base/http_message.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <sys/queue.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace guavahaven::http {

bool equals_ignore_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

namespace {

// True if a comma-separated list of header names contains the name.
bool in_list(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        std::string_view item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        item.remove_prefix(std::min(item.size(), item.find_first_not_of(' ')));
        if (equals_ignore_case(item.substr(0, item.find(' ')), name))
            return true;
    }
    return false;
}

} // namespace

std::string find_header(const headers& all, std::string_view name)
{
    const auto same = [name](const header& h) { return equals_ignore_case(h.name_, name); };
    const auto at = std::find_if(all.begin(), all.end(), same);
    return at == all.end() ? "" : at->value_;
}

headers end_to_end(const headers& all)
{
    constexpr std::array<std::string_view, 8> hop_by_hop{"Connection",        "Content-Length",  "Keep-Alive",
                                                         "Transfer-Encoding", "Upgrade",         "TE",
                                                         "Trailer",           "Proxy-Connection"};
    const std::string connection_header = find_header(all, "Connection");
    headers kept;
    for (const header& h : all) {
        const auto same = [&](std::string_view name) { return equals_ignore_case(h.name_, name); };
        if (std::none_of(hop_by_hop.begin(), hop_by_hop.end(), same) && !in_list(connection_header, h.name_))
            kept.push_back(h);
    }
    return kept;
}

std::string query_parameter(const std::string& target, const std::string& name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return "";
    evkeyvalq parsed{};
    if (evhttp_parse_query_str(target.c_str() + mark + 1, &parsed) != 0)
        return "";
    const char* found = evhttp_find_header(&parsed, name.c_str());
    std::string value = found ? found : "";
    evhttp_clear_headers(&parsed);
    return value;
}

std::string path_of(const std::string& target)
{
    return target.substr(0, target.find('?'));
}

std::string to_string(const address& a)
{
    return a.ip_ + ":" + std::to_string(a.port_);
}

result<address> parse_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return error{code::settings_bad_value, "'" + text + "' is not of the form IP:PORT"};
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data() + colon + 1, end, port);
    if (failed != std::errc() || stop != end)
        return error{code::settings_bad_value, "'" + text + "' is not of the form IP:PORT"};
    return address{text.substr(0, colon), port};
}

} // namespace guavahaven::http
