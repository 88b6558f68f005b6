#pragma once

// A bounded record of what a daemon saw over time, for the report page: the
// requests that entered here by class, and the moves that it judges.

#include <deque>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "decide/control.h"

namespace guavahaven::operators {

// Requests of a class that entered at a daemon, since its start.
struct class_sample {
    std::string class_;
    std::uint64_t served_ = 0;
    std::uint64_t not_served_ = 0;

    friend bool operator==(const class_sample&, const class_sample&) = default;
};

// A move as one daemon knows it; runs are zero where it does not judge.
struct move_sample {
    std::string service_;
    std::string version_;
    double share_ = 0; // of 1
    std::uint64_t new_ran_ = 0;
    std::uint64_t new_failed_ = 0;
    std::uint64_t old_ran_ = 0;
    std::uint64_t old_failed_ = 0;

    friend bool operator==(const move_sample&, const move_sample&) = default;
};

struct sample {
    std::uint64_t at_ = 0; // seconds since 1970, a multiple of sample_interval
    std::vector<class_sample> classes_;
    std::vector<move_sample> moves_;

    friend bool operator==(const sample&, const sample&) = default;
};

inline constexpr std::uint64_t sample_interval_s = 5;

class sample_ring {
public:
    // Takes a sample if one is due.
    void tick(const decide::control& control, const metrics& counts, wall_time now);

    const std::deque<sample>& samples() const { return samples_; }

private:
    std::deque<sample> samples_;
};

std::string to_json(const std::deque<sample>& samples);

// frame_malformed if the text holds no samples.
result<std::vector<sample>> parse_samples(const std::string& json);

} // namespace guavahaven::operators
