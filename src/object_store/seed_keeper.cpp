#include "object_store/seed_keeper.h"

#include <algorithm>

#include "object_store/objects.h"

namespace guavahaven::object_store {

namespace {

constexpr duration refresh_spread = std::chrono::milliseconds(300); // so that writers seldom meet
constexpr int refresh_tries = 4;

} // namespace

seed_keeper::seed_keeper(event_loop& loop, store& objects, call_budget& budget, data_center_name own,
                         std::uint64_t seed, duration first_spread,
                         std::function<void(decide::control_event)> tell)
    : store_(objects), budget_(budget), own_(std::move(own)), random_(seed), first_spread_(first_spread),
      tell_(std::move(tell)), refresh_(loop, [this] { refresh(); })
{
}

void seed_keeper::read_object(freshness wanted,
                              std::function<void(result<object>, std::vector<decide::seed>)> handler)
{
    const auto take = [this, handler = std::move(handler)](const result<object>& found) {
        std::vector<decide::seed> kept;
        if (ok(found))
            if (const auto read = to_seeds(value(found).bytes_); ok(read))
                kept = value(read);
        std::vector<daemon_name> names;
        for (const decide::seed& s : kept)
            if (told_.insert(s.daemon_).second)
                names.push_back(s.daemon_);
        if (!names.empty())
            tell_(decide::seeds_known{names});
        handler(found, kept);
    };
    store_.get(seeds_kind, current_name, take, wanted);
}

void seed_keeper::read(std::function<void(result<std::size_t>)> handler)
{
    const auto take = [handler = std::move(handler)](const result<object>& found,
                                                     const std::vector<decide::seed>& kept) {
        if (!ok(found) && failure(found).code_ != code::platform_not_found)
            return handler(failure(found));
        handler(kept.size());
    };
    read_object(freshness::may_be_old, take);
}

void seed_keeper::keep(std::vector<daemon_name> candidates)
{
    candidates_ = std::move(candidates);
    tries_left_ = refresh_tries;
    const duration most = told_.empty() ? first_spread_ : refresh_spread;
    const double spread = static_cast<double>(most.count()) * random_share(random_);
    refresh_.arm(duration(static_cast<duration::rep>(spread)));
}

void seed_keeper::refresh()
{
    if (tries_left_-- <= 0 || !budget_.take(clock_.now()))
        return; // the next check comes soon enough
    const auto renew = [this](const result<object>& found, const std::vector<decide::seed>& kept) {
        if (!ok(found) && failure(found).code_ != code::platform_not_found)
            return;
        const std::vector<decide::seed> wanted =
            decide::refresh_seeds(kept, own_, candidates_, std::exchange(absent_, {}));
        for (const decide::seed& s : kept)
            if (s.data_center_ == own_ &&
                std::find(candidates_.begin(), candidates_.end(), s.daemon_) == candidates_.end())
                absent_.insert(s.daemon_);
        if (wanted == kept)
            return;
        const std::uint64_t version = ok(found) ? value(found).version_ : 0;
        store_.put(seeds_kind, current_name, to_bytes(wanted), version,
                   [this](const result<std::uint64_t>& written) {
                       // Another daemon wrote first, or the answer was lost: read again.
                       if (!ok(written))
                           refresh_.arm(refresh_spread);
                   });
    };
    read_object(freshness::latest, renew);
}

} // namespace guavahaven::object_store
