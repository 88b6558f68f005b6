#pragma once

// Retry budget of one service: each first attempt adds a share of a retry, each
// retry spends one. When the whole service fails, retries add only this share to
// the load on its backend servers.

namespace guavahaven::decide {

class retry_budget {
public:
    // Adds the retries that one first attempt earns (0.1: one retry for ten).
    void earn(double share);
    bool can_spend() const { return retries_ >= 1; }
    // Spends one retry; returns false if less than one is left.
    bool spend();
    // Sets the upper bound of the saved retries. A new budget starts full, so that a
    // service with few requests can retry as well.
    void set_max(double max);

private:
    static constexpr double default_max = 10;

    double max_ = default_max;
    double retries_ = default_max;
};

} // namespace guavahaven::decide
