#include "decide/entry/exposure_limit.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

// Parts of the bound that a short move may have used at the end of its first stage and of its trial. Most is
// left for the trial, which shows what the first stage can't; the rest is for the watch after it.
constexpr double first_stage_part = 0.35;
constexpr double trial_part = 0.85;
constexpr std::uint32_t short_move_stages = 3;

double usable_part(const move_rule& rule, const move_fact& fact)
{
    if (stage_count(rule, fact) != short_move_stages)
        return 1;
    if (fact.stage_ == 0)
        return first_stage_part;
    return on_trial(rule, fact) ? trial_part : 1;
}

} // namespace

bool exposure_limit::allows(const move_rule& rule, const move_fact& fact, std::size_t entries) const
{
    if (fact.done_ || !rule.bounded())
        return true;
    const double reserve =
        static_cast<double>(rule.exposure_reserve_) / static_cast<double>(std::max<std::size_t>(1, entries));
    const double allowed = rule.exposure_share_ * static_cast<double>(reached_) + reserve;
    return static_cast<double>(new_) + 1 <= usable_part(rule, fact) * allowed + rounding_;
}

} // namespace guavahaven::decide
