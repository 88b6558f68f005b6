#include "backend/connector.h"

#include <charconv>
#include <cmath>

#include "base/log.h"
#include "decide/caller_protocol.h"

namespace guavahaven::backend {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration response_grace_time =
    std::chrono::milliseconds(30); // a response made just at its deadline still counts
constexpr duration min_restart_time =
    std::chrono::milliseconds(300); // from the end of one daemon process to the start of the next

// Empty if the text is no finite, non-negative decimal number.
std::optional<double> decimal_number(const std::string& text)
{
    double number = 0;
    const auto [end, failed] =
        std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (text.empty() || failed != std::errc() || end != text.data() + text.size() || !std::isfinite(number) ||
        number < 0)
        return {};
    return number;
}

} // namespace

connector::connector(event_loop& loop, metrics& counts, const settings& s, decide::gate decisions,
                     callbacks c)
    : loop_(loop), metrics_(counts), settings_(s), process_started_(clock_.wall()),
      gate_(std::move(decisions)), callbacks_(std::move(c)),
      server_(loop, {}, [this](const std::shared_ptr<http::exchange>& e) { handle_registration(*e); }),
      timer_(loop, [this] { tick(); })
{
    timer_.arm(tick_interval);
}

status connector::listen()
{
    return server_.listen(settings_.listen_);
}

void connector::handle_registration(http::exchange& e)
{
    const result<registration_message> read = settings_.protocol_.parse_(e.received(), settings_.listen_);
    if (!ok(read)) {
        log_warning("backend", "announcement_refused", "error=" + to_string(failure(read)));
        return e.reply({400, {}, to_string(failure(read)) + "\n"});
    }
    std::visit([this](const auto& s) { process(s); }, value(read));
    e.reply(settings_.protocol_.accepted_response_);
}

// True if a newer announcement was handled before this one. Announcements can overtake each other, also those
// of an earlier and a later instance at the same address. An outdated one is ignored, so that it can't bring
// back an instance that has deregistered.
bool connector::is_outdated(const announcement& a) const
{
    if (!last_announcement_)
        return false;
    if (a.instance_ == last_announcement_->instance_ &&
        a.started_at_ms_ == last_announcement_->started_at_ms_)
        return a.sequence_ != 0 && a.sequence_ <= last_announcement_->sequence_;
    return a.started_at_ms_ < last_announcement_->started_at_ms_;
}

// True if the backend server was started before this daemon process, by more than a daemon's restart takes:
// then an earlier daemon process may have sent it requests a moment ago.
bool connector::predates_daemon(const announcement& a) const
{
    return a.started_at_ms_ != 0 &&
           wall_time(std::chrono::milliseconds(a.started_at_ms_)) + min_restart_time < process_started_;
}

void connector::process(const announcement& a)
{
    if (is_outdated(a))
        return log_info("backend", "announcement_late",
                        "instance=" + a.instance_ + " sequence=" + std::to_string(a.sequence_));
    const bool same_start = last_announcement_ && !a.instance_.empty() &&
                            a.instance_ == last_announcement_->instance_ &&
                            a.started_at_ms_ == last_announcement_->started_at_ms_;
    const bool draining = a.draining_ || (same_start && last_announcement_->draining_);
    if (!available_ || !same_start || draining != last_announcement_->draining_)
        log_info("backend", "announced",
                 "service=" + a.service_.str() + " version=" + a.version_.str() + " instance=" + a.instance_ +
                     " sequence=" + std::to_string(a.sequence_) + (draining ? " draining" : "") +
                     (a.cold_left_ ? " cold_left_ms=" + std::to_string(a.cold_left_->count() / 1000) : ""));
    connect(a.address_, a.connections_);
    last_announcement_ = a;
    last_announcement_->draining_ = draining;
    available_ = true;
    last_announcement_time_ = clock_.now();
    handle(decide::backend_announced{a.service_, a.version_, a.slots_, a.connections_, draining, a.start_,
                                     a.instance_, a.cold_left_, predates_daemon(a)});
    callbacks_.on_backend_changed_({a.service_, a.version_, a.slots_, draining});
}

void connector::process(const deregistration& f)
{
    if (!last_announcement_ || last_announcement_->instance_ != f.instance_ || !available_)
        return;
    begin_draining();
}

