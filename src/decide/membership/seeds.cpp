#include "decide/membership/seeds.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr std::ptrdiff_t max_seeds_per_data_center = 3;

} // namespace

std::vector<seed> refresh_seeds(const std::vector<seed>& stored, const data_center_name& own_data_center,
                                const std::vector<daemon_name>& candidates,
                                const std::set<daemon_name>& absent_at_last_check)
{
    const auto is_local = [&](const seed& s) { return s.data_center_ == own_data_center; };
    const auto is_candidate = [&](const daemon_name& n) {
        return std::find(candidates.begin(), candidates.end(), n) != candidates.end();
    };
    std::vector<seed> updated = stored;
    std::erase_if(updated, [&](const seed& s) {
        return is_local(s) && !is_candidate(s.daemon_) && absent_at_last_check.contains(s.daemon_);
    });
    for (const daemon_name& name : candidates) {
        if (std::count_if(updated.begin(), updated.end(), is_local) >= max_seeds_per_data_center)
            break;
        const seed added{own_data_center, name};
        if (std::find(updated.begin(), updated.end(), added) == updated.end())
            updated.push_back(added);
    }
    return updated;
}

} // namespace guavahaven::decide
