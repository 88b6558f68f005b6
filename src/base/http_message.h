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

// Compares names of headers, without regard to case.
bool same_name(std::string_view a, std::string_view b);

// First value of a header, compared without regard to case; "" if absent.
std::string find_header(const headers& all, std::string_view name);

// The headers that go on to the next hop; those that belong to one connection
// (length, encoding, and what 'Connection' names) are left out.
headers end_to_end(const headers& all);

// Value of a parameter in the query part of a target; "" if absent.
std::string query_parameter(const std::string& target, const std::string& name);

// Path of a target, without its query.
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

// Parses "IP:PORT"; settings_bad_value otherwise.
result<address> parse_address(const std::string& text);

} // namespace guavahaven::http
