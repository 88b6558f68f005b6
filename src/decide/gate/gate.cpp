#include "decide/gate/gate.h"

#include <algorithm>

#include "base/guards.h"
#include "base/hash.h"
#include "decide/configuration/first_configuration.h"

namespace guavahaven::decide {

namespace {

constexpr duration refusal_lead_time =
    std::chrono::milliseconds(25);  // so that the refusal reaches the caller before its deadline
constexpr int late_wait_factor = 2; // more urgent calls overtake a late one, so its estimated wait is doubled
constexpr std::uint32_t default_cold_requests_per_second = 10; // if the rules state none for the service
constexpr std::size_t max_waiters = 8;                         // attempts that share the response of one run

} // namespace

gate::gate(daemon_name self, incarnation started, data_center_name data_center, time_point now,
           double link_bytes_per_second)
    : self_(std::move(self)), started_(started), data_center_(std::move(data_center)), created_at_(now),
      bodies_(link_bytes_per_second), key_replica_(now)
{
}

gate_actions gate::handle(const gate_event& event, time_point now)
{
    std::visit([&](const auto& e) { on(e, now); }, event);
    return std::exchange(actions_, {});
}

bool gate::busy() const
{
    return !running_.empty() || !waiting_.empty() || !claiming_.empty() || !bodies_.empty();
}

bool gate::serving() const
{
    return backend_ && !backend_->draining_ && !stopping_;
}

load_report gate::load() const
{
    return {static_cast<std::uint32_t>(running_.size()),
            static_cast<std::uint32_t>(waiting_.size() + bodies_.size()), rate_bound_concurrency()};
}

std::uint32_t gate::rate_bound_concurrency() const
{
    const std::optional<double> rate = rate_limit();
    if (!rate)
        return limit_.value();
    const double mean = std::chrono::duration<double>(limit_.mean_run()).count();
    return static_cast<std::uint32_t>(std::clamp<double>(mean * *rate, 1, std::max(1U, limit_.value())));
}

std::optional<double> gate::rate_limit() const
{
    const std::optional<double> stated = stated_limiter_.rate();
    if (!cold_)
        return stated;
    return std::min<double>(cold_rate(), stated.value_or(cold_rate()));
}

std::uint32_t gate::cold_rate() const
{
    const service_rule* rule = backend_ && view_ ? view_->find_service(backend_->service_) : nullptr;
    return rule && rule->cold_ ? rule->cold_->per_second_ : default_cold_requests_per_second;
}

bool gate::has_room(time_point now) const
{
    if (!stated_limiter_.admits(now))
        return false;
    if (!backend_ || !backend_->cold_left_)
        return limit_.admits(running_.size(), now);
    return running_.size() < limit_.value() && cold_limiter_.admits(cold_rate(), now);
}

std::vector<version_stats> gate::collect_version_stats(time_point now)
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
        limit_.set_fixed(e.slots_, e.connections_);
        cold_limiter_.set_cold_left(*e.cold_left_, now);
        if (e.predates_daemon_ && backend_start_ == 0)
            cold_limiter_.block_after(created_at_);
    }
    else {
        limit_.set_max(e.slots_, e.connections_);
    }
    if (fresh) {
        limit_.cold_start(now);
        stated_limiter_.set_rate({}, now);
    }
    const bool restarted = e.start_ != backend_start_ && backend_start_ != 0;
    for (const held_call& held : std::exchange(possible_crashes_, {}))
        if (restarted)
            record_crash(held, now);
    backend_ = e;
    cold_ = cold_limiter_.cold(now);
    if (fresh)
        divide_limits(now);
    backend_start_ = e.start_;
    if (e.draining_)
        refuse_waiting(code::draining, now);
}

void gate::on(const backend_stated_limit& e, time_point now)
{
    stated_limiter_.set_rate(e.per_second_, now);
    start_waiting(now);
}

void gate::on(const backend_lost&, time_point now)
{
    clear_backend(now);
}

