#include "object_store/move_store.h"

#include <algorithm>

#include "object_store/objects.h"

namespace guavahaven::object_store {

namespace {

constexpr duration retry_first = std::chrono::milliseconds(500);
constexpr duration retry_most = std::chrono::seconds(15);
constexpr std::size_t moves_kept = 8; // facts in the object of a service

std::vector<decide::move_fact> facts_in(const result<object>& found)
{
    if (!ok(found))
        return {};
    const auto facts = to_facts(value(found).bytes_);
    return ok(facts) ? value(facts) : std::vector<decide::move_fact>();
}

} // namespace

move_store::move_store(event_loop& loop, store& objects, call_budget& budget, std::uint64_t seed,
                       std::function<void(decide::control_event)> tell)
    : store_(objects), budget_(budget), random_(seed), tell_(std::move(tell)),
      backoff_(retry_first, retry_most), next_(loop, [this] { write_next(); }),
      read_again_(loop, [this] { read_all(); })
{
}

void move_store::read(const std::set<service_name>& services)
{
    unread_ = services;
    read_all();
}

void move_store::read_all()
{
    for (const service_name& service : unread_)
        store_.get(moves_kind, service.str(), [this, service](const result<object>& found) {
            if (!ok(found) && failure(found).code_ != code::platform_not_found)
                return read_again_.arm(backoff_.next(random_));
            unread_.erase(service);
            tell_(decide::platform_moves{service, facts_in(found)});
        });
}

void move_store::write(const decide::move_fact& fact)
{
    const auto [at, fresh] = unwritten_.try_emplace(fact.id_, fact);
    if (!fresh)
        at->second = decide::merge(at->second, fact);
    if (!writing_)
        write_next();
}

void move_store::write_next()
{
    if (writing_ || unwritten_.empty())
        return;
    if (!budget_.take(clock_.now()))
        return next_.arm(backoff_.next(random_));
    writing_ = true;
    const decide::move_fact fact = unwritten_.begin()->second;
    store_.get(moves_kind, fact.service_.str(),
               [this, fact](const result<object>& found) { join(fact, found); });
}

void move_store::join(const decide::move_fact& fact, const result<object>& found)
{
    if (!ok(found) && failure(found).code_ != code::platform_not_found)
        return settled(fact, false);
    std::vector<decide::move_fact> facts = facts_in(found);
    const auto same = [&](const decide::move_fact& f) { return f.id_ == fact.id_; };
    const auto at = std::find_if(facts.begin(), facts.end(), same);
    const decide::move_fact joined = at == facts.end() ? fact : decide::merge(*at, fact);
    if (at != facts.end() && joined == *at)
        return settled(fact, true); // another daemon wrote it, or an answer was lost after the effect
    if (at == facts.end())
        facts.push_back(joined);
    else
        *at = joined;
    // Facts of several moves are kept: a daemon that lags behind must not push
    // out those of a newer one.
    std::sort(facts.begin(), facts.end(), [](const auto& a, const auto& b) { return a.began_ > b.began_; });
    facts.resize(std::min(facts.size(), moves_kept));
    const std::uint64_t version = ok(found) ? value(found).version_ : 0;
    store_.put(moves_kind, fact.service_.str(), to_bytes(facts), version,
               [this, fact](const result<std::uint64_t>& written) { settled(fact, ok(written)); });
}

void move_store::settled(const decide::move_fact& fact, bool done)
{
    writing_ = false;
    const auto at = unwritten_.find(fact.id_);
    if (done && at != unwritten_.end() && at->second == fact)
        unwritten_.erase(at);
    if (!done)
        return next_.arm(backoff_.next(random_));
    backoff_.reset();
    write_next();
}

} // namespace guavahaven::object_store
