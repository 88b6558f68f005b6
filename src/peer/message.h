#pragma once

// What daemons send each other, and its form on the wire: a frame is a 4-byte
// big-endian length and that many bytes of msgpack.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "decide/call.h"
#include "decide/gate/key_replica.h"
#include "decide/gossip.h"

namespace guavahaven::peer {

// Raised whenever a message changes in a way that older daemons can't read.
inline constexpr std::uint32_t protocol_version = 4;

// Bytes of a frame's payload that are accepted at most.
inline constexpr std::size_t frame_most = 4 * 1024 * 1024;

// First message of a connection, in both directions.
struct hello {
    std::uint32_t protocol_ = protocol_version;
    daemon_name name_;
    incarnation incarnation_;

    friend bool operator==(const hello&, const hello&) = default;
};

using message = std::variant<hello, decide::entry_to_gate, decide::gate_to_entry, decide::control_message,
                             decide::gate_to_gate>;

// A message as a whole frame.
std::string to_frame(const message& m);

// Cuts frames out of a stream of bytes.
class frame_reader {
public:
    void append(std::string_view bytes);

    // The next whole message; empty if more bytes are needed; an error if the
    // stream is no use any more (malformed, too large, another protocol).
    std::optional<result<message>> next();

    // Bytes of the frame that next() gave last.
    std::size_t last_size() const { return last_size_; }

private:
    std::string bytes_;
    std::size_t start_ = 0;
    std::size_t last_size_ = 0;
};

} // namespace guavahaven::peer
