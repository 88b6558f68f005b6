#include "object_store/watcher.h"

#include "base/log.h"
#include "object_store/objects.h"

namespace guavahaven::object_store {

namespace {

constexpr duration watch_wait = std::chrono::seconds(10);
constexpr duration retry_first = std::chrono::milliseconds(500);
constexpr duration retry_most = std::chrono::seconds(15);
constexpr duration first_seeds_spread = std::chrono::milliseconds(300);
constexpr duration start_spread = std::chrono::milliseconds(100);
// The first reads of a fleet that returns at once are spread by its size, of
// which the number of seeds tells.
constexpr duration read_spread_per_seed = std::chrono::milliseconds(35);
constexpr double calls_per_second = 1;
constexpr double calls_at_once = 6;

duration drawn(random_engine& random, duration most)
{
    return duration(static_cast<duration::rep>(static_cast<double>(most.count()) * random_share(random)));
}

} // namespace

watcher::watcher(event_loop& loop, metrics& counts, const platform_task_settings& settings,
                 std::function<void(decide::control_event)> tell)
    : metrics_(counts), tell_(std::move(tell)), random_(settings.seed_), store_(loop, settings.platform_),
      budget_(calls_per_second, calls_at_once),
      seeds_(loop, store_, budget_, settings.data_center_, settings.seed_, first_seeds_spread, tell_),
      moves_(loop, store_, budget_, settings.seed_, tell_), backoff_(retry_first, retry_most),
      start_(loop, [this] { read_first(); }), read_(loop, [this] { read_configuration(); }),
      retry_(loop, [this] { retry(); })
{
}

void watcher::start()
{
    start_.arm(drawn(random_, start_spread));
}

void watcher::read_first()
{
    if (!budget_.take(clock_.now()))
        return retry_.arm(backoff_.next(random_));
    seeds_.read([this](const result<std::size_t>& count) {
        if (!ok(count))
            return took(failure(count));
        seeds_read_ = true;
        read_.arm(drawn(random_, value(count) * read_spread_per_seed));
    });
}

void watcher::read_configuration()
{
    if (!budget_.take(clock_.now()))
        return retry_.arm(backoff_.next(random_));
    store_.get(configuration_kind, current_name, [this](const result<object>& found) { took(found); });
}

void watcher::watch(bool on)
{
    watching_ = on;
    if (!on)
        return;
    moves_.read(moving_);
    watch_next();
}

void watcher::set_moving(const std::set<service_name>& services)
{
    moving_ = services;
    if (watching_)
        moves_.read(moving_);
}

void watcher::watch_next()
{
    if (!watching_ || asked_ || !configuration_read_)
        return;
    asked_ = true;
    store_.watch(configuration_kind, current_name, seen_version_, watch_wait,
                 [this](const result<object>& found) {
                     asked_ = false;
                     took(found);
                 });
}

void watcher::took(const result<object>& found)
{
    const bool answered = ok(found) || failure(found).code_ == code::platform_not_found;
    if (answered != reachable_) {
        reachable_ = answered;
        log_info("platform", answered ? "reachable" : "unreachable",
                 answered ? "" : "error=" + to_string(failure(found)));
    }
    metrics_.set_gauge("guavahaven_platform_reachable", answered ? 1 : 0);
    if (ok(found)) {
        seen_version_ = value(found).version_;
        const auto record = to_record(value(found).bytes_);
        if (ok(record))
            tell_(decide::platform_configuration{value(record)});
        else
            log_warning("platform", "configuration_malformed", to_string(failure(record)));
    }
    tell_(decide::platform_asked{answered});
    if (!answered)
        return retry_.arm(backoff_.next(random_));
    backoff_.reset();
    configuration_read_ = true;
    watch_next();
}

void watcher::retry()
{
    if (!seeds_read_)
        read_first();
    else if (!configuration_read_)
        read_configuration();
    else
        watch_next();
}

} // namespace guavahaven::object_store
