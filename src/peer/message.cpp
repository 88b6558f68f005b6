#include "peer/message.h"

#include "peer/layouts.h"

namespace guavahaven::peer {

namespace {

constexpr std::size_t length_field_bytes = 4;

} // namespace

std::string to_frame(const message& m)
{
    const std::string payload = serialize(m);
    std::string frame;
    frame.reserve(length_field_bytes + payload.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<char>((payload.size() >> shift) & 0xff));
    return frame + payload;
}

void frame_reader::append(std::string_view bytes)
{
    if (start_ > 0) {
        bytes_.erase(0, start_);
        start_ = 0;
    }
    bytes_.append(bytes);
}

std::optional<result<message>> frame_reader::next()
{
    if (bytes_.size() - start_ < length_field_bytes)
        return {};
    std::size_t length = 0;
    for (std::size_t i = 0; i < length_field_bytes; ++i)
        length = length << 8 | static_cast<unsigned char>(bytes_[start_ + i]);
    if (length > max_payload_bytes)
        return error{code::frame_too_large, std::to_string(length) + " bytes"};
    if (bytes_.size() - start_ - length_field_bytes < length)
        return {};
    const std::string_view payload = std::string_view(bytes_).substr(start_ + length_field_bytes, length);
    result<message> m = deserialize<message>(payload);
    last_size_ = length_field_bytes + length;
    start_ += last_size_;
    if (ok(m)) {
        const auto* hello_message = std::get_if<hello>(&value(m));
        if (hello_message && hello_message->protocol_ != protocol_version)
            return error{code::frame_protocol_version,
                         "protocol " + std::to_string(hello_message->protocol_)};
    }
    return m;
}

} // namespace guavahaven::peer
