#include "peer/transport.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstring>

#include "base/log.h"

namespace guavahaven::peer {

namespace {

constexpr std::size_t unsent_most = 16 * 1024 * 1024; // bytes to a peer that reads too slowly
constexpr duration idle_check_interval = std::chrono::seconds(2);
constexpr duration idle_most = std::chrono::seconds(10); // without heartbeats
// A connection that has carried calls may wait long for an answer.
constexpr duration idle_most_with_calls = std::chrono::minutes(20);

std::optional<sockaddr_in> socket_address(const http::address& a)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(a.port_);
    if (inet_pton(AF_INET, a.ip_.c_str(), &to.sin_addr) != 1)
        return {};
    return to;
}

void send_at_once(bufferevent* stream)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool is_call(const message& m)
{
    return !std::holds_alternative<hello>(m) && !std::holds_alternative<decide::control_message>(m);
}

} // namespace

mesh::mesh(event_loop& loop, metrics& counts, hello self, std::function<void(event)> handler)
    : loop_(loop), metrics_(counts), self_(std::move(self)), handler_(std::move(handler)),
      idle_timer_(loop, [this] { close_idle(); })
{
    idle_timer_.arm(idle_check_interval);
}

mesh::~mesh() = default;

status mesh::listen(const http::address& at)
{
    const auto address = socket_address(at);
    if (!address)
        return error{code::settings_bad_value, "not an IP address: " + at.ip_};
    const unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    listener_.reset(evconnlistener_new_bind(loop_.base(), &mesh::on_accept, this, flags, -1,
                                            reinterpret_cast<const sockaddr*>(&*address), sizeof *address));
    if (!listener_)
        return error{code::settings_bad_value, "can't listen on " + http::to_string(at)};
    return std::monostate{};
}

void mesh::on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self)
{
    auto& m = *static_cast<mesh*>(self);
    bufferevent* stream = bufferevent_socket_new(m.loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    link* accepted = m.adopt(stream, daemon_name(), false);
    send_at_once(stream);
    m.write(*accepted, m.self_);
}

mesh::link* mesh::adopt(bufferevent* stream, const daemon_name& name, bool outgoing)
{
    auto owned =
        std::make_unique<link>(link{*this, {}, name, outgoing, false, clock_.now(), {}, !outgoing, {}});
    link* raw = owned.get();
    raw->stream_.reset(stream);
    bufferevent_setcb(stream, &mesh::on_read, nullptr, &mesh::on_event, raw);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    links_.emplace(raw, std::move(owned));
    return raw;
}

mesh::link* mesh::open(const daemon_name& to)
{
    const result<http::address> address = http::parse_address(to.str());
    const auto where = ok(address) ? socket_address(value(address)) : std::nullopt;
    if (!where)
        return nullptr;
    bufferevent* stream = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    link* opened = adopt(stream, to, true);
    by_name_[to] = opened;
    if (bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr*>(&*where), sizeof *where) != 0) {
        close(opened);
        return nullptr;
    }
    send_at_once(stream);
    write(*opened, self_);
    return opened;
}

void mesh::send(const daemon_name& to, const message& m, bool fresh)
{
    const auto known = by_name_.find(to);
    link* over = known == by_name_.end() ? nullptr : known->second;
    if (!over || fresh)
        over = open(to);
    if (!over) {
        handler_(lost{to, {}});
        return;
    }
    note_unsent(*over, m);
    write(*over, m);
}

void mesh::write(link& to, const message& m)
{
    const std::string frame = to_frame(m);
    note_use(to, m);
    if (!is_call(m)) {
        metrics_.counter("guavahaven_control_bytes_sent_total") += frame.size();
        ++metrics_.counter("guavahaven_control_messages_sent_total");
    }
    evbuffer* out = bufferevent_get_output(to.stream_.get());
    if (evbuffer_get_length(out) > unsent_most)
        return; // the receiver is as good as silent; its heartbeat will tell
    evbuffer_add(out, frame.data(), frame.size());
}

void mesh::on_read(bufferevent* stream, void* at)
{
    auto& l = *static_cast<link*>(at);
    mesh& owner = l.owner_;
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
        owner.note_use(l, value(*next));
        if (!is_call(value(*next))) {
            owner.metrics_.counter("guavahaven_control_bytes_received_total") += l.reader_.last_size();
            ++owner.metrics_.counter("guavahaven_control_messages_received_total");
        }
        owner.take(l, guavahaven::take(std::move(*next)));
        if (!owner.links_.contains(&l))
            return;
    }
}

void mesh::take(link& from, message m)
{
    if (const auto* greeting = std::get_if<hello>(&m)) {
        if (!from.outgoing_) {
            from.name_ = greeting->name_;
            by_name_.insert_or_assign(from.name_, &from);
        }
        return;
    }
    if (from.name_.empty())
        return close(&from); // every connection starts with a hello
    handler_(received{from.name_, std::move(m)});
}

void mesh::on_event(bufferevent*, short what, void* at)
{
    auto& l = *static_cast<link*>(at);
    if (what & BEV_EVENT_CONNECTED) {
        l.connected_ = true;
        l.unsent_.clear();
    }
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
        l.owner_.close(&l);
}

void mesh::note_use(link& l, const message& m)
{
    l.used_ = clock_.now();
    l.carries_calls_ = l.carries_calls_ || is_call(m);
}

// Until the connection opens, nothing that is given to it leaves the process.
void mesh::note_unsent(link& l, const message& m)
{
    const auto* to_gate = std::get_if<decide::entry_to_gate>(&m);
    const auto* call = to_gate ? std::get_if<decide::call>(to_gate) : nullptr;
    if (call && !l.connected_)
        l.unsent_.push_back(call->id_);
}

void mesh::close(link* gone)
{
    std::vector<decide::call_id> unsent = std::move(gone->unsent_);
    const daemon_name name = gone->name_;
    const bool carried_calls = gone->carries_calls_;
    const auto named = by_name_.find(name);
    const bool was_used = named != by_name_.end() && named->second == gone;
    if (was_used)
        by_name_.erase(named);
    links_.erase(gone);
    if (was_used)
        for (const auto& [other, owned] : links_)
            if (other->name_ == name)
                by_name_.insert_or_assign(name, other);
    if (was_used || carried_calls)
        handler_(lost{name, std::move(unsent)});
}

// A connection that a newer one replaced, or that nobody needs any more.
void mesh::close_idle()
{
    const time_point now = clock_.now();
    std::vector<link*> idle;
    for (const auto& [l, owned] : links_)
        if (now - l->used_ > (l->carries_calls_ ? idle_most_with_calls : idle_most))
            idle.push_back(l);
    for (link* l : idle)
        close(l);
    metrics_.set_gauge("guavahaven_peer_connections", static_cast<double>(links_.size()));
    idle_timer_.arm(idle_check_interval);
}

} // namespace guavahaven::peer