void gate::clear_backend(time_point now)
{
    backend_.reset();
    refuse_waiting(code::backend_unreachable, now);
}

void gate::on(const stop_requested&, time_point now)
{
    stopping_ = true;
    refuse_waiting(code::draining, now);
}

void gate::on(const call_message& e, time_point now)
{
    std::visit(guavahaven::overloaded{
                   [&](const call& c) { handle_call(e.from_, c, now); },
                   [&](const cancel& c) { handle_cancel(e.from_, c, now); },
                   [&](const body_part& p) { handle_body_part(e.from_, p, now); },
                   [&](const answer_consumed& t) { handle_answer_progress(e.from_, t); },
                   [&](const fence& f) { handle_fence(e.from_, f, now); },
               },
               e.message_);
}

bool gate::out() const
{
    return view_ && view_->configuration_ && view_->configuration_->find_out(data_center_);
}

// Until a move is done, a call for any version runs on the old version only; afterwards on the new one only.
bool gate::serves(const version_name& version) const
{
    if (version.str() != any_version || !view_ || !view_->configuration_)
        return backend_->version_ == version;
    if (view_->abandoned_versions_.contains({backend_->service_, backend_->version_}))
        return false;
    const move_rule* move = view_->configuration_->find_move(backend_->service_);
    if (!move)
        return true;
    const move_fact* fact = view_->find_move(move->id());
    const bool done = fact && fact->done_ && !fact->withdrawn_;
    return done == (backend_->version_ == move->version_);
}

code gate::check_admission(const call& c) const
{
    if (stopping_)
        return code::draining;
    if (!backend_ || backend_->service_ != c.service_)
        return code::no_backend_server;
    if (backend_->draining_ && guard_enabled(guard::drain_refusal))
        return code::draining;
    if (!serves(c.version_))
        return code::not_run;
    if (!view_ || !view_->configuration_)
        return code::starting;
    if (out() && guard_enabled(guard::out_refusal))
        return code::data_center_out;
    const move_rule* move = view_->configuration_->find_move(c.service_);
    const move_fact* fact = move ? view_->find_move(move->id()) : nullptr;
    if (fact && fact->withdrawn_ && fact->version_ == backend_->version_ &&
        guard_enabled(guard::withdrawn_refusal))
        return code::version_withdrawn;
    return code::ok;
}

void gate::handle_call(const daemon_name& from, const call& c, time_point now)
{
    const call_key key{from, c.id_};
    // Known attempts are checked first: one that is running must not be refused as 'not run'.
    if (handle_known_attempt(key))
        return;
    if (c.gate_ != started_)
        return refuse(key, code::not_run, now);
    if (c.remaining_ <= duration::zero())
        return refuse(key, code::deadline_exceeded, now);
    if (const code why = check_admission(c); why != code::ok)
        return refuse(key, why, now);
    if (guard_enabled(guard::once_memory) && handle_known_request(key, c, now))
        return;

    if (const code why = check_suspect(c); why != code::ok)
        return refuse(key, why, now);

    held_call held = make_held(key, c, now);
    held.call_.version_ = backend_->version_;
    const bool in_parts = c.body_bytes_ > c.request_.body_.size();
    if (too_late(held, now) || (in_parts && !bodies_.has_room(c.body_bytes_)))
        return refuse(key, code::overloaded, now);
    const auto count = [this](const std::optional<class_name>& of) { return held_count(of); };
    if (!limiter_.admit(c.class_, count, now))
        return refuse(key, code::limit_reached, now);
    if (c.once_ && !record_identity(held) && guard_enabled(guard::once_memory))
        return refuse(key, code::overloaded, now);
    send(from, call_ack{c.id_});
    if (!in_parts)
        return claim_or_enqueue(std::move(held), now);
    bodies_.add(std::move(held), now);
    grant_body_parts(now);
}

