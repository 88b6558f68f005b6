// How the gate handles messages of entries about attempts that it has received already: cancellation, flow
// control of the response, and fences (what became of the attempt, and don't run it any more).

#include "base/guards.h"
#include "decide/gate/gate.h"

namespace guavahaven::decide {

void gate::handle_cancel(const daemon_name& from, const cancel& c, time_point now)
{
    const call_key key{from, c.id_};
    held_call* held = find_held(key);
    if (!held)
        return;
    for (held_call::waiter& w : held->waiters_)
        w.cancelled_ = w.cancelled_ || w.key_ == key;
    if (const auto running = find_running(key); running != running_.end())
        update_window(running->first, running->second);
    if (!held->abandoned())
        return;
    if (const auto running = find_running(key); running != running_.end()) {
        // A call that must run at most once is not aborted, as its outcome would become unknown.
        if (held->call_.once_)
            return;
        actions_.push_back(abort_run{running->first});
        evidence_.run_cancelled(running->first, now);
        limit_.ended(running->first);
        return end_run(running, 0, now);
    }
    if (const std::optional<held_call> waiting = waiting_.extract(key))
        return withdraw(*waiting, now);
    if (const std::optional<held_call> incomplete = bodies_.extract(key))
        return withdraw(*incomplete, now);
    give_up_claim(held->waiters_.front().key_, code::not_run, 0, now);
}

void gate::handle_answer_progress(const daemon_name& from, const answer_consumed& t)
{
    const call_key key{from, t.id_};
    const auto at = find_running(key);
    if (at == running_.end())
        return;
    for (held_call::waiter& w : at->second.waiters_)
        if (w.key_ == key)
            w.consumed_bytes_ = std::max(w.consumed_bytes_, t.bytes_);
    update_window(at->first, at->second);
}

void gate::update_window(run_id run, held_call& held)
{
    held.window_.set_consumed(held.consumed_by_all());
    if (held.window_.update_paused())
        actions_.push_back(pause_run{run, held.window_.paused()});
}

void gate::handle_fence(const daemon_name& from, const fence& f, time_point now)
{
    const auto reply = [&](run_status known) { send(from, fence_reply{f.id_, started_, known}); };
    const call_key key{from, f.id_};
    if (f.gate_ != started_ && guard_enabled(guard::unknown_outcome))
        return reply(run_status::unknown);
    if (const auto running = find_running(key); running != running_.end())
        return reply(run_status::running);
    // A repeat of the request waits for the same run, so the run can still take place.
    if (const held_call* held = find_held(key); held && held->has_other_waiters(key))
        return reply(run_status::running);
    handle_cancel(from, cancel{f.id_}, now);
    const std::optional<run_status> known = finished_attempts_.find(key);
    if (!known)
        finished_attempts_.record_never_runs(key, now);
    reply(known.value_or(run_status::never_ran));
}

std::map<run_id, held_call>::iterator gate::find_running(const call_key& key)
{
    return std::find_if(running_.begin(), running_.end(),
                        [&](const auto& r) { return r.second.has_waiter(key); });
}

held_call* gate::find_held(const call_key& key)
{
    if (const auto running = find_running(key); running != running_.end())
        return &running->second;
    for (auto& [first, claiming] : claiming_)
        if (claiming.held_.has_waiter(key))
            return &claiming.held_;
    if (held_call* incomplete = bodies_.find(key))
        return incomplete;
    return waiting_.find(key);
}

held_call* gate::find_held_identity(const std::string& identity)
{
    for (auto& [run, held] : running_)
        if (held.call_.once_ && scoped_identity(held.call_) == identity)
            return &held;
    for (auto& [first, claiming] : claiming_)
        if (scoped_identity(claiming.held_.call_) == identity)
            return &claiming.held_;
    if (held_call* incomplete = bodies_.find_identity(identity))
        return incomplete;
    return waiting_.find_identity(identity);
}

} // namespace guavahaven::decide
