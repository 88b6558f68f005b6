#pragma once

// What became of the demo's requests: by class, and whatever was wrong.

#include <map>
#include <string>
#include <vector>

#include "support/load.h"

namespace guavahaven::demo {

struct class_tally {
    std::size_t sent_ = 0;
    std::size_t answered_ = 0;
    std::size_t late_ = 0; // past the class's deadline

    friend bool operator==(const class_tally&, const class_tally&) = default;
};

struct tally {
    std::map<std::string, class_tally> classes_;
    std::vector<std::string> wrong_; // one line for each kind of fault

    friend bool operator==(const tally&, const tally&) = default;
};

// Compares what callers saw with what the backend servers' journals say.
tally count(const std::vector<support::sent_request>& sent,
            const std::vector<support::journal_entry>& journal);

} // namespace guavahaven::demo
