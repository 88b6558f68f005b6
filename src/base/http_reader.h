#pragma once

// A strict HTTP/1.1 parser for a stream of bytes. To prevent request smuggling, a
// message that two parsers could understand differently is malformed: two lengths, a
// length together with chunks, a space before a colon, a sign before a number. It
// uses Boost.Beast's parser, since evhttp's accepts these forms.

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/http_message.h"

namespace guavahaven::http {

// Why a message is refused.
enum class read_fault : std::uint8_t { malformed, head_too_large, body_too_large };

// Maximum sizes of one message, in bytes. The one of the head also holds for each chunk's size line and for
// the trailer.
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

    // Consumes bytes up to the end of the message; returns how many. The caller keeps
    // the rest and passes it again, followed by the bytes that arrive next.
    std::size_t read(std::string_view bytes);
    // To be called when the sender has closed the connection cleanly: completes a
    // response without a stated length, and makes any other incomplete one malformed.
    void end_of_stream();
    void reset();
    // Takes effect with the next reset().
    void set_limits(message_limits limits) { limits_ = limits; }
    // To be called before a response whose request allows it no body (HEAD).
    void expect_no_body();

    bool head_done() const { return head_done_; }
    bool done() const;
    std::optional<read_fault> fault() const { return fault_; }

    // These are valid once head_done().
    const std::string& method() const { return method_; }
    const std::string& target() const { return target_; }
    int status() const { return status_; }
    // 11 for HTTP/1.1, 10 for HTTP/1.0.
    int version() const { return version_; }
    const headers& all_headers() const { return headers_; }
    bool keep_alive() const;
    // The response has no stated length: it ends when the connection is closed.
    bool ends_with_connection() const;

    // Moves out the bytes of the body that have arrived since the last call.
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
