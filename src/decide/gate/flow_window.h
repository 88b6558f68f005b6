#pragma once

// How far the gate reads an answer ahead of its caller: a bounded number of
// bytes, so that a slow caller costs a bounded amount of memory on the way.

#include <algorithm>
#include <cstdint>
#include <utility>

namespace guavahaven::decide {

class flow_window {
public:
    // Bytes of one answer that may be between the backend server and the caller.
    static constexpr std::uint64_t most = 256 * 1024;

    // Bytes of the answer's body passed on so far.
    std::uint64_t passed() const { return passed_; }

    void pass(std::uint64_t bytes) { passed_ += bytes; }
    // The caller has taken this many bytes in all; late and doubled news changes nothing.
    void take(std::uint64_t bytes) { taken_ = std::clamp(bytes, taken_, passed_); }

    // True if reading has to stop or go on from now; paused() says which.
    bool turned()
    {
        const std::uint64_t under_way = passed_ - taken_;
        // Reads on while half a window is still under way, so that the caller never waits for nothing.
        const bool pause = under_way >= (paused_ ? most / 2 : most);
        return pause != std::exchange(paused_, pause);
    }
    bool paused() const { return paused_; }

    friend bool operator==(const flow_window&, const flow_window&) = default;

private:
    std::uint64_t passed_ = 0;
    std::uint64_t taken_ = 0;
    bool paused_ = false;
};

} // namespace guavahaven::decide
