#pragma once

// Reads HTTP/1.1 messages off a stream of bytes, strictly: whatever two
// readers could take in two ways (two lengths, a length beside chunks, a space
// before a colon, a sign before a number) is malformed. The parser is
// Boost.Beast's; evhttp's takes the forms above.

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/http_message.h"

namespace guavahaven::http {

// Why a message can't be read any further.
enum class read_fault : std::uint8_t { malformed, head_too_large, body_too_large };

// Bounds on one message, in bytes.
struct message_limits {
    std::size_t head_ = 16 * 1024;
    std::size_t body_ = 1024 * 1024;

    friend bool operator==(const message_limits&, const message_limits&) = default;
};

// Reads one message at a time; reset() makes it ready for the next.
class message_reader {
public:
    enum class kind : std::uint8_t { request, response };
    struct parser;

    message_reader(kind of, message_limits limits);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;

    // Takes bytes up to the end of the message; returns how many were taken.
    // What was not taken must be offered again, with more after it.
    std::size_t read(std::string_view bytes);
    // The sender has closed cleanly: ends a response that has no stated end.
    void end_of_stream();
    void reset();
    void set_limits(message_limits limits) { limits_ = limits; }
    // The response belongs to a request whose answers have no body.
    void expect_no_body();

    bool head_done() const { return head_done_; }
    bool done() const;
    std::optional<read_fault> fault() const { return fault_; }

    // Of the head, once it is done.
    const std::string& method() const { return method_; }
    const std::string& target() const { return target_; }
    int status() const { return status_; }
    // 11 for HTTP/1.1, 10 for HTTP/1.0.
    int version() const { return version_; }
    const headers& all_headers() const { return headers_; }
    bool keep_alive() const;
    // The response ends when its connection does.
    bool ends_with_connection() const;

    // Bytes of the body that have come since the last call.
    std::string take_body() { return std::exchange(body_, {}); }
    std::size_t body_size() const { return body_.size(); }

private:
    kind kind_;
    message_limits limits_;
    std::unique_ptr<parser> parser_;
    bool head_done_ = false;
    std::optional<read_fault> fault_;
    std::string method_;
    std::string target_;
    int status_ = 0;
    int version_ = 11;
    headers headers_;
    std::string body_;
};

} // namespace guavahaven::http
