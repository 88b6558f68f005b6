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
    // Retries that a quiet service may make at once, and the most that are saved up.
    void set_most(double most);

private:
    static constexpr double usual_most = 10;

    double most_ = usual_most;
    double retries_ = usual_most;
};

} // namespace guavahaven::decide