void gate::claim_or_enqueue(held_call held, time_point now)
{
    if (held.call_.once_ && held.call_.keyed_ && guard_enabled(guard::once_memory))
        return claim_key(std::move(held), now);
    enqueue(std::move(held), now);
}

void gate::grant_body_parts(time_point now)
{
    for (const body_receiver::grant& g : bodies_.next_grants(now))
        send(g.entry_, g.part_);
}

void gate::handle_body_part(const daemon_name& from, const body_part& p, time_point now)
{
    std::optional<held_call> whole = bodies_.receive({from, p.id_}, p.offset_, p.bytes_, now);
    grant_body_parts(now);
    if (!whole)
        return;
    if (too_late(*whole, now))
        return refuse(*whole, code::overloaded, now);
    claim_or_enqueue(std::move(*whole), now);
}

void gate::divide_limits(time_point now)
{
    if (view_ && backend_)
        limiter_.set_view(*view_, backend_->service_, self_, now);
}

std::size_t gate::held_count(const std::optional<class_name>& of) const
{
    if (!of)
        return bodies_.size() + claiming_.size() + waiting_.size() + running_.size();
    const auto claims = std::count_if(claiming_.begin(), claiming_.end(),
                                      [&](const auto& c) { return c.second.held_.call_.class_ == *of; });
    const auto runs = std::count_if(running_.begin(), running_.end(),
                                    [&](const auto& r) { return r.second.call_.class_ == *of; });
    return static_cast<std::size_t>(claims + runs) + waiting_.count_of(*of) + bodies_.count_of(*of);
}

bool gate::handle_known_attempt(const call_key& key)
{
    if (find_held(key)) {
        send(key.entry_, call_ack{key.id_});
        return true;
    }
    const std::optional<run_status> known = finished_attempts_.find(key);
    if (!known)
        return false;
    if (*known == run_status::never_ran)
        send(key.entry_, refusal{key.id_, code::not_run, load(), 0});
    if (*known == run_status::unknown)
        send(key.entry_, run_failure{key.id_, code::outcome_unknown, load()});
    return true;
}

bool gate::handle_known_request(const call_key& key, const call& c, time_point now)
{
    if (!c.once_)
        return false;
    const std::string identity = scoped_identity(c);
    const idempotency_record* known = records_.find(identity);
    if (!known)
        return false;
    held_call* held = known->ended_ ? nullptr : find_held_identity(identity);
    const bool shares = held && !held->answer_started_ && held->waiters_.size() < max_waiters &&
                        known->fingerprint_ == fingerprint(c.request_);
    if (shares) {
        held->waiters_.push_back({key, false, 0});
        send(key.entry_, call_ack{key.id_});
        return true;
    }
    if (known->ended_ && known->status_ == 0) {
        finished_attempts_.record_never_runs(key, now);
        send(key.entry_, run_failure{key.id_, code::outcome_unknown, load()});
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
    // In the least urgent priority a call that would miss the objective of its class is refused early, as it
    // would take the place of one that can still meet it. Calls of other priorities may wait until their
    // deadline.
    if (rule->objective_ > duration::zero() &&
        rule->priority_ == view_->configuration_->max_priority_number()) {
        held.late_ = c.waited_ >= rule->objective_;
        if (!held.late_)
            held.useful_until_ = std::min(held.deadline_, now + rule->objective_ - c.waited_);
    }
    held.shed_ = rule->shed_;
    held.keep_ = rule->keep_;
    held.weight_ = rule->weight_;
    held.priority_ = rule->priority_ + (held.late_ ? 1 : 0); // those in time for the objective first
    return held;
}

bool gate::record_identity(const held_call& held)
{
    idempotency_record run;
    run.attempt_ = held.waiters_.front().key_;
    run.request_ = held.call_.request_number_;
    run.fingerprint_ = fingerprint(held.call_.request_);
    run.until_ = held.deadline_ + identity_retention;
    return records_.record_start(scoped_identity(held.call_), run);
}

bool gate::too_late(const held_call& held, time_point now) const
{
    const std::uint64_t missing_bytes =
        held.call_.body_bytes_ -
        std::min<std::uint64_t>(held.call_.body_bytes_, held.call_.request_.body_.size());
    const duration transfer = missing_bytes > 0 ? bodies_.transfer_time(missing_bytes) : duration::zero();
    if (now + transfer >= held.deadline_)
        return true;
    if (held.keep_ || (waiting_.empty() && has_room(now)))
        return false;
    const auto before = static_cast<duration::rep>(waiting_.ahead_of(held.shed_, held.priority_) + 1);
    duration wait = limit_.mean_run() * before / std::max<duration::rep>(1, limit_.value());
    if (const std::optional<double> rate = rate_limit()) {
        const duration blocked = cold_ ? cold_limiter_.blocked_for(now) : duration::zero();
        const std::chrono::duration<double> turn(static_cast<double>(before) / *rate);
        wait = std::max<duration>(wait, blocked + std::chrono::duration_cast<duration>(turn));
    }
    if (held.late_)
        wait *= late_wait_factor;
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
        else if (const code why = check_admission(next.call_); why != code::ok)
            refuse(next, why, now);
        else if (const code suspect = check_suspect(next.call_); suspect != code::ok)
            refuse(next, suspect, now);
        else
            start(std::move(next), now);
    }
}

