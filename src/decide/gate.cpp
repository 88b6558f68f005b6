#include "decide/gate.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr double cold_limit = 2;          // calls at once after a start
constexpr std::size_t waiting_most = 256; // calls that wait for a slot
constexpr duration remember_identity = std::chrono::minutes(10);
constexpr duration remember_fence = std::chrono::minutes(1);
constexpr int status_shed = 503; // the backend server's own refusal

} // namespace

gate::gate(data_center_name data_center) : data_center_(std::move(data_center)) {}

gate_actions gate::handle(const gate_event& event, time_point now)
{
    std::visit([&](const auto& e) { on(e, now); }, event);
    return std::exchange(actions_, {});
}

bool gate::busy() const
{
    return !running_.empty() || !waiting_.empty();
}

bool gate::serving() const
{
    return backend_ && !backend_->draining_ && !stopping_;
}

load_report gate::load() const
{
    return {static_cast<std::uint32_t>(running_.size()), static_cast<std::uint32_t>(waiting_.size()),
            static_cast<std::uint32_t>(limit_)};
}

void gate::on(const backend_announced& e, time_point)
{
    const bool fresh = !backend_ || backend_->version_ != e.version_ || backend_->service_ != e.service_;
    if (fresh)
        limit_ = cold_limit;
    backend_ = e;
}

void gate::on(const backend_lost&, time_point)
{
    backend_.reset();
    for (const held_call& held : std::exchange(waiting_, {}))
        refuse(held.from_, held.call_.id_, code::backend_unreachable);
}

void gate::on(const stop_requested&, time_point)
{
    stopping_ = true;
}

void gate::on(const call_message& e, time_point now)
{
    std::visit(guavahaven::overloaded{
                   [&](const call& c) { take_call(e.from_, c, now); },
                   [&](const cancel& c) { take_cancel(e.from_, c); },
                   [&](const answer_taken& t) { take_progress(e.from_, t); },
                   [&](const fence& f) { take_fence(e.from_, f, now); },
               },
               e.message_);
}

code gate::admission(const call& c) const
{
    if (stopping_)
        return code::draining;
    if (!backend_ || backend_->service_ != c.service_)
        return code::no_backend_server;
    if (backend_->draining_)
        return code::draining;
    if (backend_->version_ != c.version_)
        return code::not_run;
    if (!view_ || !view_->configuration_)
        return code::starting;
    if (view_->configuration_->find_out(data_center_))
        return code::data_center_out;
    const move_rule* move = view_->configuration_->find_move(c.service_);
    const move_fact* fact = move ? view_->find_move(move->id()) : nullptr;
    if (fact && fact->withdrawn_ && fact->version_ == c.version_)
        return code::version_withdrawn;
    return code::ok;
}

void gate::take_call(const daemon_name& from, const call& c, time_point now)
{
    if (const code why = admission(c); why != code::ok)
        return refuse(from, c.id_, why);
    if (fenced_.contains(c.id_))
        return refuse(from, c.id_, code::not_run);
    if (c.once_ && identities_.contains(c.identity_))
        return refuse(from, c.id_, code::duplicate_request);

    send(from, receipt{c.id_});
    held_call held{from, c, now + c.remaining_, {}};
    if (static_cast<double>(running_.size()) + 1 <= limit_)
        return start(std::move(held), now);
    if (waiting_.size() >= waiting_most)
        return refuse(from, c.id_, code::overloaded);
    waiting_.push_back(std::move(held));
}

void gate::start(held_call held, time_point now)
{
    last_run_ = last_run_.next();
    if (held.call_.once_)
        identities_[held.call_.identity_] = {held.call_.id_, now + remember_identity};
    actions_.push_back(start_run{last_run_, held.call_.request_, held.deadline_ - now});
    running_.emplace(last_run_, std::move(held));
}

void gate::start_waiting(time_point now)
{
    while (!waiting_.empty() && static_cast<double>(running_.size()) + 1 <= limit_) {
        held_call next = std::move(waiting_.front());
        waiting_.pop_front();
        if (next.deadline_ <= now)
            refuse(next.from_, next.call_.id_, code::deadline_exceeded);
        else if (const code why = admission(next.call_); why != code::ok)
            refuse(next.from_, next.call_.id_, why);
        else
            start(std::move(next), now);
    }
}

