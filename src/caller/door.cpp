#include "caller/door.h"

namespace guavahaven::caller {

namespace {

constexpr std::size_t header_most = 16 * 1024; // bytes of a request's names and values
constexpr std::size_t body_most = 1024 * 1024; // bytes

// The library closes the connection above its own limits, without a word; so
// these lie higher, and what is between is refused by its code.
http::server_limits library_limits()
{
    constexpr std::size_t room = 4;
    http::server_limits limits;
    limits.header_bytes_ = room * header_most;
    limits.body_bytes_ = room * body_most;
    return limits;
}

bool too_large(const http::request& r)
{
    std::size_t header_bytes = r.target_.size();
    for (const http::header& h : r.headers_)
        header_bytes += h.name_.size() + h.value_.size();
    return header_bytes > header_most || r.body_.size() > body_most;
}

} // namespace

door::door(event_loop& loop, metrics& counts, decide::entry decisions,
           std::function<void(const daemon_name&, const decide::entry_to_gate&, bool)> to_gate)
    : metrics_(counts), entry_(std::move(decisions)), to_gate_(std::move(to_gate)),
      server_(loop, library_limits(), [this](const std::shared_ptr<http::exchange>& e) { take_request(e); }),
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

void door::take_request(const std::shared_ptr<http::exchange>& e)
{
    if (too_large(e->received())) {
        ++metrics_.counter("guavahaven_requests_too_large_total");
        return e->reply(decide::error_response(code::request_too_large));
    }
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
    for (const decide::entry_action& action : entry_.handle(e, clock_.now()))
        std::visit([this](const auto& a) { apply(a); }, action);
    arm();
}

void door::apply(const decide::send_to_gate& a)
{
    to_gate_(a.to_, a.message_, a.fresh_connection_);
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
