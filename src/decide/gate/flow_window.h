#pragma once

// Flow control of one answer: the gate reads a bounded number of bytes ahead of what the caller has consumed,
// so that a slow caller costs a bounded amount of memory on the way.

#include <algorithm>
#include <cstdint>
#include <utility>

namespace guavahaven::decide {

class flow_window {
public:
    // Bytes of one answer that may be in flight between the backend server and the caller.
    static constexpr std::uint64_t max_in_flight = 256 * 1024;

    // Bytes of the answer's body forwarded to the caller so far.
    std::uint64_t forwarded() const { return forwarded_; }

    void add_forwarded(std::uint64_t bytes) { forwarded_ += bytes; }
    // The caller has consumed this many bytes in total. Late and duplicate updates have no effect.
    void set_consumed(std::uint64_t bytes) { consumed_ = std::clamp(bytes, consumed_, forwarded_); }

    // Recomputes whether reading is paused. True if that changed.
    bool update_paused()
    {
        const std::uint64_t in_flight = forwarded_ - consumed_;
        // Resumes while half a window is still in flight, so that the caller does not run out of data
        // meanwhile.
        const bool pause = in_flight >= (paused_ ? max_in_flight / 2 : max_in_flight);
        return pause != std::exchange(paused_, pause);
    }
    bool paused() const { return paused_; }

    friend bool operator==(const flow_window&, const flow_window&) = default;

private:
    std::uint64_t forwarded_ = 0;
    std::uint64_t consumed_ = 0;
    bool paused_ = false;
};

} // namespace guavahaven::decide
