#include "backend/door.h"

#include <charconv>

#include "base/hash.h"
#include "base/log.h"

namespace guavahaven::backend {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(20);
constexpr std::uint32_t slots_most = 100'000;

std::optional<std::uint32_t> parameter_number(const std::string& target, const std::string& name)
{
    const std::string text = http::query_parameter(target, name);
    std::uint32_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, number);
    if (text.empty() || failed != std::errc() || stop != end || number == 0 || number > slots_most)
        return {};
    return number;
}

} // namespace

door::door(event_loop& loop, metrics& counts, const settings& s, decide::gate decisions, outlets out)
    : loop_(loop), metrics_(counts), settings_(s), gate_(std::move(decisions)), out_(std::move(out)),
      server_(loop, {}, [this](const std::shared_ptr<http::exchange>& e) { take_announcement(*e); }),
      timer_(loop, [this] { tick(); })
{
    timer_.arm(tick_interval);
}

status door::listen()
{
    return server_.listen(settings_.listen_);
}

void door::take_announcement(http::exchange& e)
{
    const std::string& target = e.received().target_;
    const auto port = parameter_number(target, "port");
    const auto slots = parameter_number(target, "slots");
    const auto connections = parameter_number(target, "connections");
    const service_name service(http::query_parameter(target, "service"));
    const version_name version(http::query_parameter(target, "version"));
    const bool valid = http::path_of(target) == "/announce" && port && *port <= 65'535 && slots &&
                       connections && !service.empty() && !version.empty();
    if (!valid)
        return e.reply(
            {400, {}, to_string(error{code::request_malformed, "not a valid announcement"}) + "\n"});

    connect({settings_.listen_.ip_, static_cast<std::uint16_t>(*port)}, *connections);
    const bool draining = http::query_parameter(target, "state") == "draining";
    if (!present_)
        log_info("backend", "announced", "service=" + service.str() + " version=" + version.str());
    present_ = true;
    last_announcement_ = clock_.now();
    const std::uint64_t start = hash(http::query_parameter(target, "start"));
    handle(decide::backend_announced{service, version, *slots, *connections, draining, start});
    out_.announced_({service, version, *slots, draining});
    e.reply({200, {}, ""});
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
    backend_ = std::make_unique<http::client>(loop_, at, connections,
                                              error{code::backend_unreachable, http::to_string(at)},
                                              error{code::answer_incomplete, http::to_string(at)});
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
    if (!backend_)
        return handle(decide::run_not_sent{a.run_});
    backend_->stream(a.run_.value(), a.request_, a.timeout_,
                     [this, run = a.run_](http::response_event e) { take_response(run, std::move(e)); });
}

void door::take_response(decide::run_id run, http::response_event event)
{
    std::visit(guavahaven::overloaded{
                   [&](http::response_start& first) {
                       http::response& r = first.response_;
                       const std::string length = http::find_header(r.headers_, "Content-Length");
                       r.headers_ = http::end_to_end(r.headers_);
                       if (!first.complete_ && !length.empty())
                           r.headers_.push_back({"Content-Length", length});
                       handle(decide::run_answered{run, std::move(r), first.complete_});
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
    if (backend_)
        backend_->cancel(a.run_.value());
    for (const auto& client : former_)
        client->cancel(a.run_.value());
}

void door::apply(const decide::send_to_entry& a)
{
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
