#include "backend/connector.h"

#include "base/log.h"
#include "decide/caller_protocol.h"

namespace guavahaven::backend {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr duration answer_slack = std::chrono::milliseconds(30); // for an answer that is made at its deadline
constexpr duration restart_least =
    std::chrono::milliseconds(300); // from a daemon's end to the next one's start

} // namespace

door::door(event_loop& loop, metrics& counts, const settings& s, decide::gate decisions, outlets out)
    : loop_(loop), metrics_(counts), settings_(s), made_(clock_.wall()), gate_(std::move(decisions)),
      out_(std::move(out)),
      server_(loop, {}, [this](const std::shared_ptr<http::exchange>& e) { take_statement(*e); }),
      timer_(loop, [this] { tick(); })
{
    timer_.arm(tick_interval);
}

status door::listen()
{
    return server_.listen(settings_.listen_);
}

void door::take_statement(http::exchange& e)
{
    const result<statement> read = settings_.protocol_.read_(e.received(), settings_.listen_);
    if (!ok(read)) {
        log_warning("backend", "announcement_refused", "error=" + to_string(failure(read)));
        return e.reply({400, {}, to_string(failure(read)) + "\n"});
    }
    std::visit([this](const auto& s) { take(s); }, value(read));
    e.reply(settings_.protocol_.taken_);
}

// Announcements can be overtaken by later ones, also by those of a later
// instance at the same address; and none revives an instance that has left.
bool door::is_late(const announcement& a) const
{
    if (!announced_)
        return false;
    if (a.instance_ == announced_->instance_ && a.started_at_ == announced_->started_at_)
        return a.sequence_ != 0 && a.sequence_ <= announced_->sequence_;
    return a.started_at_ < announced_->started_at_;
}

// True if an earlier daemon may have sent it requests a moment ago.
bool door::is_older(const announcement& a) const
{
    return a.started_at_ != 0 && wall_time(std::chrono::milliseconds(a.started_at_)) + restart_least < made_;
}

void door::take(const announcement& a)
{
    if (is_late(a))
        return log_info("backend", "announcement_late",
                        "instance=" + a.instance_ + " sequence=" + std::to_string(a.sequence_));
    const bool same_start = announced_ && !a.instance_.empty() && a.instance_ == announced_->instance_ &&
                            a.started_at_ == announced_->started_at_;
    const bool draining = a.draining_ || (same_start && announced_->draining_);
    if (!present_ || !same_start || draining != announced_->draining_)
        log_info("backend", "announced",
                 "service=" + a.service_.str() + " version=" + a.version_.str() + " instance=" + a.instance_ +
                     " sequence=" + std::to_string(a.sequence_) + (draining ? " draining" : "") +
                     (a.cold_left_ ? " cold_left_ms=" + std::to_string(a.cold_left_->count() / 1000) : ""));
    connect(a.address_, a.connections_);
    announced_ = a;
    announced_->draining_ = draining;
    present_ = true;
    last_announcement_ = clock_.now();
    handle(decide::backend_announced{a.service_, a.version_, a.slots_, a.connections_, draining, a.start_,
                                     a.instance_, a.cold_left_, is_older(a)});
    out_.announced_({a.service_, a.version_, a.slots_, draining});
}

void door::take(const farewell& f)
{
    if (!announced_ || announced_->instance_ != f.instance_ || !present_)
        return;
    announcement last = *announced_;
    last.draining_ = true;
    ++last.sequence_;
    take(last);
}

// Requests that are under way at another address end there.
void door::connect(const http::address& at, std::uint32_t connections)
{
    if (backend_ && at == backend_address_ && connections == connections_)
        return;
    if (backend_)
        former_.push_back(std::move(backend_));
    backend_address_ = at;
    connections_ = connections;
    backend_ = std::make_unique<http::client>(
        loop_, at, connections, error{code::backend_unreachable, http::to_string(at)},
        error{code::answer_incomplete, http::to_string(at)}, settings_.protocol_.responses_);
}

void door::handle(const decide::gate_event& e)
{
    apply(gate_.handle(e, clock_.now()));
}

void door::apply(decide::gate_actions actions)
{
    for (const decide::gate_action& action : actions)
        std::visit([this](const auto& a) { apply(a); }, action);
}