void connector::begin_draining()
{
    announcement last = *last_announcement_;
    last.draining_ = true;
    ++last.sequence_;
    process(last);
}

// Opens a client for the backend server. If its address or connection limit has changed, requests under way
// finish on the earlier client.
void connector::connect(const http::address& at, std::uint32_t connections)
{
    if (backend_ && at == backend_address_ && connections == connections_)
        return;
    if (backend_)
        earlier_clients_.push_back(std::move(backend_));
    backend_address_ = at;
    connections_ = connections;
    backend_ = std::make_unique<http::client>(
        loop_, at, connections, error{code::backend_unreachable, http::to_string(at)},
        error{code::answer_incomplete, http::to_string(at)}, settings_.protocol_.responses_);
}

void connector::handle(const decide::gate_event& e)
{
    apply(gate_.handle(e, clock_.now()));
}

void connector::apply(decide::gate_actions actions)
{
    for (const decide::gate_action& action : actions)
        std::visit([this](const auto& a) { apply(a); }, action);
}

void connector::apply(const decide::start_run& a)
{
    ++metrics_.counter("guavahaven_gate_runs_total");
    last_run_ = static_cast<std::uint64_t>(clock_.wall().time_since_epoch().count());
    if (run_log_.try_acquire(clock_.now()))
        run_log_.write("run_started", "call=" + decide::to_string(a.call_) + " instance=" + a.instance_ +
                                          " load=" + decide::to_string(gate_.load()) +
                                          " left_ms=" + std::to_string(a.timeout_.count() / 1000));
    if (!backend_)
        return handle(decide::run_not_sent{a.run_});
    http::request request = a.request_;
    const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(a.timeout_);
    decide::set_header(request.headers_, settings_.protocol_.deadline_header_,
                       std::to_string(time_left.count()));
    decide::set_header(request.headers_, settings_.protocol_.expected_instance_header_, a.instance_);
    backend_->stream(a.run_.value(), std::move(request), a.timeout_ + response_grace_time,
                     [this, run = a.run_, instance = a.instance_](http::response_event e) {
                         handle_response(run, instance, std::move(e));
                     });
}

void connector::handle_response(decide::run_id run, const std::string& instance, http::response_event event)
{
    std::visit(guavahaven::overloaded{
                   [&](http::response_start& start) {
                       process_statement(instance, start.response_);
                       handle_response_start(run, std::move(start.response_), start.complete_);
                   },
                   [&](http::response_part& part) {
                       handle(decide::run_continued{run, std::move(part.bytes_), part.complete_});
                   },
                   [&](const error& e) {
                       if (e.code_ == code::backend_unreachable)
                           handle(decide::run_not_sent{run});
                       else
                           handle(decide::run_broken{run});
                   },
               },
               event);
}

void connector::process_statement(const std::string& instance, const http::response& r)
{
    const protocol& p = settings_.protocol_;
    const bool misdirected = p.misdirected_status_ != 0 && r.status_ == p.misdirected_status_;
    if (misdirected || !available_ || !last_announcement_ || last_announcement_->instance_ != instance)
        return;
    if (!p.rate_limit_header_.empty()) {
        const std::optional<double> limit =
            decimal_number(http::find_header(r.headers_, p.rate_limit_header_));
        if (limit != stated_limit_)
            log_info("backend", "limit_stated",
                     "instance=" + instance + " per_second=" + (limit ? std::to_string(*limit) : "none"));
        stated_limit_ = limit;
        handle(decide::backend_stated_limit{limit});
    }
    if (!p.leaving_header_.empty() && http::find_header(r.headers_, p.leaving_header_) == "1" &&
        !last_announcement_->draining_)
        begin_draining();
}

