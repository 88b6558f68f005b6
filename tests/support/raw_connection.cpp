#include "support/raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace guavahaven::support {

namespace {

constexpr std::size_t read_most = 16 * 1024;

// Time left until a moment, in whole milliseconds for poll().
int milliseconds_until(std::chrono::steady_clock::time_point then)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(then - std::chrono::steady_clock::now());
    return static_cast<int>(std::max<std::chrono::milliseconds::rep>(0, left.count()));
}

} // namespace

raw_connection::raw_connection(const http::address& to) : fd_(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port_);
    inet_pton(AF_INET, to.ip_.c_str(), &address.sin_addr);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return;
    ::close(fd_);
    fd_ = -1;
}

raw_connection::~raw_connection()
{
    if (fd_ >= 0)
        ::close(fd_);
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), closed_(other.closed_), reset_(other.reset_),
      received_(std::move(other.received_))
{
}

bool raw_connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool raw_connection::read_once(duration timeout, std::size_t most)
{
    pollfd readable{fd_, POLLIN, 0};
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(timeout);
    if (closed_ || poll(&readable, 1, static_cast<int>(wait.count())) <= 0)
        return false;
    std::array<char, read_most> bytes{};
    const auto n = recv(fd_, bytes.data(), std::min(most, bytes.size()), 0);
    if (n <= 0) {
        closed_ = true;
        reset_ = n < 0;
        return false;
    }
    received_.append(bytes.data(), static_cast<std::size_t>(n));
    return true;
}

const std::string& raw_connection::read_until(const std::string& text, duration timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (received_.find(text) == std::string::npos)
        if (!read_once(std::chrono::milliseconds(milliseconds_until(end)), read_most))
            break;
    return received_;
}

const std::string& raw_connection::read_some(std::size_t bytes, duration timeout)
{
    const std::size_t wanted = received_.size() + bytes;
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (received_.size() < wanted)
        if (!read_once(std::chrono::milliseconds(milliseconds_until(end)), wanted - received_.size()))
            break;
    return received_;
}

bool raw_connection::wait_closed(duration timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (read_once(std::chrono::milliseconds(milliseconds_until(end)), read_most)) {
    }
    return closed_;
}

} // namespace guavahaven::support
