#include "caller/door.h"

namespace guavahaven::caller {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
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
    timer_.arm(tick_interval);
}

status door::listen(const http::address& at)
{
    return server_.listen(at);
}

void door::take_request(const std::shared_ptr<http::exchange>& e)
{
    if (too_large(e->received())) {
        ++metrics_.counter("guavahaven_requests_too_large_total");
        return e->reply(decide::error_response(code::request_too_large));
    }
    last_exchange_ = last_exchange_.next();
    const decide::exchange_id id = last_exchange_;
    exchanges_.emplace(id, e);
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
    if (!a.complete_)
        return at->second->start(a.response_.status_, a.response_.headers_);
    at->second->reply(a.response_);
    exchanges_.erase(at);
}

void door::apply(const decide::reply_part& a)
{
    const auto at = exchanges_.find(a.exchange_);
    if (at == exchanges_.end())
        return;
    if (!a.bytes_.empty())
        at->second->more(a.bytes_);
    if (!a.complete_)
        return;
    at->second->finish();
    exchanges_.erase(at);
}

void door::apply(const decide::reply_abort& a)
{
    const auto at = exchanges_.find(a.exchange_);
    if (at == exchanges_.end())
        return;
    at->second->abort();
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
    handle(decide::entry_tick{});
    timer_.arm(tick_interval);
}

} // namespace guavahaven::caller
