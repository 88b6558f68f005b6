// How the gate handles the end of a run: it answers the waiting calls, adjusts the backend server's limits
// and counts the run for the version under a move.

#include "base/guards.h"
#include "decide/gate/gate.h"

namespace guavahaven::decide {

namespace {

constexpr int shed_status = 503; // load shedding by the backend server

} // namespace

void gate::on(const run_answered& e, time_point now)
{
    const auto at = running_.find(e.run_);
    if (at == running_.end())
        return;
    evidence_.run_answered(e.run_, e.response_.status_, e.complete_, now);
    held_call& held = at->second;
    cold_limiter_.answered(held.started_);
    const bool shed = e.response_.status_ == shed_status;
    if (shed)
        limit_.shed(e.run_, held.started_, now);
    else
        limit_.answered(e.run_, held.call_.route_, now - held.started_, now);
    if (!shed)
        crash_suspects_.answered(fingerprint(held.call_.request_), now);
    answer_all(held, [&](call_id id) { return answer{id, load(), e.response_, e.complete_}; });
    if (e.complete_)
        return end_run(at, e.response_.status_, now);
    held.answer_started_ = true;
    held.status_ = e.response_.status_;
    held.window_.add_forwarded(e.response_.body_.size());
    update_window(at->first, held);
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
        return answer_part{id, held.window_.forwarded(), e.bytes_, e.complete_};
    });
    if (e.complete_)
        return end_run(at, held.status_, now);
    held.window_.add_forwarded(e.bytes_.size());
    update_window(at->first, held);
}

std::optional<held_call> gate::remove_unexecuted_run(run_id run)
{
    const auto at = running_.find(run);
    if (at == running_.end())
        return {};
    evidence_.run_dropped(run);
    held_call held = std::move(at->second);
    running_.erase(at);
    return held;
}

void gate::mark_down(time_point now)
{
    clear_backend(now);
    actions_.push_back(mark_backend_down{});
}

void gate::on(const run_not_sent& e, time_point now)
{
    const std::optional<held_call> held = remove_unexecuted_run(e.run_);
    if (!held)
        return;
    limit_.cold_start(now);
    refuse(*held, code::backend_unreachable, now);
    if (backend_ && backend_->cold_left_)
        mark_down(now);
    start_waiting(now);
}

void gate::on(const run_refused& e, time_point now)
{
    const std::optional<held_call> held = remove_unexecuted_run(e.run_);
    if (!held)
        return;
    if (!e.misdirected_)
        limit_.shed(e.run_, held->started_, now);
    limit_.ended(e.run_);
    refuse(*held, e.misdirected_ ? code::backend_unreachable : code::backend_refused, now);
    // Another instance has taken over the address; its state is unknown until it announces itself.
    if (e.misdirected_ && backend_)
        mark_down(now);
    start_waiting(now);
}

void gate::on(const run_broken& e, time_point now)
{
    const auto at = running_.find(e.run_);
    if (at == running_.end())
        return;
    // A request that is suspected of crashing other backend servers is no evidence against this version.
    if (crash_suspects_.suspected(fingerprint(at->second.call_.request_)))
        evidence_.run_dropped(e.run_);
    else
        evidence_.run_broken(e.run_, now);
    if (now >= at->second.deadline_) {
        limit_.timed_out(e.run_, at->second.started_, now);
    }
    else {
        limit_.cold_start(now); // it probably crashed, and will be cold after its restart
        if (backend_ && backend_->cold_left_) {
            // It may only have closed the connection. The next announcement shows whether it has restarted;
            // until then it is treated as cold.
            cold_limiter_.assume_cold(now);
            cold_ = true;
            possible_crashes_.push_back(at->second);
        }
        else {
            record_crash(at->second, now);
        }
    }
    answer_all(at->second, [&](call_id id) { return run_failure{id, code::outcome_unknown, load()}; });
    end_run(at, 0, now);
}

void gate::end_run(std::map<run_id, held_call>::iterator at, int status, time_point now)
{
    const held_call held = std::move(at->second);
    running_.erase(at);
    for (const held_call::waiter& w : held.waiters_)
        finished_attempts_.record_ran(w.key_, now);
    if (held.call_.once_)
        records_.record_end(scoped_identity(held.call_), status, now);
    notify_replicas(held, true, status, now);
    start_waiting(now);
}

} // namespace guavahaven::decide
