#include "decide/entry/retry_budget.h"

#include <algorithm>

namespace guavahaven::decide {

void retry_budget::earn(double share)
{
    retries_ = std::min(max_, retries_ + share);
}

void retry_budget::set_max(double max)
{
    max_ = max;
    retries_ = std::min(retries_, max_);
}

bool retry_budget::spend()
{
    if (retries_ < 1)
        return false;
    retries_ -= 1;
    return true;
}

} // namespace guavahaven::decide