void door::apply(const decide::start_run& a)
{
    ++metrics_.counter("guavahaven_gate_runs_total");
    last_run_ = static_cast<std::uint64_t>(clock_.wall().time_since_epoch().count());
    if (run_log_.take(clock_.now()))
        run_log_.write("run_started", "call=" + decide::to_string(a.call_) + " instance=" + a.instance_ +
                                          " load=" + decide::to_string(gate_.load()) +
                                          " left_ms=" + std::to_string(a.timeout_.count() / 1000));
    if (!backend_)
        return handle(decide::run_not_sent{a.run_});
    http::request request = a.request_;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(a.timeout_);
    decide::set_header(request.headers_, settings_.protocol_.deadline_header_, std::to_string(left.count()));
    decide::set_header(request.headers_, settings_.protocol_.instance_header_, a.instance_);
    backend_->stream(a.run_.value(), std::move(request), a.timeout_ + answer_slack,
                     [this, run = a.run_](http::response_event e) { take_response(run, std::move(e)); });
}

void door::take_response(decide::run_id run, http::response_event event)
{
    std::visit(guavahaven::overloaded{
                   [&](http::response_start& first) {
                       take_whole(run, std::move(first.response_), first.complete_);
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

// Passes on what the instance made by running the request; its refusals, and
// what bears no sign of it, are told apart.
void door::take_whole(decide::run_id run, http::response r, bool complete)
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
    if (!p.seal_header_.empty() && (encoded || http::find_header(r.headers_, p.seal_header_).empty())) {
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

void door::cancel_run(decide::run_id run)
{
    if (backend_)
        backend_->cancel(run.value());
    for (const auto& client : former_)
        client->cancel(run.value());
}

void door::apply(const decide::backend_down&)
{
    present_ = false;
    log_warning("backend", "lost",
                "reason=unreachable instance=" + (announced_ ? announced_->instance_ : ""));
    out_.announced_({});
}

void door::apply(const decide::pause_run& a)
{
    const auto turn = [&a](http::client& client) {
        if (a.paused_)
            client.pause(a.run_.value());
        else
            client.resume(a.run_.value());
    };
    if (backend_)
        turn(*backend_);
    for (const auto& client : former_)
        turn(*client);
}

// Closing its connection tells the backend server.
void door::apply(const decide::abort_run& a)
{
    ++metrics_.counter("guavahaven_gate_cancelled_total");
    cancel_run(a.run_);
}

void door::log_end(const decide::gate_to_entry& m)
{
    const auto write = [this](paced_log& log, const char* event, const decide::call_id& id,
                              const std::string& detail) {
        if (log.take(clock_.now()))
            log.write(event, "call=" + decide::to_string(id) + " " + detail);
    };
    std::visit(guavahaven::overloaded{
                   [&](const decide::answer& a) {
                       write(run_log_, "answered", a.id_,
                             "status=" + std::to_string(a.response_.status_) +
                                 (a.complete_ ? "" : " parts_follow=yes"));
                   },
                   [&](const decide::refusal& r) {
                       write(refusal_log_, "refused", r.id_,
                             "result=" + std::string(name(r.code_)) + " load=" + decide::to_string(r.load_));
                   },
                   [&](const decide::broken& b) {
                       write(refusal_log_, "run_broken", b.id_,
                             "result=" + std::string(name(b.code_)) + " load=" + decide::to_string(b.load_));
                   },
                   [](const auto&) {}, // receipts, further parts and fences' answers
               },
               m);
}

void door::apply(const decide::send_to_entry& a)
{
    log_end(a.message_);
    out_.to_entry_(a.to_, a.message_);
}

void door::apply(const decide::send_to_peer_gate& a)
{
    out_.to_gate_(a.to_, a.message_, a.fresh_connection_);
}

void door::tick()
{
    if (present_ && clock_.now() - last_announcement_ > settings_.announcement_timeout_) {
        present_ = false;
        log_warning("backend", "lost", "reason=no_announcement");
        handle(decide::backend_lost{});
        out_.announced_({});
    }
    handle(decide::gate_tick{});
    const decide::load_report load = gate_.load();
    metrics_.set_gauge("guavahaven_gate_limit", load.limit_);
    metrics_.set_gauge("guavahaven_gate_running", load.in_flight_);
    metrics_.set_gauge("guavahaven_gate_waiting", load.queued_);
    std::erase_if(former_, [](const auto& client) { return client->in_flight() == 0; });
    timer_.arm(tick_interval);
}

} // namespace guavahaven::backend
