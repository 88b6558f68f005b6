#include "caller/listener.h"

#include "base/log.h"

namespace guavahaven::caller {

door::door(event_loop& loop, metrics& counts, decide::entry decisions,
           std::function<void(const daemon_name&, const decide::entry_to_gate&, bool)> to_gate)
    : metrics_(counts), entry_(std::move(decisions)), to_gate_(std::move(to_gate)),
      server_(
          loop, {}, [this](const std::shared_ptr<http::exchange>& e) { take_request(e); },
          [this](http::read_fault why) { return refuse(why); }),
      timer_(loop, [this] { tick(); })
{
}

status door::listen(const http::address& at)
{
    return server_.listen(at);
}

void door::stop()
{
    stopping_ = true;
    server_.stop_listening();
}

void door::limit(const decide::callers_rule& rule)
{
    http::server_limits limits = server_.limits();
    limits.message_ = {rule.head_bytes_, rule.body_bytes_};
    limits.arrival_ = std::max(rule.arrival_, http::server_limits().arrival_);
    limits.idle_ = std::max(rule.idle_, http::server_limits().idle_);
    server_.set_limits(limits);
}

http::response door::refuse(http::read_fault why)
{
    const code said = why == http::read_fault::malformed ? code::request_malformed : code::request_too_large;
    ++metrics_.counter("guavahaven_requests_unreadable_total", "result=\"" + std::string(name(said)) + "\"");
    return decide::error_response(entry_.protocol(), said);
}

void door::take_request(const std::shared_ptr<http::exchange>& e)
{
    last_exchange_ = last_exchange_.next();
    const decide::exchange_id id = last_exchange_;
    exchanges_[id].exchange_ = e;
    e->on_gone([this, id] {
        exchanges_.erase(id);
        handle(decide::caller_gone{id});
    });
    http::request request = e->received();
    request.headers_ = http::end_to_end(request.headers_);
    handle(decide::caller_request{id, std::move(request)});
}

void door::handle(const decide::entry_event& e)
{
    if (const auto* m = std::get_if<decide::gate_message>(&e))
        log_setback(*m);
    for (const decide::entry_action& action : entry_.handle(e, clock_.now()))
        std::visit([this](const auto& a) { apply(a); }, action);
    arm();
}

void door::apply(const decide::send_to_gate& a)
{
    if (const auto* c = std::get_if<decide::call>(&a.message_))
        log_sent(a.to_, *c);
    to_gate_(a.to_, a.message_, a.fresh_connection_);
}

// Where an attempt goes, and what was known of that gate.
void door::log_sent(const daemon_name& to, const decide::call& c)
{
    const time_point now = clock_.now();
    if (!served_log_.take(now))
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

// An attempt that came to nothing; another one may follow.
void door::log_setback(const decide::gate_message& m)
{
    std::optional<code> why;
    decide::call_id id;
    if (const auto* r = std::get_if<decide::refusal>(&m.message_))
        std::tie(why, id) = std::tuple(r->code_, r->id_);
    else if (const auto* b = std::get_if<decide::broken>(&m.message_))
        std::tie(why, id) = std::tuple(b->code_, b->id_);
    if (why && failed_log_.take(clock_.now()))
        failed_log_.write("attempt_failed", "call=" + decide::to_string(id) + " gate=" + m.from_.str() +
                                                " result=" + std::string(name(*why)));
}

void door::apply(const decide::reply& a)
{
    const auto at = exchanges_.find(a.exchange_);
    if (at == exchanges_.end())
        return;
    open_exchange& to = at->second;
    http::response r = a.response_;
    if (stopping_)
        r.headers_.push_back({"Connection", "close"});
    if (!a.complete_) {
        to.exchange_->start(r.status_, r.headers_);
        return give(a.exchange_, to, r.body_);
    }
    to.exchange_->reply(r);
    exchanges_.erase(at);
}

void door::apply(const decide::reply_part& a)
{
    const auto at = exchanges_.find(a.exchange_);
    if (at == exchanges_.end())
        return;
    if (!a.bytes_.empty())
        give(a.exchange_, at->second, a.bytes_);
    if (!a.complete_)
        return;
    at->second.exchange_->finish();
    exchanges_.erase(at);
}

// Tells the entry once the bytes have left for the caller.
void door::give(decide::exchange_id id, open_exchange& to, const std::string& bytes)
{
    to.given_ += bytes.size();
    to.exchange_->more(bytes, [this, id, given = to.given_] { handle(decide::caller_took{id, given}); });
}

void door::apply(const decide::reply_abort& a)
{
    const auto at = exchanges_.find(a.exchange_);
    if (at == exchanges_.end())
        return;
    at->second.exchange_->abort();
    exchanges_.erase(at);
}

void door::apply(const decide::request_ended& a)
{
    const std::string of_class = "class=\"" + a.class_.str() + "\"";
    ++metrics_.counter("guavahaven_requests_total",
                       of_class + ",result=\"" + std::string(name(a.code_)) + "\"");
    metrics_.timing("guavahaven_request_seconds", of_class).record(a.took_);
    constexpr int server_failed = 500;
    const bool failed = a.code_ != code::ok || a.status_ >= server_failed;
    paced_log& log = failed ? failed_log_ : served_log_;
    if (!log.take(clock_.now()))
        return;
    log.write(failed ? "request_failed" : "request_served",
              "id=" + a.identity_ + " code=" + std::to_string(number(a.code_)) +
                  " result=" + std::string(name(a.code_)) + " status=" + std::to_string(a.status_) +
                  " took_ms=" + std::to_string(a.took_.count() / 1000) + " attempts=" +
                  std::to_string(a.attempts_) + " gate=" + a.gate_.str() + " service=" + a.service_.str() +
                  " version=" + a.version_.str() + " class=" + a.class_.str() + " route=\"" + a.route_ +
                  "\" configuration=" + std::to_string(a.configuration_.value()));
}

void door::tick()
{
    armed_.reset();
    handle(decide::entry_tick{});
}

// A timer that fires too early does no harm, so it is only ever moved forward.
void door::arm()
{
    const auto due = entry_.next_due();
    if (!due || (armed_ && *armed_ <= *due))
        return;
    armed_ = due;
    timer_.arm(*due - clock_.now());
}

} // namespace guavahaven::caller
