#pragma once

// Callers that send requests at a fixed rate whatever the answers do, from a
// thread in the background, and what became of each.

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "support/mesh.h"

namespace guavahaven::support {

struct paced_kind {
    std::string class_;
    http::request request_;
    duration deadline_ = std::chrono::seconds(1); // later answers are late
};

struct paced_plan {
    std::vector<http::address> entries_; // in turn
    std::vector<paced_kind> kinds_;      // in turn
    double per_second_ = 100;
    std::string keys_ = "load"; // start of the idempotency keys
};

struct paced_outcome {
    std::size_t kind_ = 0;  // index into the plan's kinds
    std::size_t entry_ = 0; // index into the plan's entries
    std::string key_;
    std::uint64_t sent_at_ = 0; // microseconds since 1970
    duration took_{};
    int status_ = 0; // 0: no whole answer came
    code result_ = code::peer_unreachable;
};

class paced_load {
public:
    explicit paced_load(paced_plan plan);
    ~paced_load();
    paced_load(const paced_load&) = delete;
    paced_load& operator=(const paced_load&) = delete;

    // Sends no more, waits for the answers still due; all outcomes.
    std::vector<paced_outcome> stop();

private:
    void run();

    paced_plan plan_;
    std::vector<paced_outcome> outcomes_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace guavahaven::support
