#include "decide/membership/seeds.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr std::ptrdiff_t seeds_per_data_center = 3;

} // namespace

std::vector<seed> refresh_seeds(const std::vector<seed>& kept, const data_center_name& own,
                                const std::vector<daemon_name>& candidates,
                                const std::set<daemon_name>& absent_before)
{
    const auto near = [&](const seed& s) { return s.data_center_ == own; };
    const auto candidate = [&](const daemon_name& n) {
        return std::find(candidates.begin(), candidates.end(), n) != candidates.end();
    };
    std::vector<seed> wanted = kept;
    std::erase_if(wanted, [&](const seed& s) {
        return near(s) && !candidate(s.daemon_) && absent_before.contains(s.daemon_);
    });
    for (const daemon_name& name : candidates) {
        if (std::count_if(wanted.begin(), wanted.end(), near) >= seeds_per_data_center)
            break;
        const seed added{own, name};
        if (std::find(wanted.begin(), wanted.end(), added) == wanted.end())
            wanted.push_back(added);
    }
    return wanted;
}

} // namespace guavahaven::decide
