#include "platform/watcher.h"

#include <algorithm>

#include "base/log.h"
#include "platform/objects.h"

namespace guavahaven::platform {

namespace {

constexpr duration watch_wait = std::chrono::seconds(20);
constexpr duration retry_least = std::chrono::milliseconds(500);
constexpr duration retry_spread = std::chrono::milliseconds(1500); // random addition to retry_least
constexpr std::ptrdiff_t seeds_most = 4;                           // kept for a data centre
constexpr std::size_t moves_kept = 8;                              // facts in the object of a service

} // namespace

watcher::watcher(event_loop& loop, metrics& counts, const watcher_settings& settings,
                 std::function<void(decide::control_event)> tell)
    : metrics_(counts), settings_(settings), tell_(std::move(tell)), store_(loop, settings.platform_),
      random_(settings.seed_), retry_(loop, [this] { watch_next(); }),
      move_retry_(loop, [this] { retry_moves_now(); })
{
}

void watcher::start()
{
    read_seeds();
    store_.get(configuration_kind, current_name,
               [this](const result<object>& found) { took_configuration(found); });
}

void watcher::read_seeds()
{
    store_.get(seeds_kind, current_name, [this](const result<object>& found) {
        if (!ok(found) && failure(found).code_ != code::platform_not_found)
            return;
        std::vector<decide::seed> known;
        if (ok(found)) {
            const auto read = to_seeds(value(found).bytes_);
            if (ok(read))
                known = value(read);
        }
        std::vector<daemon_name> names;
        for (const decide::seed& s : known)
            names.push_back(s.daemon_);
        tell_(decide::seeds_known{names});
        register_seed(ok(found) ? value(found).version_ : 0, known);
    });
}

void watcher::register_seed(std::uint64_t version, std::vector<decide::seed> known)
{
    const decide::seed own{settings_.data_center_, settings_.self_};
    const bool listed = std::find(known.begin(), known.end(), own) != known.end();
    const auto near = [&](const decide::seed& s) { return s.data_center_ == settings_.data_center_; };
    if (listed || std::count_if(known.begin(), known.end(), near) >= seeds_most)
        return;
    known.push_back(own);
    store_.put(seeds_kind, current_name, to_bytes(known), version,
               [this](const result<std::uint64_t>& written) {
                   // Another daemon registered first: read again, and learn of it.
                   if (!ok(written) && failure(written).code_ == code::platform_conflict)
                       read_seeds();
               });
}

void watcher::watch(bool on)
{
    const bool began = on && !watching_;
    watching_ = on;
    if (began)
        read_unread_moves();
    if (on && !asked_)
        watch_next();
}

void watcher::watch_next()
{
    if (!watching_ || asked_)
        return;
    asked_ = true;
    store_.watch(configuration_kind, current_name, seen_version_, watch_wait,
                 [this](const result<object>& found) {
                     asked_ = false;
                     took_configuration(found);
                 });
}

void watcher::took_configuration(const result<object>& found)
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
    if (answered)
        return watch_next();
    retry_.arm(retry_delay());
}

void watcher::read_moves(const std::set<service_name>& services)
{
    unread_moves_ = services;
    read_unread_moves();
}

void watcher::read_unread_moves()
{
    if (!watching_)
        return;
    for (const service_name& service : unread_moves_) {
        store_.get(moves_kind, service.str(), [this, service](const result<object>& found) {
            if (!ok(found) && failure(found).code_ != code::platform_not_found)
                return retry_moves();
            const auto facts = ok(found) ? to_facts(value(found).bytes_) : std::vector<decide::move_fact>{};
            if (!ok(facts))
                return log_warning("platform", "move_malformed", to_string(failure(facts)));
            unread_moves_.erase(service);
            tell_(decide::platform_moves{service, value(facts)});
        });
    }
}

void watcher::store_move(const decide::move_fact& fact)
{
    const auto [at, fresh] = unwritten_moves_.insert({fact.id_, fact});
    if (!fresh)
        at->second = decide::merge(at->second, fact);
    write_move(at->second);
}

void watcher::write_move(const decide::move_fact& fact)
{
    store_.get(moves_kind, fact.service_.str(), [this, fact](const result<object>& found) {
        if (!ok(found) && failure(found).code_ != code::platform_not_found)
            return move_written(fact, false);
        std::vector<decide::move_fact> facts;
        if (ok(found)) {
            const auto read = to_facts(value(found).bytes_);
            if (ok(read))
                facts = value(read);
        }
        const auto same = [&](const decide::move_fact& f) { return f.id_ == fact.id_; };
        const auto at = std::find_if(facts.begin(), facts.end(), same);
        const decide::move_fact joined = at == facts.end() ? fact : decide::merge(*at, fact);
        if (at != facts.end() && joined == *at)
            return move_written(fact,
                                true); // another daemon wrote it, or an answer was lost after the effect
        if (at == facts.end())
            facts.push_back(joined);
        else
            *at = joined;
        // A daemon that lags behind must not push out the facts of a newer move.
        std::sort(facts.begin(), facts.end(),
                  [](const auto& a, const auto& b) { return a.began_ > b.began_; });
        facts.resize(std::min(facts.size(), moves_kept));
        const std::uint64_t version = ok(found) ? value(found).version_ : 0;
        store_.put(moves_kind, fact.service_.str(), to_bytes(facts), version,
                   [this, fact](const result<std::uint64_t>& written) { move_written(fact, ok(written)); });
    });
}

void watcher::move_written(const decide::move_fact& fact, bool written)
{
    const auto at = unwritten_moves_.find(fact.id_);
    if (written && at != unwritten_moves_.end() && at->second == fact)
        unwritten_moves_.erase(at);
    if (!unwritten_moves_.empty())
        retry_moves();
}

// Reads and writes that failed are tried again, at a random moment so that
// daemons don't return all at once.
void watcher::retry_moves()
{
    if (move_retry_pending_)
        return;
    move_retry_pending_ = true;
    move_retry_.arm(retry_delay());
}

void watcher::retry_moves_now()
{
    move_retry_pending_ = false;
    read_unread_moves();
    const std::map<move_id, decide::move_fact> unwritten = unwritten_moves_;
    for (const auto& [id, fact] : unwritten)
        write_move(fact);
}

duration watcher::retry_delay()
{
    const auto extra = static_cast<double>(retry_spread.count()) * random_share(random_);
    return retry_least + duration(static_cast<std::int64_t>(extra));
}

} // namespace guavahaven::platform
