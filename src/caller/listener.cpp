#include "caller/listener.h"

#include "base/log.h"

namespace guavahaven::caller {

namespace {

std::string_view name(decide::run_status s)
{
    switch (s) {
    case decide::run_status::never_ran:
        return "never_ran";
    case decide::run_status::running:
        return "running";
    case decide::run_status::ran:
        return "ran";
    case decide::run_status::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace

listener::listener(event_loop& loop, metrics& counts, decide::entry decisions,
                   std::function<void(const daemon_name&, const decide::entry_to_gate&, bool)> send_to_gate)
    : metrics_(counts), entry_(std::move(decisions)), send_to_gate_(std::move(send_to_gate)),
      server_(
          loop, {}, [this](const std::shared_ptr<http::exchange>& e) { handle_request(e); },
          [this](http::read_fault why) { return reject_unreadable(why); }),
      timer_(loop, [this] { tick(); })
{
}

status listener::listen(const http::address& at)
{
    return server_.listen(at);
}

void listener::begin_stop(const decide::entry_stop& stop)
{
    server_.close_after_answer();
    handle(stop);
}

void listener::apply_limits(const decide::callers_rule& rule)
{
    http::server_limits limits = server_.limits();
    limits.message_ = {rule.max_head_bytes_, rule.max_body_bytes_};
    limits.arrival_ = std::max(rule.arrival_, http::server_limits().arrival_);
    limits.idle_ = std::max(rule.idle_, http::server_limits().idle_);
    server_.set_limits(limits);
}

http::response listener::reject_unreadable(http::read_fault why)
{
    const code result_code =
        why == http::read_fault::malformed ? code::request_malformed : code::request_too_large;
    ++metrics_.counter("guavahaven_requests_unreadable_total",
                       "result=\"" + std::string(name(result_code)) + "\"");
    return decide::error_response(entry_.protocol(), result_code);
}

void listener::handle_request(const std::shared_ptr<http::exchange>& e)
{
    last_exchange_ = last_exchange_.next();
    const decide::exchange_id id = last_exchange_;
    exchanges_[id].exchange_ = e;
    e->on_disconnect([this, id] {
        exchanges_.erase(id);
        handle(decide::caller_gone{id});
    });
    http::request request = e->received();
    request.headers_ = http::end_to_end(request.headers_);
    handle(decide::caller_request{id, std::move(request)});
}

void listener::handle(const decide::entry_event& e)
{
    if (const auto* m = std::get_if<decide::gate_message>(&e))
        log_failed_attempt(*m);
    for (const decide::entry_action& action : entry_.handle(e, clock_.now()))
        std::visit([this](const auto& a) { apply(a); }, action);
    arm_timer();
}

void listener::apply(const decide::send_to_gate& a)
{
    if (const auto* c = std::get_if<decide::call>(&a.message_))
        log_attempt(a.to_, *c);
    else
        log_doubted_attempt(a);
    send_to_gate_(a.to_, a.message_, a.fresh_connection_);
}

// Logs to which gate an attempt is sent, and the last load report of that gate with its age.
void listener::log_attempt(const daemon_name& to, const decide::call& c)
{
    const time_point now = clock_.now();
    if (!served_log_.try_acquire(now))
        return;
    std::string known = " load=unknown";
    if (const auto report = entry_.known_gates().last_report(to))
        known = " load=" + decide::to_string(report->first) +
                " load_age_ms=" + std::to_string((now - report->second).count() / 1000);
    served_log_.write("sent", "id=" + c.identity_ + " call=" + decide::to_string(c.id_) + " gate=" +
                                  to.str() + " service=" + c.service_.str() + " version=" + c.version_.str() +
                                  known + " left_ms=" + std::to_string(c.remaining_.count() / 1000) +
                                  " configuration=" + std::to_string(c.configuration_.value()));
}

// Logs an attempt of which the gate is asked what became of it, or that is dropped since the gate is silent.
void listener::log_doubted_attempt(const decide::send_to_gate& a)
{
    const auto* asked = std::get_if<decide::fence>(&a.message_);
    const auto* dropped = std::get_if<decide::cancel>(&a.message_);
    if (!asked && !(dropped && a.fresh_connection_))
        return;
    if (failed_log_.try_acquire(clock_.now()))
        failed_log_.write(asked ? "fence_sent" : "attempt_dropped",
                          "call=" + decide::to_string(asked ? asked->id_ : dropped->id_) + " gate=" +
                              a.to_.str() + " connection=" + (a.fresh_connection_ ? "new" : "open"));
}

// Logs an attempt that a gate refused or that broke off; a retry may follow.
void listener::log_failed_attempt(const decide::gate_message& m)
{
    std::optional<code> why;
    decide::call_id id;
    if (const auto* r = std::get_if<decide::refusal>(&m.message_))
        std::tie(why, id) = std::tuple(r->code_, r->id_);
    else if (const auto* b = std::get_if<decide::run_failure>(&m.message_))
        std::tie(why, id) = std::tuple(b->code_, b->id_);
    if (why && failed_log_.try_acquire(clock_.now()))
        failed_log_.write("attempt_failed", "call=" + decide::to_string(id) + " gate=" + m.from_.str() +
                                                " result=" + std::string(name(*why)));
    if (const auto* f = std::get_if<decide::fence_reply>(&m.message_);
        f && failed_log_.try_acquire(clock_.now()))
        failed_log_.write("fence_replied", "call=" + decide::to_string(f->id_) + " gate=" + m.from_.str() +
                                               " status=" + std::string(name(f->run_status_)));
}

void listener::apply(const decide::reply& a)
{
    const auto at = exchanges_.find(a.exchange_);
    if (at == exchanges_.end())
        return;
    open_exchange& to = at->second;
    const http::response& r = a.response_;
    if (!a.complete_) {
        to.exchange_->start(r.status_, r.headers_);
        return write_body(a.exchange_, to, r.body_);
    }
    to.exchange_->reply(r);
    exchanges_.erase(at);
}

void listener::apply(const decide::reply_part& a)
{
    const auto at = exchanges_.find(a.exchange_);
    if (at == exchanges_.end())
        return;
    if (!a.bytes_.empty())
        write_body(a.exchange_, at->second, a.bytes_);
    if (!a.complete_)
        return;
    at->second.exchange_->finish();
    exchanges_.erase(at);
}

// Writes a part of the body, and informs the entry once all bytes up to here have been written to the
// caller's connection (flow control).
void listener::write_body(decide::exchange_id id, open_exchange& to, const std::string& bytes)
{
    to.body_bytes_sent_ += bytes.size();
    to.exchange_->more(bytes, [this, id, body_bytes_sent = to.body_bytes_sent_] {
        handle(decide::caller_consumed{id, body_bytes_sent});
    });
}

void listener::apply(const decide::reply_abort& a)
{
    const auto at = exchanges_.find(a.exchange_);
    if (at == exchanges_.end())
        return;
    at->second.exchange_->abort();
    exchanges_.erase(at);
}

void listener::apply(const decide::request_ended& a)
{
    const std::string class_label = "class=\"" + a.class_.str() + "\"";
    ++metrics_.counter("guavahaven_requests_total",
                       class_label + ",result=\"" + std::string(name(a.code_)) + "\"");
    metrics_.timing("guavahaven_request_seconds", class_label).record(a.took_);
    constexpr int min_server_error_status = 500;
    const bool failed = a.code_ != code::ok || a.status_ >= min_server_error_status;
    rate_limited_log& log = failed ? failed_log_ : served_log_;
    if (!log.try_acquire(clock_.now()))
        return;
    log.write(failed ? "request_failed" : "request_served",
              "id=" + a.identity_ + " code=" + std::to_string(number(a.code_)) +
                  " result=" + std::string(name(a.code_)) + " status=" + std::to_string(a.status_) +
                  " took_ms=" + std::to_string(a.took_.count() / 1000) + " attempts=" +
                  std::to_string(a.attempts_) + " gate=" + a.gate_.str() + " service=" + a.service_.str() +
                  " version=" + a.version_.str() + " class=" + a.class_.str() + " route=\"" + a.route_ +
                  "\" configuration=" + std::to_string(a.configuration_.value()));
}

void listener::tick()
{
    timer_due_.reset();
    handle(decide::entry_tick{});
}

// Firing too early does no harm, so the timer is re-armed only for an earlier time.
void listener::arm_timer()
{
    const auto due = entry_.next_due();
    if (!due || (timer_due_ && *timer_due_ <= *due))
        return;
    timer_due_ = due;
    timer_.arm(*due - clock_.now());
}

} // namespace guavahaven::caller