void gate::start(held_call held, time_point now)
{
    last_run_ = last_run_.next();
    limit_.started(last_run_, running_.size());
    cold_limiter_.record_start(now);
    stated_limiter_.record_start(now);
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
        limit_.cold_start(now); // idle while the data centre was out, the backend server may be cold again
        cold_limiter_.assume_cold(now);
    }
    const configuration_ptr& c = view_->configuration_;
    if (c && started_before_first_request(started_, *c))
        key_replica_.set_complete();
}

void gate::on(const gate_tick&, time_point now)
{
    cold_ = cold_limiter_.cold(now) && backend_ && backend_->cold_left_;
    for (const held_call& held : waiting_.extract_expired(now + refusal_lead_time))
        refuse(held, code::deadline_exceeded, now);
    for (const held_call& held : bodies_.extract_expired(now + refusal_lead_time))
        refuse(held, code::deadline_exceeded, now);
    grant_body_parts(now);
    check_claim_timeouts(now);
    resend_outcomes(now);
    start_waiting(now);
    finished_attempts_.forget_expired(now);
    records_.forget_expired(now);
    key_replica_.forget_expired(now);
    crash_suspects_.forget_expired(now);
}

void gate::refuse_waiting(code why, time_point now)
{
    for (const held_call& held : waiting_.extract_all())
        refuse(held, why, now);
    for (const held_call& held : bodies_.extract_all())
        refuse(held, why, now);
}

void gate::refuse(const held_call& held, code why, time_point now, int earlier_status)
{
    withdraw(held, now);
    answer_all(held, [&](call_id id) { return refusal{id, why, load(), earlier_status}; });
}

void gate::refuse(const call_key& key, code why, time_point now, int earlier_status)
{
    finished_attempts_.record_never_runs(key, now);
    send(key.entry_, refusal{key.id_, why, load(), earlier_status});
}

void gate::withdraw(const held_call& held, time_point now)
{
    for (const held_call::waiter& w : held.waiters_)
        finished_attempts_.record_never_runs(w.key_, now);
    if (held.call_.once_)
        records_.remove(scoped_identity(held.call_));
    notify_replicas(held, false, 0, now);
}

void gate::answer_all(const held_call& held, const std::function<gate_to_entry(call_id)>& make)
{
    for (const held_call::waiter& w : held.waiters_)
        if (!w.cancelled_)
            send(w.key_.entry_, make(w.key_.id_));
}

void gate::send(const daemon_name& to, gate_to_entry message)
{
    actions_.push_back(send_to_entry{to, std::move(message)});
}

} // namespace guavahaven::decide
