#include "peer/transport.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstring>

#include "base/log.h"

namespace guavahaven::peer {

namespace {

constexpr std::size_t max_unsent_bytes = 16 * 1024 * 1024; // buffered for a peer that reads too slowly
constexpr duration idle_check_interval = std::chrono::seconds(2);
constexpr duration idle_timeout = std::chrono::seconds(10); // without messages, heartbeats included
// Longer, since a connection may be silent while a long call is running.
constexpr duration idle_timeout_after_calls = std::chrono::minutes(20);

std::optional<sockaddr_in> socket_address(const http::address& a)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(a.port_);
    if (inet_pton(AF_INET, a.ip_.c_str(), &to.sin_addr) != 1)
        return {};
    return to;
}

void disable_nagle(bufferevent* stream)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool is_call(const message& m)
{
    return !std::holds_alternative<hello>(m) && !std::holds_alternative<decide::control_message>(m);
}

} // namespace

transport::transport(event_loop& loop, metrics& counts, hello self, std::function<void(event)> handler)
    : loop_(loop), metrics_(counts), self_(std::move(self)), handler_(std::move(handler)),
      idle_timer_(loop, [this] { close_idle(); })
{
    idle_timer_.arm(idle_check_interval);
}

transport::~transport() = default;

status transport::listen(const http::address& at)
{
    const auto address = socket_address(at);
    if (!address)
        return error{code::settings_bad_value, "not an IP address: " + at.ip_};
    const unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    listener_.reset(evconnlistener_new_bind(loop_.base(), &transport::on_accept, this, flags, -1,
                                            reinterpret_cast<const sockaddr*>(&*address), sizeof *address));
    if (!listener_)
        return error{code::settings_bad_value, "can't listen on " + http::to_string(at)};
    return std::monostate{};
}

void transport::on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self)
{
    auto& m = *static_cast<transport*>(self);
    bufferevent* stream = bufferevent_socket_new(m.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    connection* accepted = m.add_connection(stream, daemon_name(), false);
    disable_nagle(stream);
    m.write(*accepted, m.self_);
}

transport::connection* transport::add_connection(bufferevent* stream, const daemon_name& name, bool outgoing)
{
    auto owned = std::make_unique<connection>(
        connection{*this, {}, name, outgoing, false, clock_.now(), {}, !outgoing, {}});
    connection* raw = owned.get();
    raw->stream_.reset(stream);
    bufferevent_setcb(stream, &transport::on_read, nullptr, &transport::on_event, raw);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    connections_.emplace(raw, std::move(owned));
    return raw;
}

transport::connection* transport::open(const daemon_name& to)
{
    const result<http::address> address = http::parse_address(to.str());
    const auto where = ok(address) ? socket_address(value(address)) : std::nullopt;
    if (!where)
        return nullptr;
    bufferevent* stream = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    connection* opened = add_connection(stream, to, true);
    by_name_[to] = opened;
    if (bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr*>(&*where), sizeof *where) != 0) {
        close(opened);
        return nullptr;
    }
    disable_nagle(stream);
    write(*opened, self_);
    return opened;
}

void transport::send(const daemon_name& to, const message& m, bool reconnect)
{
    const auto known = by_name_.find(to);
    connection* over = known == by_name_.end() ? nullptr : known->second;
    if (!over || reconnect)
        over = open(to);
    if (!over) {
        handler_(connection_lost{to, {}, false});
        return;
    }
    record_unsent(*over, m);
    write(*over, m);
}

void transport::write(connection& to, const message& m)
{
    const std::string frame = to_frame(m);
    record_use(to, m);
    if (!is_call(m)) {
        metrics_.counter("guavahaven_control_bytes_sent_total") += frame.size();
        ++metrics_.counter("guavahaven_control_messages_sent_total");
    }
    evbuffer* out = bufferevent_get_output(to.stream_.get());
    if (evbuffer_get_length(out) > max_unsent_bytes)
        return; // dropped: the peer reads too slowly; the failure detector handles that
    evbuffer_add(out, frame.data(), frame.size());
}

void transport::on_read(bufferevent* stream, void* at)
{
    auto& l = *static_cast<connection*>(at);
    transport& owner = l.owner_;
    evbuffer* in = bufferevent_get_input(stream);
    const std::size_t length = evbuffer_get_length(in);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(in, -1));
    l.reader_.append({bytes, length});
    evbuffer_drain(in, length);
    while (auto next = l.reader_.next()) {
        if (!ok(*next)) {
            ++owner.metrics_.counter("guavahaven_peer_frames_refused_total");
            log_warning("peer", "frame_refused",
                        "peer=" + l.name_.str() + " error=" + to_string(failure(*next)));
            return owner.close(&l);
        }
        owner.record_use(l, value(*next));
        if (!is_call(value(*next))) {
            owner.metrics_.counter("guavahaven_control_bytes_received_total") += l.reader_.last_size();
            ++owner.metrics_.counter("guavahaven_control_messages_received_total");
        }
        owner.handle(l, guavahaven::take(std::move(*next)));
        if (!owner.connections_.contains(&l))
            return;
    }
}

void transport::handle(connection& from, message m)
{
    if (const auto* hello_message = std::get_if<hello>(&m)) {
        if (!from.outgoing_) {
            from.name_ = hello_message->name_;
            by_name_.insert_or_assign(from.name_, &from);
        }
        return;
    }
    if (from.name_.empty())
        return close(&from); // a connection must start with a hello
    handler_(message_received{from.name_, std::move(m)});
}

void transport::on_event(bufferevent*, short what, void* at)
{
    auto& l = *static_cast<connection*>(at);
    if (what & BEV_EVENT_CONNECTED) {
        l.connected_ = true;
        l.unsent_.clear();
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
        l.owner_.close(&l);
}

void transport::record_use(connection& l, const message& m)
{
    l.last_used_ = clock_.now();
    l.carried_calls_ = l.carried_calls_ || is_call(m);
}

// Calls written before the connection is open: if it never opens, they can't have run.
void transport::record_unsent(connection& l, const message& m)
{
    const auto* to_gate = std::get_if<decide::entry_to_gate>(&m);
    const auto* call = to_gate ? std::get_if<decide::call>(to_gate) : nullptr;
    if (call && !l.connected_)
        l.unsent_.push_back(call->id_);
}

void transport::close(connection* closed)
{
    std::vector<decide::call_id> unsent = std::move(closed->unsent_);
    const daemon_name name = closed->name_;
    const bool carried_calls = closed->carried_calls_;
    const auto named = by_name_.find(name);
    const bool was_used = named != by_name_.end() && named->second == closed;
    if (was_used)
        by_name_.erase(named);
    connections_.erase(closed);
    if (was_used)
        for (const auto& [other, owned] : connections_)
            if (other->name_ == name)
                by_name_.insert_or_assign(name, other);
    if (was_used || carried_calls)
        handler_(connection_lost{name, std::move(unsent), !was_used});
}

// Closes connections that a newer one replaced or that are no longer used.
void transport::close_idle()
{
    const time_point now = clock_.now();
    std::vector<connection*> idle;
    for (const auto& [l, owned] : connections_)
        if (now - l->last_used_ > (l->carried_calls_ ? idle_timeout_after_calls : idle_timeout))
            idle.push_back(l);
    for (connection* l : idle)
        close(l);
    metrics_.set_gauge("guavahaven_peer_connections", static_cast<double>(connections_.size()));
    idle_timer_.arm(idle_check_interval);
}

} // namespace guavahaven::peer
