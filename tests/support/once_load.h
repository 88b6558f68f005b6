#pragma once

// Callers that send requests which must run at most once, repeat them under
// the same idempotency key through other entries, and are then compared with
// the journals of the backend servers.

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/http.h"
#include "base/random.h"
#include "support/mesh.h"

namespace guavahaven::support {

struct once_plan {
    std::vector<http::address> entries_;
    std::uint64_t seed_ = 1;
    std::size_t at_once_ = 8;
    std::size_t repeats_ = 8;     // of one request at most
    bool repeat_blindly_ = false; // send again whatever the failure, three times, as plain clients do
    std::string path_ = "/placements/";

    friend bool operator==(const once_plan&, const once_plan&) = default;
};

// What a caller made of one answer, or of its absence.
enum class told : std::uint8_t { done, not_run, unknown };

// One request: what its caller was told at last.
struct once_request {
    std::string path_; // unique
    bool keyed_ = false;
    told last_ = told::unknown;
    std::size_t attempts_ = 0;
    bool ever_unknown_ = false; // an attempt may have run

    friend bool operator==(const once_request&, const once_request&) = default;
};

struct once_counts {
    std::size_t requests_ = 0;
    std::size_t run_twice_ = 0;
    std::size_t lost_ = 0;          // told that it is done, but it never ran
    std::size_t false_not_run_ = 0; // told that it has not run, but it has
    std::size_t unknown_ = 0;       // told at last that the outcome is unknown
    std::size_t refused_ = 0;       // told at last that it has not run
    std::size_t done_ = 0;

    friend bool operator==(const once_counts&, const once_counts&) = default;
};

// Sends until the time has passed, then lets what is under way come to an end.
std::vector<once_request> send_once_load(const once_plan& plan, duration time);

once_counts count_once(const std::vector<once_request>& requests, const std::vector<journal_entry>& journal);

} // namespace guavahaven::support
