#include "object_store/seed_keeper.h"

#include <algorithm>

#include "object_store/objects.h"

namespace guavahaven::object_store {

namespace {

constexpr duration max_refresh_delay =
    std::chrono::milliseconds(300); // so that daemons seldom write at the same time
constexpr int max_refresh_tries = 4;

} // namespace

seed_keeper::seed_keeper(event_loop& loop, store& objects, token_bucket& budget, data_center_name own,
                         std::uint64_t random_seed, duration max_first_delay,
                         std::function<void(decide::control_event)> notify_control)
    : store_(objects), budget_(budget), own_(std::move(own)), random_(random_seed),
      max_first_delay_(max_first_delay), notify_control_(std::move(notify_control)),
      refresh_(loop, [this] { refresh(); })
{
}

void seed_keeper::read_object(freshness wanted,
                              std::function<void(result<object>, std::vector<decide::seed>)> handler)
{
    const auto handle = [this, handler = std::move(handler)](const result<object>& found) {
        std::vector<decide::seed> stored;
        if (ok(found))
            if (const auto read = to_seeds(value(found).bytes_); ok(read))
                stored = value(read);
        std::vector<daemon_name> names;
        for (const decide::seed& s : stored)
            if (reported_seeds_.insert(s.daemon_).second)
                names.push_back(s.daemon_);
        if (!names.empty())
            notify_control_(decide::seeds_known{names});
        handler(found, stored);
    };
    store_.get(seeds_kind, current_name, handle, wanted);
}

void seed_keeper::read(std::function<void(result<std::size_t>)> handler)
{
    const auto handle = [handler = std::move(handler)](const result<object>& found,
                                                       const std::vector<decide::seed>& stored) {
        if (!ok(found) && failure(found).code_ != code::platform_not_found)
            return handler(failure(found));
        handler(stored.size());
    };
    read_object(freshness::may_be_stale, handle);
}

void seed_keeper::update(std::vector<daemon_name> candidates)
{
    candidates_ = std::move(candidates);
    tries_left_ = max_refresh_tries;
    const duration max_delay = reported_seeds_.empty() ? max_first_delay_ : max_refresh_delay;
    const double delay = static_cast<double>(max_delay.count()) * random_share(random_);
    refresh_.arm(duration(static_cast<duration::rep>(delay)));
}

void seed_keeper::refresh()
{
    if (tries_left_-- <= 0 || !budget_.try_acquire(clock_.now()))
        return; // the control task asks again at its next check of the seeds
    const auto write_if_changed = [this](const result<object>& found,
                                         const std::vector<decide::seed>& stored) {
        if (!ok(found) && failure(found).code_ != code::platform_not_found)
            return;
        const std::vector<decide::seed> wanted =
            decide::refresh_seeds(stored, own_, candidates_, std::exchange(previous_non_candidates_, {}));
        for (const decide::seed& s : stored)
            if (s.data_center_ == own_ &&
                std::find(candidates_.begin(), candidates_.end(), s.daemon_) == candidates_.end())
                previous_non_candidates_.insert(s.daemon_);
        if (wanted == stored)
            return;
        const std::uint64_t version = ok(found) ? value(found).version_ : 0;
        store_.put(seeds_kind, current_name, to_bytes(wanted), version,
                   [this](const result<std::uint64_t>& written) {
                       // Another daemon wrote first, or the answer was lost: read again.
                       if (!ok(written))
                           refresh_.arm(max_refresh_delay);
                   });
    };
    read_object(freshness::latest, write_if_changed);
}

} // namespace guavahaven::object_store
