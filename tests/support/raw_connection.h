#pragma once

// A plain TCP connection, for what no well-behaved HTTP client does.

#include <string>

#include "base/clock.h"
#include "base/http.h"

namespace guavahaven::support {

class raw_connection {
public:
    explicit raw_connection(const http::address& to);
    ~raw_connection();
    raw_connection(raw_connection&& other) noexcept;
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    raw_connection& operator=(raw_connection&&) = delete;

    bool connected() const { return fd_ >= 0; }
    // False if the other end has closed.
    bool send(const std::string& bytes);
    // Reads until the text is among what came in all, the other end closes, or
    // the time is over; what came in all.
    const std::string& read_until(const std::string& text, duration timeout = std::chrono::seconds(10));
    // Reads at most this much more.
    const std::string& read_some(std::size_t bytes, duration timeout = std::chrono::seconds(10));
    // True once the other end has closed or reset the connection.
    bool wait_closed(duration timeout = std::chrono::seconds(10));
    // True if it was reset, so that nobody takes what came for whole.
    bool was_reset() const { return reset_; }
    const std::string& received() const { return received_; }

private:
    bool read_once(duration timeout, std::size_t most);

    int fd_ = -1;
    bool closed_ = false;
    bool reset_ = false;
    std::string received_;
};

} // namespace guavahaven::support
