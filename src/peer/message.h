#pragma once

// The messages between daemons and their framing: a frame is the payload's length (4
// bytes, big-endian), followed by the payload, a message as msgpack.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "decide/call.h"
#include "decide/gate/key_replica.h"
#include "decide/gossip.h"

namespace guavahaven::peer {

// Must be raised with each change of a message that older daemons can't read.
inline constexpr std::uint32_t protocol_version = 5;

// A frame with a longer payload is refused.
inline constexpr std::size_t max_payload_bytes = 4 * 1024 * 1024;

// The first message of a connection, sent by both sides.
struct hello {
    std::uint32_t protocol_ = protocol_version;
    daemon_name name_;
    incarnation incarnation_;

    friend bool operator==(const hello&, const hello&) = default;
};

using message = std::variant<hello, decide::entry_to_gate, decide::gate_to_entry, decide::control_message,
                             decide::gate_to_gate>;

// A message as a frame.
std::string to_frame(const message& m);

// Extracts messages from a stream of bytes that arrives in pieces.
class frame_reader {
public:
    void append(std::string_view bytes);

    // The next message; empty if more bytes are needed. After an error (malformed or
    // too large frame, another protocol version) the connection must be closed.
    std::optional<result<message>> next();

    // Size in bytes of the last frame that next() read, with its length field.
    std::size_t last_size() const { return last_size_; }

private:
    std::string bytes_;
    std::size_t start_ = 0;
    std::size_t last_size_ = 0;
};

} // namespace guavahaven::peer
