#pragma once

// Registration of a backend server with the daemon beside it, and the HTTP headers and statuses that the two
// use between them.

#include <functional>
#include <optional>
#include <string>

#include "base/http.h"
#include "decide/identifiers.h"

namespace guavahaven::backend {

// A backend server registers with the daemon beside it by announcements, repeated as its heartbeat.
struct announcement {
    service_name service_;
    version_name version_;
    http::address address_;             // where it accepts requests
    std::uint32_t slots_ = 0;           // maximum of requests that it runs at once
    std::uint32_t connections_ = 0;     // maximum of connections to it
    bool draining_ = false;             // it finishes its requests and accepts no new ones
    std::string instance_;              // its own name; empty if not announced
    std::uint64_t start_ = 0;           // identifies this start of the process; 0 if not announced
    std::uint64_t started_at_ms_ = 0;   // milliseconds since 1970; 0 if not announced
    std::uint64_t sequence_ = 0;        // grows with each announcement of one start; 0 if not announced
    std::optional<duration> cold_left_; // how much longer it is cold (warming up); empty if not announced

    friend bool operator==(const announcement&, const announcement&) = default;
};

// An instance deregisters: it accepts no new work.
struct deregistration {
    std::string instance_;

    friend bool operator==(const deregistration&, const deregistration&) = default;
};

using registration_message = std::variant<announcement, deregistration>;

struct protocol {
    std::string deadline_header_ = "Request-Timeout-Ms"; // of a request: time left, in milliseconds
    std::string expected_instance_header_;               // of a request: the instance that it is meant for
    std::string not_run_header_;                         // of a response: present if the request has not run
    std::string executed_header_; // of a response: present if the instance ran the request
    std::string
        rate_limit_header_; // of a response: the requests a second that the instance takes, a decimal number
    std::string leaving_header_; // of a response: 1 if the instance leaves, and is to get no new requests
    int misdirected_status_ = 0; // of a response by an instance that the request was not meant for; 0: none
    http::response_rules responses_;
    // Decodes a registration message; request_malformed if it is invalid. listener is the address that
    // received it.
    std::function<result<registration_message>(const http::request&, const http::address& listener)> parse_;
    // The response to a registration message that was accepted.
    http::response accepted_response_;
};

// The protocol of guavahaven-daemon (as opposed to that in platform/). Headers that it leaves empty are not
// used.
//
//   POST /announce?service=S&version=V&port=P&slots=N&connections=N[&state=draining][&start=ID]
protocol default_protocol();

} // namespace guavahaven::backend
