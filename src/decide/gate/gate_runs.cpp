// The gate's part in runs: what their ends mean for the calls that wait for
// them, for the backend server and for the version under a move.

#include "base/guards.h"
#include "decide/gate/gate.h"

namespace guavahaven::decide {

namespace {

constexpr int status_shed = 503; // the backend server's own refusal

} // namespace

void gate::on(const run_answered& e, time_point now)
{
    const auto at = running_.find(e.run_);
    if (at == running_.end())
        return;
    evidence_.run_answered(e.run_, e.response_.status_, e.complete_, now);
    held_call& held = at->second;
    pace_.answered(held.started_);
    const bool shed = e.response_.status_ == status_shed;
    if (shed)
        limit_.shed(e.run_, held.started_, now);
    else
        limit_.answered(e.run_, held.call_.route_, now - held.started_, now);
    if (!shed)
        suspects_.answered(fingerprint(held.call_.request_), now);
    answer_all(held, [&](call_id id) { return answer{id, load(), e.response_, e.complete_}; });
    if (e.complete_)
        return end_run(at, e.response_.status_, now);
    held.answering_ = true;
    held.status_ = e.response_.status_;
    held.window_.pass(e.response_.body_.size());
    keep_window(at->first, held);
}

void gate::on(const run_continued& e, time_point now)
{
    const auto at = running_.find(e.run_);
    if (at == running_.end())
        return;
    if (e.complete_)
        evidence_.run_completed(e.run_, now);
    held_call& held = at->second;
    answer_all(held, [&](call_id id) {
        return answer_part{id, held.window_.passed(), e.bytes_, e.complete_};
    });
    if (e.complete_)
        return end_run(at, held.status_, now);
    held.window_.pass(e.bytes_.size());
    keep_window(at->first, held);
}

// A run that surely was none; empty if it has ended already.
std::optional<held_call> gate::take_unrun(run_id run)
{
    const auto at = running_.find(run);
    if (at == running_.end())
        return {};
    evidence_.run_dropped(run);
    held_call held = std::move(at->second);
    running_.erase(at);
    return held;
}

// Nothing reaches the backend server until it announces itself.
void gate::note_down(time_point now)
{
    lose_backend(now);
    actions_.push_back(backend_down{});
}

void gate::on(const run_not_sent& e, time_point now)
{
    const std::optional<held_call> held = take_unrun(e.run_);
    if (!held)
        return;
    limit_.cold_start(now);
    refuse(*held, code::backend_unreachable, now);
    if (backend_ && backend_->cold_left_)
        note_down(now);
    start_waiting(now);
}

void gate::on(const run_refused& e, time_point now)
{
    const std::optional<held_call> held = take_unrun(e.run_);
    if (!held)
        return;
    if (!e.misdirected_)
        limit_.shed(e.run_, held->started_, now);
    limit_.ended(e.run_);
    refuse(*held, e.misdirected_ ? code::backend_unreachable : code::backend_refused, now);
    // Another instance has taken its place, of which nothing is known yet.
    if (e.misdirected_ && backend_)
        note_down(now);
    start_waiting(now);
}

void gate::on(const run_broken& e, time_point now)
{
    const auto at = running_.find(e.run_);
    if (at == running_.end())
        return;
    // What is suspected of deaths elsewhere says nothing against this version.
    if (suspects_.suspected(fingerprint(at->second.call_.request_)))
        evidence_.run_dropped(e.run_);
    else
        evidence_.run_broken(e.run_, now);
    if (now >= at->second.deadline_) {
        limit_.timed_out(e.run_, at->second.started_, now);
    }
    else {
        limit_.cold_start(now); // it has died, and comes back cold
        if (backend_ && backend_->cold_left_) {
            // It may only have cut the connection: its next announcement tells.
            pace_.assume(now);
            cold_ = true;
            broken_off_.push_back(at->second);
        }
        else {
            note_crash(at->second, now);
        }
    }
    answer_all(at->second, [&](call_id id) { return broken{id, code::outcome_unknown, load()}; });
    end_run(at, 0, now);
}

void gate::end_run(std::map<run_id, held_call>::iterator at, int status, time_point now)
{
    const held_call held = std::move(at->second);
    running_.erase(at);
    for (const held_call::waiter& w : held.waiters_)
        calls_.note_ran(w.key_, now);
    if (held.call_.once_)
        keys_.end(scoped_identity(held.call_), status, now);
    tell_homes(held, true, status, now);
    start_waiting(now);
}

} // namespace guavahaven::decide
