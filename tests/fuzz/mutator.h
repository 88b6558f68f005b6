#pragma once

// Seeded changes of bytes, for the fuzz entry points.

#include <algorithm>
#include <string>
#include <vector>

#include "base/random.h"

namespace guavahaven::fuzz {

class mutator {
public:
    explicit mutator(std::uint64_t seed) : random_(seed) {}

    // One of the samples, with up to eight changes.
    std::string next(const std::vector<std::string>& samples)
    {
        std::string bytes = samples[random_index(random_, samples.size())];
        const std::size_t changes = random_index(random_, most_changes + 1);
        for (std::size_t i = 0; i < changes; ++i)
            change(bytes, samples);
        return bytes;
    }

private:
    static constexpr std::size_t most_changes = 8;
    static constexpr std::size_t most_bytes = 64 * 1024;

    std::size_t place(const std::string& bytes) { return random_index(random_, bytes.size() + 1); }

    void change(std::string& bytes, const std::vector<std::string>& samples)
    {
        const std::size_t at = place(bytes);
        switch (random_index(random_, 6)) {
        case 0: // another byte
            if (at < bytes.size())
                bytes[at] = static_cast<char>(random_index(random_, 256));
            return;
        case 1: // a bit turned
            if (at < bytes.size())
                bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(1U << random_index(random_, 8)));
            return;
        case 2: // cut short
            return bytes.resize(at);
        case 3: // a part left out
            bytes.erase(at, random_index(random_, 16));
            return;
        case 4: // a part twice
            if (bytes.size() < most_bytes)
                bytes.insert(at, bytes.substr(place(bytes), 64));
            return;
        default: // a part of another sample
            const std::string& other = samples[random_index(random_, samples.size())];
            bytes.insert(at, other.substr(random_index(random_, other.size() + 1), 64));
            return;
        }
    }

    random_engine random_;
};

} // namespace guavahaven::fuzz
