#pragma once

// What a backend server says of itself, and the names by which daemon and
// backend server understand each other.

#include <functional>
#include <optional>
#include <string>

#include "base/http.h"
#include "decide/identifiers.h"

namespace guavahaven::backend {

// A backend server's statement that it serves, repeated as its heartbeat.
struct announcement {
    service_name service_;
    version_name version_;
    http::address address_;         // where it takes requests
    std::uint32_t slots_ = 0;       // requests at once
    std::uint32_t connections_ = 0; // at most
    bool draining_ = false;
    std::string instance_;              // its own name; empty if it has none
    std::uint64_t start_ = 0;           // differs between its starts; 0 if not announced
    std::uint64_t started_at_ = 0;      // milliseconds since 1970; 0 if not announced
    std::uint64_t sequence_ = 0;        // grows with each announcement of one start; 0 if not announced
    std::optional<duration> cold_left_; // if it says how much longer it is cold

    friend bool operator==(const announcement&, const announcement&) = default;
};

// An instance's last word: it takes no new work.
struct farewell {
    std::string instance_;

    friend bool operator==(const farewell&, const farewell&) = default;
};

using statement = std::variant<announcement, farewell>;

struct protocol {
    std::string deadline_header_ = "Request-Timeout-Ms"; // of a request: time left
    std::string instance_header_;                        // of a request: who is meant
    std::string not_run_header_;                         // of a response: the request has not run
    std::string seal_header_;    // of every response that an instance made by running a request
    int misdirected_status_ = 0; // of a response by another instance than was meant; 0: none
    http::response_rules responses_;
    // Decodes a statement; request_malformed if it is none.
    std::function<result<statement>(const http::request&, const http::address& listener)> read_;
    // The response to a statement that was taken.
    http::response taken_;
};

// What the product's own backend servers speak:
//
//   POST /announce?service=S&version=V&port=P&slots=N&connections=N[&state=draining][&start=ID]
protocol own_protocol();

} // namespace guavahaven::backend
