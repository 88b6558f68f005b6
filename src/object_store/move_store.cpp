#include "object_store/move_store.h"

#include <algorithm>

#include "object_store/objects.h"

namespace guavahaven::object_store {

namespace {

constexpr duration first_retry_interval = std::chrono::milliseconds(500);
constexpr duration max_retry_interval = std::chrono::seconds(15);
constexpr std::size_t max_stored_moves = 8; // move facts in the object of a service

std::vector<decide::move_fact> facts_in(const result<object>& found)
{
    if (!ok(found))
        return {};
    const auto facts = to_facts(value(found).bytes_);
    return ok(facts) ? value(facts) : std::vector<decide::move_fact>();
}

} // namespace

move_store::move_store(event_loop& loop, store& objects, token_bucket& budget, std::uint64_t random_seed,
                       std::function<void(decide::control_event)> notify_control)
    : store_(objects), budget_(budget), random_(random_seed), notify_control_(std::move(notify_control)),
      backoff_(first_retry_interval, max_retry_interval), write_timer_(loop, [this] { write_next(); }),
      reread_timer_(loop, [this] { read_all(); })
{
}

void move_store::read(const std::set<service_name>& services)
{
    unread_services_ = services;
    read_all();
}

void move_store::read_all()
{
    for (const service_name& service : unread_services_)
        store_.get(moves_kind, service.str(), [this, service](const result<object>& found) {
            if (!ok(found) && failure(found).code_ != code::platform_not_found)
                return reread_timer_.arm(backoff_.next(random_));
            unread_services_.erase(service);
            notify_control_(decide::platform_moves{service, facts_in(found)});
        });
}

void move_store::write(const decide::move_fact& fact)
{
    const auto [at, is_new] = pending_writes_.try_emplace(fact.id_, fact);
    if (!is_new)
        at->second = decide::merge(at->second, fact);
    if (!writing_)
        write_next();
}

void move_store::write_next()
{
    if (writing_ || pending_writes_.empty())
        return;
    if (!budget_.try_acquire(clock_.now()))
        return write_timer_.arm(backoff_.next(random_));
    writing_ = true;
    const decide::move_fact fact = pending_writes_.begin()->second;
    store_.get(moves_kind, fact.service_.str(),
               [this, fact](const result<object>& found) { join(fact, found); });
}

void move_store::join(const decide::move_fact& fact, const result<object>& found)
{
    if (!ok(found) && failure(found).code_ != code::platform_not_found)
        return finish_write(fact, false);
    std::vector<decide::move_fact> facts = facts_in(found);
    const auto same = [&](const decide::move_fact& f) { return f.id_ == fact.id_; };
    const auto at = std::find_if(facts.begin(), facts.end(), same);
    const decide::move_fact joined = at == facts.end() ? fact : decide::merge(*at, fact);
    if (at != facts.end() && joined == *at)
        return finish_write(
            fact, true); // another daemon wrote it, or an earlier write took effect and its response was lost
    if (at == facts.end())
        facts.push_back(joined);
    else
        *at = joined;
    // The facts of the newest moves are kept, not only the one written here: a daemon that still works on an
    // earlier move of the service must not remove the facts of a newer one.
    std::sort(facts.begin(), facts.end(), [](const auto& a, const auto& b) { return a.began_ > b.began_; });
    facts.resize(std::min(facts.size(), max_stored_moves));
    const std::uint64_t version = ok(found) ? value(found).version_ : 0;
    store_.put(moves_kind, fact.service_.str(), to_bytes(facts), version,
               [this, fact](const result<std::uint64_t>& written) { finish_write(fact, ok(written)); });
}

void move_store::finish_write(const decide::move_fact& fact, bool succeeded)
{
    writing_ = false;
    const auto at = pending_writes_.find(fact.id_);
    if (succeeded && at != pending_writes_.end() && at->second == fact)
        pending_writes_.erase(at);
    if (!succeeded)
        return write_timer_.arm(backoff_.next(random_));
    backoff_.reset();
    write_next();
}

} // namespace guavahaven::object_store