void gate::take_cancel(const daemon_name& from, const cancel& c)
{
    const auto same = [&](const held_call& h) { return h.from_ == from && h.call_.id_ == c.id_; };
    std::erase_if(waiting_, same);
    // Work that must not run twice is left to end, so that its outcome stays known.
    for (const auto& [run, held] : running_)
        if (same(held) && !held.call_.once_)
            actions_.push_back(abort_run{run});
}

void gate::take_progress(const daemon_name& from, const answer_taken& t)
{
    for (auto& [run, held] : running_) {
        if (held.from_ != from || held.call_.id_ != t.id_)
            continue;
        held.window_.take(t.bytes_);
        return keep_window(run, held);
    }
}

void gate::keep_window(run_id run, held_call& held)
{
    if (held.window_.turned())
        actions_.push_back(pause_run{run, held.window_.paused()});
}

void gate::take_fence(const daemon_name& from, const fence& f, time_point now)
{
    const auto same = [&](const held_call& h) { return h.call_.id_ == f.id_; };
    for (auto& [run, held] : running_) {
        if (same(held))
            return send(from, fence_verdict{f.id_, fate::running});
    }
    const bool ran = std::any_of(identities_.begin(), identities_.end(),
                                 [&](const auto& known) { return known.second.id_ == f.id_; });
    std::erase_if(waiting_, same);
    fenced_[f.id_] = now + remember_fence;
    send(from, fence_verdict{f.id_, ran ? fate::ran : fate::never_ran});
}

void gate::on(const run_answered& e, time_point now)
{
    const auto at = running_.find(e.run_);
    if (at == running_.end())
        return;
    if (e.response_.status_ == status_shed)
        shrink_limit();
    else
        grow_limit();
    send(at->second.from_, answer{at->second.call_.id_, load(), e.response_, e.complete_});
    if (e.complete_)
        return end_run(at, now);
    at->second.window_.pass(e.response_.body_.size());
    keep_window(at->first, at->second);
}

void gate::on(const run_continued& e, time_point now)
{
    const auto at = running_.find(e.run_);
    if (at == running_.end())
        return;
    held_call& held = at->second;
    send(held.from_, answer_part{held.call_.id_, held.window_.passed(), e.bytes_, e.complete_});
    if (e.complete_)
        return end_run(at, now);
    held.window_.pass(e.bytes_.size());
    keep_window(at->first, held);
}

void gate::on(const run_not_sent& e, time_point now)
{
    const auto at = running_.find(e.run_);
    if (at == running_.end())
        return;
    if (at->second.call_.once_)
        identities_.erase(at->second.call_.identity_);
    shrink_limit();
    refuse(at->second.from_, at->second.call_.id_, code::backend_unreachable);
    end_run(at, now);
}

void gate::on(const run_broken& e, time_point now)
{
    const auto at = running_.find(e.run_);
    if (at == running_.end())
        return;
    shrink_limit();
    send(at->second.from_, broken{at->second.call_.id_, code::outcome_unknown, load()});
    end_run(at, now);
}

void gate::end_run(std::map<run_id, held_call>::iterator at, time_point now)
{
    running_.erase(at);
    start_waiting(now);
}

void gate::on(const gate_view_changed& e, time_point)
{
    view_ = e.view_;
}

void gate::on(const gate_tick&, time_point now)
{
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        if (at->deadline_ > now) {
            ++at;
            continue;
        }
        refuse(at->from_, at->call_.id_, code::deadline_exceeded);
        at = waiting_.erase(at);
    }
    forget(now);
}

void gate::forget(time_point now)
{
    std::erase_if(identities_, [now](const auto& known) { return known.second.until_ <= now; });
    std::erase_if(fenced_, [now](const auto& known) { return known.second <= now; });
}

void gate::refuse(const daemon_name& to, call_id id, code why)
{
    send(to, refusal{id, why, load()});
}

void gate::send(const daemon_name& to, gate_to_entry message)
{
    actions_.push_back(send_to_entry{to, std::move(message)});
}

void gate::shrink_limit()
{
    limit_ = std::max(1.0, limit_ / 2);
}

void gate::grow_limit()
{
    const double most = backend_ ? backend_->slots_ : 1;
    limit_ = std::min(most, limit_ + 1 / std::max(1.0, limit_));
}

} // namespace guavahaven::decide
