#pragma once

// Bounds what retries add to the calls of a service: each first attempt earns
// a share of a retry, each retry spends one. When a service fails as a whole,
// its backend servers see little more than the callers' own requests.

namespace guavahaven::decide {

class retry_budget {
public:
    // share: retries earned by one first attempt.
    void earn(double share);
    // False if the budget is spent.
    bool spend();

private:
    // Retries that a quiet service may make at once, and the most that are saved up.
    static constexpr double most = 10;

    double retries_ = most;
};

} // namespace guavahaven::decide
