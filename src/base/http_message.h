#pragma once

// HTTP requests, responses and addresses as plain values.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace guavahaven::http {

struct header {
    std::string name_;
    std::string value_;

    friend bool operator==(const header&, const header&) = default;
};
using headers = std::vector<header>;

// True if the texts are equal but for the case of ASCII letters, as header names are compared.
bool equals_ignore_case(std::string_view a, std::string_view b);

// Value of the first header of this name, regardless of case; "" if there is none.
std::string find_header(const headers& all, std::string_view name);

// The headers that a proxy forwards: all but the hop-by-hop ones (RFC 9110: length,
// transfer encoding, and those that 'Connection' names).
headers end_to_end(const headers& all);

// Decoded value of a parameter in the query part of a target; "" if absent.
std::string query_parameter(const std::string& target, const std::string& name);

// The target without its query part.
std::string path_of(const std::string& target);

struct request {
    std::string method_ = "GET";
    std::string target_; // path and query
    headers headers_;
    std::string body_;

    friend bool operator==(const request&, const request&) = default;
};

struct response {
    int status_ = 200;
    headers headers_;
    std::string body_;

    friend bool operator==(const response&, const response&) = default;
};

struct address {
    std::string ip_;
    std::uint16_t port_ = 0;

    friend auto operator<=>(const address&, const address&) = default;
};

std::string to_string(const address& a);

// Parses "IP:PORT"; the error is settings_bad_value. The IP is not checked.
result<address> parse_address(const std::string& text);

} // namespace guavahaven::http
