#include "object_store/watcher.h"

#include "base/log.h"
#include "object_store/objects.h"

namespace guavahaven::object_store {

namespace {

// Shorter than the time within which a configuration must be in force: only the end of the wait shows that
// the answer was lost.
constexpr duration watch_wait = std::chrono::milliseconds(1500);
constexpr duration first_retry_interval = std::chrono::milliseconds(500);
constexpr duration max_retry_interval = std::chrono::seconds(15);
constexpr duration max_first_seeds_delay = std::chrono::milliseconds(300);
constexpr duration max_start_delay = std::chrono::milliseconds(100);
// When a whole fleet restarts at once, its first reads of the configuration are spread over a time that grows
// with the number of stored seeds, a measure of the fleet's size.
constexpr duration max_read_delay_per_seed = std::chrono::milliseconds(35);
constexpr double max_calls_per_second = 1;
constexpr double max_call_burst = 6;

duration random_delay(random_engine& random, duration max_delay)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(max_delay.count()) * random_share(random)));
}

} // namespace

watcher::watcher(event_loop& loop, metrics& counts, const platform_task_settings& settings,
                 std::function<void(decide::control_event)> notify_control)
    : metrics_(counts), notify_control_(std::move(notify_control)), random_(settings.random_seed_),
      store_(loop, settings.platform_), budget_(max_calls_per_second, max_call_burst),
      seeds_(loop, store_, budget_, settings.data_center_, settings.random_seed_, max_first_seeds_delay,
             notify_control_),
      moves_(loop, store_, budget_, settings.random_seed_, notify_control_),
      backoff_(first_retry_interval, max_retry_interval), start_timer_(loop, [this] { read_first(); }),
      read_timer_(loop, [this] { read_configuration(); }), retry_timer_(loop, [this] { retry(); })
{
}

void watcher::start()
{
    start_timer_.arm(random_delay(random_, max_start_delay));
}

void watcher::read_first()
{
    if (!budget_.try_acquire(clock_.now()))
        return retry_timer_.arm(backoff_.next(random_));
    seeds_.read([this](const result<std::size_t>& count) {
        if (!ok(count))
            return handle_read(failure(count));
        seeds_read_ = true;
        read_timer_.arm(random_delay(random_, value(count) * max_read_delay_per_seed));
    });
}

void watcher::read_configuration()
{
    if (!budget_.try_acquire(clock_.now()))
        return retry_timer_.arm(backoff_.next(random_));
    store_.get(configuration_kind, current_name, [this](const result<object>& found) { handle_read(found); });
}

void watcher::watch(bool on)
{
    watching_ = on;
    if (!on)
        return;
    moves_.read(moving_services_);
    watch_next();
}

void watcher::set_moving_services(const std::set<service_name>& services)
{
    moving_services_ = services;
    if (watching_)
        moves_.read(moving_services_);
}

void watcher::watch_next()
{
    if (!watching_ || watch_pending_ || !configuration_read_)
        return;
    watch_pending_ = true;
    store_.watch(configuration_kind, current_name, known_version_, watch_wait,
                 [this](const result<object>& found) {
                     watch_pending_ = false;
                     handle_read(found);
                 });
}

void watcher::handle_read(const result<object>& found)
{
    const bool answered = ok(found) || failure(found).code_ == code::platform_not_found;
    if (answered != reachable_) {
        reachable_ = answered;
        log_info("platform", answered ? "reachable" : "unreachable",
                 answered ? "" : "error=" + to_string(failure(found)));
    }
    metrics_.set_gauge("guavahaven_platform_reachable", answered ? 1 : 0);
    if (ok(found)) {
        known_version_ = value(found).version_;
        const auto record = to_record(value(found).bytes_);
        if (ok(record))
            notify_control_(decide::platform_configuration{value(record)});
        else
            log_warning("platform", "configuration_malformed", to_string(failure(record)));
    }
    notify_control_(decide::platform_read_result{answered});
    if (!answered)
        return retry_timer_.arm(backoff_.next(random_));
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