// Handles the start of a response. A misdirected request, or one that the instance says it has not run, is
// reported to the gate as refused. Where the protocol has an executed header, a response without it (or with
// a content encoding, which an intermediary may have added) may not come from the instance: the run is
// reported as broken, as it may have run. Any other response is passed on.
void connector::handle_response_start(decide::run_id run, http::response r, bool complete)
{
    const protocol& p = settings_.protocol_;
    const bool misdirected = p.misdirected_status_ != 0 && r.status_ == p.misdirected_status_;
    if (misdirected ||
        (!p.not_run_header_.empty() && !http::find_header(r.headers_, p.not_run_header_).empty())) {
        ++metrics_.counter("guavahaven_gate_backend_refusals_total");
        if (!complete)
            cancel_run(run);
        return handle(decide::run_refused{run, misdirected});
    }
    const bool encoded = !http::find_header(r.headers_, "Content-Encoding").empty();
    if (!p.executed_header_.empty() &&
        (encoded || http::find_header(r.headers_, p.executed_header_).empty())) {
        log_warning("backend", "answer_unusable",
                    "run=" + std::to_string(run.value()) + " status=" + std::to_string(r.status_));
        if (!complete)
            cancel_run(run);
        return handle(decide::run_broken{run});
    }
    const std::string length = http::find_header(r.headers_, "Content-Length");
    r.headers_ = http::end_to_end(r.headers_);
    if (!complete && !length.empty())
        r.headers_.push_back({"Content-Length", length});
    handle(decide::run_answered{run, std::move(r), complete});
}

void connector::cancel_run(decide::run_id run)
{
    if (backend_)
        backend_->cancel(run.value());
    for (const auto& client : earlier_clients_)
        client->cancel(run.value());
}

void connector::apply(const decide::mark_backend_down&)
{
    available_ = false;
    log_warning("backend", "lost",
                "reason=unreachable instance=" + (last_announcement_ ? last_announcement_->instance_ : ""));
    callbacks_.on_backend_changed_({});
}

void connector::apply(const decide::pause_run& a)
{
    const auto set_paused = [&a](http::client& client) {
        if (a.paused_)
            client.pause(a.run_.value());
        else
            client.resume(a.run_.value());
    };
    if (backend_)
        set_paused(*backend_);
    for (const auto& client : earlier_clients_)
        set_paused(*client);
}

// Cancels the run by closing its connection, which tells the backend server to stop working on it.
void connector::apply(const decide::abort_run& a)
{
    ++metrics_.counter("guavahaven_gate_cancelled_total");
    cancel_run(a.run_);
}

void connector::log_result(const decide::gate_to_entry& m)
{
    const auto write = [this](rate_limited_log& log, const char* event, const decide::call_id& id,
                              const std::string& detail) {
        if (log.try_acquire(clock_.now()))
            log.write(event, "call=" + decide::to_string(id) + " " + detail);
    };
    std::visit(
        guavahaven::overloaded{
            [&](const decide::answer& a) {
                write(run_log_, "answered", a.id_,
                      "status=" + std::to_string(a.response_.status_) +
                          (a.complete_ ? "" : " parts_follow=yes"));
            },
            [&](const decide::refusal& r) {
                write(refusal_log_, "refused", r.id_,
                      "result=" + std::string(name(r.code_)) + " load=" + decide::to_string(r.load_));
            },
            [&](const decide::run_failure& b) {
                write(refusal_log_, "run_broken", b.id_,
                      "result=" + std::string(name(b.code_)) + " load=" + decide::to_string(b.load_));
            },
            [](const auto&) {}, // receipts, further parts of responses and replies to fences are not logged
        },
        m);
}

void connector::apply(const decide::send_to_entry& a)
{
    log_result(a.message_);
    callbacks_.send_to_entry_(a.to_, a.message_);
}

void connector::apply(const decide::send_to_peer_gate& a)
{
    callbacks_.send_to_gate_(a.to_, a.message_, a.fresh_connection_);
}

void connector::tick()
{
    if (available_ && clock_.now() - last_announcement_time_ > settings_.announcement_timeout_) {
        available_ = false;
        log_warning("backend", "lost", "reason=no_announcement");
        handle(decide::backend_lost{});
        callbacks_.on_backend_changed_({});
    }
    handle(decide::gate_tick{});
    const decide::load_report load = gate_.load();
    metrics_.set_gauge("guavahaven_gate_limit", load.limit_);
    metrics_.set_gauge("guavahaven_gate_running", load.in_flight_);
    metrics_.set_gauge("guavahaven_gate_waiting", load.queued_);
    std::erase_if(earlier_clients_, [](const auto& client) { return client->in_flight() == 0; });
    timer_.arm(tick_interval);
}

} // namespace guavahaven::backend
