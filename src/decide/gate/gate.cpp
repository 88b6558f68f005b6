#include "decide/gate/gate.h"

#include <algorithm>

#include "base/guards.h"
#include "base/hash.h"

namespace guavahaven::decide {

namespace {

constexpr duration refusal_lead = std::chrono::milliseconds(25); // for it to reach the caller in time
constexpr int late_wait = 2; // times the estimate, as others go before a call that is late already
constexpr std::uint32_t cold_rate_unstated = 10; // requests a second that a cold backend server bears
constexpr std::size_t waiters_most = 8;          // attempts that share the answer of one run
constexpr std::uint64_t first_configuration = 1;

} // namespace

gate::gate(daemon_name self, incarnation started, data_center_name data_center, time_point now)
    : self_(std::move(self)), started_(started), data_center_(std::move(data_center)), made_(now),
      registry_(now)
{
}

gate_actions gate::handle(const gate_event& event, time_point now)
{
    std::visit([&](const auto& e) { on(e, now); }, event);
    return std::exchange(actions_, {});
}

bool gate::busy() const
{
    return !running_.empty() || !waiting_.empty() || !claiming_.empty();
}

bool gate::serving() const
{
    return backend_ && !backend_->draining_ && !stopping_;
}

load_report gate::load() const
{
    return {static_cast<std::uint32_t>(running_.size()), static_cast<std::uint32_t>(waiting_.size()),
            cold_ ? std::min(limit_.value(), cold_limit()) : limit_.value()};
}

// Runs at once that the rate of a cold backend server comes to.
std::uint32_t gate::cold_limit() const
{
    const double mean = std::chrono::duration<double>(limit_.mean_run()).count();
    return static_cast<std::uint32_t>(std::max(1.0, mean * cold_rate()));
}

std::uint32_t gate::cold_rate() const
{
    const service_rule* rule = backend_ && view_ && view_->configuration_
                                   ? view_->configuration_->find_service(backend_->service_)
                                   : nullptr;
    return rule && rule->cold_ ? rule->cold_->per_second_ : cold_rate_unstated;
}

bool gate::has_room(time_point now) const
{
    if (!backend_ || !backend_->cold_left_)
        return limit_.admits(running_.size(), now);
    return running_.size() < limit_.value() && pace_.admits(cold_rate(), now);
}

std::vector<evidence> gate::collect_evidence(time_point now)
{
    if (!backend_ || !view_ || !view_->configuration_)
        return {};
    return evidence_.collect(*view_->configuration_, {backend_->service_, backend_->version_, load()}, now);
}

void gate::on(const backend_announced& e, time_point now)
{
    const bool fresh = !backend_ || backend_->version_ != e.version_ || backend_->service_ != e.service_ ||
                       backend_->start_ != e.start_;
    if (e.cold_left_) {
        limit_.state(e.slots_, e.connections_);
        pace_.stated(*e.cold_left_, now);
        if (e.older_ && backend_start_ == 0)
            pace_.follow_another(made_);
    }
    else {
        limit_.set_most(e.slots_, e.connections_);
    }
    if (fresh)
        limit_.cold_start(now);
    const bool restarted = e.start_ != backend_start_ && backend_start_ != 0;
    for (const held_call& held : std::exchange(broken_off_, {}))
        if (restarted)
            note_crash(held, now);
    backend_ = e;
    cold_ = pace_.cold(now);
    if (fresh)
        divide_limits(now);
    backend_start_ = e.start_;
    if (!e.draining_)
        return;
    for (const held_call& held : waiting_.take_all())
        refuse(held, code::draining, now);
}

void gate::on(const backend_lost&, time_point now)
{
    lose_backend(now);
}

void gate::lose_backend(time_point now)
{
    backend_.reset();
    for (const held_call& held : waiting_.take_all())
        refuse(held, code::backend_unreachable, now);
}

void gate::on(const stop_requested&, time_point now)
{
    stopping_ = true;
    for (const held_call& held : waiting_.take_all())
        refuse(held, code::draining, now);
}

void gate::on(const call_message& e, time_point now)
{
    std::visit(guavahaven::overloaded{
                   [&](const call& c) { take_call(e.from_, c, now); },
                   [&](const cancel& c) { take_cancel(e.from_, c, now); },
                   [&](const answer_taken& t) { take_progress(e.from_, t); },
                   [&](const fence& f) { take_fence(e.from_, f, now); },
               },
               e.message_);
}

bool gate::out() const
{
    return view_ && view_->configuration_ && view_->configuration_->find_out(data_center_);
}

// A call for any version is not for the one that a move brings in, before it is done.
bool gate::serves(const version_name& version) const
{
    if (version.str() != any_version || !view_ || !view_->configuration_)
        return backend_->version_ == version;
    if (view_->abandoned_.contains({backend_->service_, backend_->version_}))
        return false;
    const move_rule* move = view_->configuration_->find_move(backend_->service_);
    if (!move)
        return true;
    const move_fact* fact = view_->find_move(move->id());
    const bool done = fact && fact->done_ && !fact->withdrawn_;
    return done == (backend_->version_ == move->version_);
}

code gate::admission(const call& c) const
{
    if (stopping_)
        return code::draining;
    if (!backend_ || backend_->service_ != c.service_)
        return code::no_backend_server;
    if (backend_->draining_ && guarded(guard::drain_refusal))
        return code::draining;
    if (!serves(c.version_))
        return code::not_run;
    if (!view_ || !view_->configuration_)
        return code::starting;
    if (out() && guarded(guard::out_refusal))
        return code::data_center_out;
    const move_rule* move = view_->configuration_->find_move(c.service_);
    const move_fact* fact = move ? view_->find_move(move->id()) : nullptr;
    if (fact && fact->withdrawn_ && fact->version_ == backend_->version_ && guarded(guard::withdrawn_refusal))
        return code::version_withdrawn;
    return code::ok;
}

void gate::take_call(const daemon_name& from, const call& c, time_point now)
{
    const call_key key{from, c.id_};
    // An attempt that is known comes first: a refusal must not be said of one that runs.
    if (take_again(key))
        return;
    if (c.gate_ != started_)
        return refuse(key, code::not_run, now);
    if (c.remaining_ <= duration::zero())
        return refuse(key, code::deadline_exceeded, now);
    if (const code why = admission(c); why != code::ok)
        return refuse(key, why, now);
    if (guarded(guard::once_memory) && take_repeat(key, c, now))
        return;

    if (const code why = suspicion(c); why != code::ok)
        return refuse(key, why, now);

    held_call held = make_held(key, c, now);
    held.call_.version_ = backend_->version_;
    if (too_late(held, now))
        return refuse(key, code::overloaded, now);
    const auto count = [this](const std::optional<class_name>& of) { return held_count(of); };
    if (!limiter_.admit(c.class_, count, now))
        return refuse(key, code::limit_reached, now);
    if (c.once_ && !remember_once(held) && guarded(guard::once_memory))
        return refuse(key, code::overloaded, now);
    send(from, receipt{c.id_});
    if (c.once_ && c.keyed_ && guarded(guard::once_memory))
        return claim_key(std::move(held), now);
    enqueue(std::move(held), now);
}

void gate::divide_limits(time_point now)
{
    if (view_ && backend_)
        limiter_.set_view(*view_, backend_->service_, self_, now);
}

std::size_t gate::held_count(const std::optional<class_name>& of) const
{
    if (!of)
        return claiming_.size() + waiting_.size() + running_.size();
    const auto claims = std::count_if(claiming_.begin(), claiming_.end(),
                                      [&](const auto& c) { return c.second.held_.call_.class_ == *of; });
    const auto runs = std::count_if(running_.begin(), running_.end(),
                                    [&](const auto& r) { return r.second.call_.class_ == *of; });
    return static_cast<std::size_t>(claims + runs) + waiting_.count_of(*of);
}

bool gate::take_again(const call_key& key)
{
    if (find_held(key)) {
        send(key.entry_, receipt{key.id_});
        return true;
    }
    const std::optional<fate> known = calls_.find(key);
    if (!known)
        return false;
    if (*known == fate::never_ran)
        send(key.entry_, refusal{key.id_, code::not_run, load(), 0});
    if (*known == fate::unknown)
        send(key.entry_, broken{key.id_, code::outcome_unknown, load()});
    return true;
}

bool gate::take_repeat(const call_key& key, const call& c, time_point now)
{
    if (!c.once_)
        return false;
    const std::string identity = scoped_identity(c);
    const known_run* known = keys_.find(identity);
    if (!known)
        return false;
    held_call* held = known->ended_ ? nullptr : find_held_identity(identity);
    const bool shares = held && !held->answering_ && held->waiters_.size() < waiters_most &&
                        known->fingerprint_ == fingerprint(c.request_);
    if (shares) {
        held->waiters_.push_back({key, false, 0});
        send(key.entry_, receipt{key.id_});
        return true;
    }
    if (known->ended_ && known->status_ == 0) {
        calls_.note_never_runs(key, now);
        send(key.entry_, broken{key.id_, code::outcome_unknown, load()});
        return true;
    }
    refuse(key, code::duplicate_request, now, known->status_);
    return true;
}

held_call gate::make_held(const call_key& key, const call& c, time_point now) const
{
    held_call held;
    held.waiters_.push_back({key, false, 0});
    held.call_ = c;
    held.deadline_ = now + c.remaining_;
    held.useful_until_ = held.deadline_;
    const class_rule* rule = view_->configuration_->find_class(c.class_);
    if (!rule)
        return held;
    // Of the least urgent, what would be late takes the room of what could be in
    // time: it is refused at once. The others wait as long as they may.
    if (rule->objective_ > duration::zero() && rule->priority_ == view_->configuration_->least_urgent()) {
        held.late_ = c.waited_ >= rule->objective_;
        if (!held.late_)
            held.useful_until_ = std::min(held.deadline_, now + rule->objective_ - c.waited_);
    }
    held.shed_ = rule->shed_;
    held.keep_ = rule->keep_;
    held.weight_ = rule->weight_;
    held.priority_ = rule->priority_ + (held.late_ ? 1 : 0); // those that can be in time go first
    return held;
}

bool gate::remember_once(const held_call& held)
{
    known_run run;
    run.attempt_ = held.waiters_.front().key_;
    run.request_ = held.call_.request_number_;
    run.fingerprint_ = fingerprint(held.call_.request_);
    run.until_ = held.deadline_ + remember_identity;
    return keys_.begin(scoped_identity(held.call_), run);
}

bool gate::too_late(const held_call& held, time_point now) const
{
    if (now >= held.deadline_)
        return true;
    if (held.keep_ || (waiting_.empty() && has_room(now)))
        return false;
    const auto before = static_cast<duration::rep>(waiting_.ahead_of(held.shed_, held.priority_) + 1);
    duration wait = limit_.mean_run() * before / std::max<duration::rep>(1, limit_.value());
    if (cold_)
        wait =
            std::max<duration>(wait, pace_.closed_for(now) + std::chrono::seconds(1) * before / cold_rate());
    if (held.late_)
        wait *= late_wait;
    return now + wait + limit_.mean_run(held.call_.route_) > held.useful_until_;
}

void gate::enqueue(held_call held, time_point now)
{
    for (const held_call& refused : waiting_.push(std::move(held)))
        refuse(refused, code::overloaded, now);
    start_waiting(now);
}

void gate::start_waiting(time_point now)
{
    while (!waiting_.empty() && has_room(now)) {
        held_call next = std::move(*waiting_.pop());
        if (next.deadline_ <= now)
            refuse(next, code::deadline_exceeded, now);
        else if (const code why = admission(next.call_); why != code::ok)
            refuse(next, why, now);
        else if (const code suspect = suspicion(next.call_); suspect != code::ok)
            refuse(next, suspect, now);
        else
            start(std::move(next), now);
    }
}

void gate::start(held_call held, time_point now)
{
    last_run_ = last_run_.next();
    limit_.started(last_run_, running_.size());
    pace_.began(now);
    held.started_ = now;
    actions_.push_back(
        start_run{last_run_, held.call_.id_, held.call_.request_, held.deadline_ - now, backend_->instance_});
    evidence_.run_started(last_run_, held.call_, *view_->configuration_, now);
    running_.emplace(last_run_, std::move(held));
}

void gate::on(const gate_view_changed& e, time_point now)
{
    const bool was_out = out();
    view_ = e.view_;
    divide_limits(now);
    if (was_out && !out()) {
        limit_.cold_start(now); // what was warm there has cooled down
        pace_.assume(now);
    }
    const configuration_ptr& c = view_->configuration_;
    if (c && c->number_.value() == first_configuration && c->written_at_ > started_.value())
        registry_.set_complete();
}

void gate::on(const gate_tick&, time_point now)
{
    cold_ = pace_.cold(now) && backend_ && backend_->cold_left_;
    for (const held_call& held : waiting_.take_expired(now + refusal_lead))
        refuse(held, code::deadline_exceeded, now);
    tend_claims(now);
    tell_homes_again(now);
    start_waiting(now);
    calls_.forget(now);
    keys_.forget(now);
    registry_.forget(now);
    suspects_.forget(now);
}

void gate::refuse(const held_call& held, code why, time_point now, int earlier_status)
{
    withdraw(held, now);
    answer_all(held, [&](call_id id) { return refusal{id, why, load(), earlier_status}; });
}

void gate::refuse(const call_key& key, code why, time_point now, int earlier_status)
{
    calls_.note_never_runs(key, now);
    send(key.entry_, refusal{key.id_, why, load(), earlier_status});
}

void gate::withdraw(const held_call& held, time_point now)
{
    for (const held_call::waiter& w : held.waiters_)
        calls_.note_never_runs(w.key_, now);
    if (held.call_.once_)
        keys_.withdraw(scoped_identity(held.call_));
    tell_homes(held, false, 0, now);
}

void gate::answer_all(const held_call& held, const std::function<gate_to_entry(call_id)>& make)
{
    for (const held_call::waiter& w : held.waiters_)
        if (!w.gone_)
            send(w.key_.entry_, make(w.key_.id_));
}

void gate::send(const daemon_name& to, gate_to_entry message)
{
    actions_.push_back(send_to_entry{to, std::move(message)});
}

} // namespace guavahaven::decide
