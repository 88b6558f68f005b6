#include "base/http_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>

#include <algorithm>
#include <charconv>

#include "base/http_reader.h"
#include "base/sockets.h"

namespace guavahaven::http {

namespace {

constexpr std::size_t min_part_bytes = 64 * 1024;         // smallest part but the last of a streamed response
constexpr std::size_t max_read_ahead_bytes = 1024 * 1024; // of a streamed response
constexpr std::size_t max_head_bytes = 64 * 1024;         // of a response
constexpr std::size_t max_body_bytes = 1024UL * 1024 * 1024;
constexpr duration default_idle_timeout = std::chrono::seconds(60); // of servers that state none
// An idle connection is used again only within this many tenths of the server's idle
// timeout: later, the server may close it just as a request is on its way.
constexpr int usable_idle_tenths = 8;
// A connection is closed after so many failures that name their request, so that what it remembers is
// bounded.
constexpr std::size_t max_remembered_failures = 64;

// The server's idle timeout, from 'Keep-Alive: timeout=N' (seconds).
duration server_idle_timeout(const headers& all)
{
    const std::string text = find_header(all, "Keep-Alive");
    const std::size_t at = text.find("timeout=");
    std::uint32_t seconds = 0;
    if (at == std::string::npos)
        return default_idle_timeout;
    std::from_chars(text.data() + at + 8, text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

std::string to_bytes(const request& r, const address& to)
{
    std::string out = r.method_ + " " + r.target_ + " HTTP/1.1\r\n";
    if (find_header(r.headers_, "Host").empty())
        out += "Host: " + to_string(to) + "\r\n";
    for (const header& h : r.headers_)
        out += h.name_ + ": " + h.value_ + "\r\n";
    const bool may_lack_body = r.method_ == "GET" || r.method_ == "HEAD" || r.method_ == "DELETE";
    if (!r.body_.empty() || !may_lack_body)
        out += "Content-Length: " + std::to_string(r.body_.size()) + "\r\n";
    return out + "\r\n" + r.body_;
}

} // namespace

// One connection and the request that is using it, if any.
class client::connection : public std::enable_shared_from_this<client::connection> {
public:
    explicit connection(client& owner)
        : owner_(owner), stream_(bufferevent_socket_new(owner.loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
          reader_(message_reader::kind::response, {max_head_bytes, max_body_bytes}),
          timeout_(owner.loop_, [this] { fail(); })
    {
        bufferevent_setcb(stream_, &connection::on_read, nullptr, &connection::on_event, this);
        evbuffer_add_cb(bufferevent_get_output(stream_), &connection::on_written, this);
        bufferevent_enable(stream_, EV_READ | EV_WRITE);
    }
    ~connection() { end(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool busy() const { return handler_ != nullptr; }
    std::uint64_t request_id() const { return request_id_; }
    // False for an idle connection that the server is about to close.
    bool usable(time_point now) const
    {
        return stream_ && !busy() && (now - idle_since_) * 10 < idle_timeout_ * usable_idle_tenths;
    }
    time_point idle_since() const { return idle_since_; }
    // True if a request with this identity has failed on this connection. A faulty server may send that
    // failure again, which couldn't be told from the response to a request with the same identity.
    bool has_failed(const std::string& identity) const
    {
        return std::find(failed_.begin(), failed_.end(), identity) != failed_.end();
    }

    void start(waiting_request w)
    {
        handler_ = std::move(w.handler_);
        request_id_ = w.request_id_;
        in_parts_ = w.in_parts_;
        sent_ = false;
        started_ = false;
        buffered_.clear();
        head_request_ = w.request_.method_ == "HEAD";
        identity_ = owner_.identity_of(w.request_);
        begin_response();
        bufferevent_setwatermark(stream_, EV_READ, 0, in_parts_ ? max_read_ahead_bytes : 0);
        bufferevent_enable(stream_, EV_READ);
        timeout_.arm(w.timeout_);
        const std::string bytes = to_bytes(w.request_, owner_.to_);
        evbuffer_add(bufferevent_get_output(stream_), bytes.data(), bytes.size());
    }

    // False if the connection attempt failed at once.
    bool connect()
    {
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(owner_.to_.port_);
        if (inet_pton(AF_INET, owner_.to_.ip_.c_str(), &where.sin_addr) != 1)
            return false;
        ++owner_.connects_;
        if (bufferevent_socket_connect(stream_, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0)
            return false;
        if (stream_)
            tune_socket(bufferevent_getfd(stream_));
        return stream_ != nullptr;
    }

    void set_reading(bool on)
    {
        if (on)
            bufferevent_enable(stream_, EV_READ);
        else
            bufferevent_disable(stream_, EV_READ);
    }

    void end()
    {
        timeout_.cancel();
        if (stream_)
            bufferevent_free(std::exchange(stream_, nullptr));
    }

    // Closes the connection; the current request, if any, gets an error.
    void fail()
    {
        const auto held = shared_from_this();
        const stream_handler handler = std::exchange(handler_, nullptr);
        end();
        owner_.forget(*this);
        if (handler)
            handler(sent_ ? owner_.broken_ : owner_.unreachable_);
        owner_.start_next();
    }

private:
    static void on_read(bufferevent*, void* at) { static_cast<connection*>(at)->shared_from_this()->read(); }
    static void on_event(bufferevent*, short what, void* at)
    {
        const auto c = static_cast<connection*>(at)->shared_from_this();
        if (what & BEV_EVENT_EOF) {
            c->read();
            if (c->busy())
                c->reader_.end_of_stream();
            if (c->busy() && c->reader_.done() && !c->mismatched_ && c->owner_.rules_.close_delimited_)
                return c->complete();
        }
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            c->fail();
    }
    // A request stays in the output buffer until the connection is open; bytes that
    // have left the buffer may have reached the server.
    static void on_written(evbuffer*, const evbuffer_cb_info* info, void* at)
    {
        if (info->n_deleted > 0)
            static_cast<connection*>(at)->sent_ = true;
    }

    void begin_response()
    {
        reader_.reset();
        head_checked_ = false;
        mismatched_ = false;
        if (head_request_)
            reader_.expect_no_body();
    }

    void read()
    {
        const auto held = shared_from_this();
        while (stream_) {
            evbuffer* in = bufferevent_get_input(stream_);
            const std::size_t length = evbuffer_get_length(in);
            if (length == 0)
                return;
            if (!busy())
                return fail(); // the server sent bytes that no request asked for
            const std::size_t taken =
                reader_.read({reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), length});
            evbuffer_drain(in, taken);
            if (!handle_parsed())
                return fail();
            if (taken == 0)
                return;
        }
    }

    // Handles what the reader has parsed so far; false if it is no response to the request.
    bool handle_parsed()
    {
        if (reader_.fault())
            return false;
        if (!reader_.head_done())
            return true;
        if (!head_checked_ && !check_head())
            return false;
        if (reader_.done() && (mismatched_ || reader_.status() < 200)) {
            begin_response(); // of another request, or interim (1xx): the final one follows
            return true;
        }
        if (mismatched_) {
            reader_.take_body();
            return true;
        }
        if (reader_.done()) {
            complete();
            return true;
        }
        buffered_ += reader_.take_body();
        if (in_parts_ && buffered_.size() >= min_part_bytes)
            handler_(next_event(false));
        return true;
    }

    bool check_head()
    {
        head_checked_ = true;
        if (reader_.status() < 200)
            return reader_.status() != 101;
        if (reader_.ends_with_connection() && !owner_.rules_.close_delimited_)
            return false; // its end can't be told from a broken connection
        if (owner_.rules_.identity_header_.empty())
            return true;
        const std::string named = find_header(reader_.all_headers(), owner_.rules_.identity_header_);
        mismatched_ = named != identity_;
        return !named.empty() || identity_.empty();
    }

    // The buffered bytes, as the start of the response or as a further part.
    response_event next_event(bool complete)
    {
        std::string bytes = std::exchange(buffered_, {});
        if (std::exchange(started_, true))
            return response_part{std::move(bytes), complete};
        return response_start{{reader_.status(), reader_.all_headers(), std::move(bytes)}, complete};
    }

    void complete()
    {
        buffered_ += reader_.take_body();
        timeout_.cancel();
        idle_timeout_ = server_idle_timeout(reader_.all_headers());
        idle_since_ = owner_.clock_.now();
        if (!identity_.empty() && reader_.status() >= 300)
            failed_.push_back(identity_);
        const bool kept = reader_.keep_alive() && !reader_.ends_with_connection() &&
                          failed_.size() < max_remembered_failures &&
                          evbuffer_get_length(bufferevent_get_input(stream_)) == 0;
        const response_event last_event = next_event(true);
        const stream_handler handler = std::exchange(handler_, nullptr);
        if (!kept) {
            end();
            owner_.forget(*this);
        }
        client& owner = owner_;
        handler(last_event);
        owner.start_next();
    }

    client& owner_;
    bufferevent* stream_;
    message_reader reader_;
    timer timeout_;
    stream_handler handler_;
    std::uint64_t request_id_ = 0;
    bool in_parts_ = false;
    bool head_request_ = false;
    std::string identity_;
    std::vector<std::string> failed_; // identities of the requests that failed on this connection
    bool sent_ = false;               // bytes of the request were given to the operating system
    bool started_ = false;            // the start of the response was passed to the handler
    bool head_checked_ = false;       // check_head() was called for this response
    bool mismatched_ = false;         // the response belongs to another request
    std::string buffered_;            // body bytes that were not yet passed to the handler
    time_point idle_since_{};
    duration idle_timeout_ = default_idle_timeout;
};

client::client(event_loop& loop, address to, std::size_t max_connections, error unreachable,
               std::optional<error> broken, response_rules rules)
    : loop_(loop), to_(std::move(to)), max_connections_(max_connections),
      unreachable_(std::move(unreachable)), broken_(broken.value_or(unreachable_)), rules_(std::move(rules))
{
}

client::~client()
{
    for (const auto& c : connections_)
        c->end();
}

std::size_t client::in_flight() const
{
    const auto busy = [](const auto& c) { return c->busy(); };
    return waiting_.size() +
           static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), busy));
}

void client::send(request r, duration timeout, response_handler h)
{
    send(0, std::move(r), timeout, std::move(h));
}

void client::send(std::uint64_t request_id, request r, duration timeout, response_handler h)
{
    const auto on_complete = [h = std::move(h)](response_event e) {
        if (auto* answered = std::get_if<response_start>(&e))
            h(std::move(answered->response_));
        else
            h(std::get<error>(std::move(e)));
    };
    enqueue({request_id, std::move(r), timeout, on_complete, false});
}

void client::stream(std::uint64_t request_id, request r, duration timeout, stream_handler h)
{
    enqueue({request_id, std::move(r), timeout, std::move(h), true});
}

std::string client::identity_of(const request& r) const
{
    return rules_.identity_header_.empty() ? "" : find_header(r.headers_, rules_.identity_header_);
}

// The most recently used one, so that the others can reach their idle timeout.
client::connection* client::idle_connection(const std::string& identity)
{
    const time_point now = clock_.now();
    std::erase_if(connections_, [now](const auto& c) { return !c->busy() && !c->usable(now); });
    connection* best = nullptr;
    for (const auto& c : connections_)
        if (!c->busy() && !c->has_failed(identity) && (!best || c->idle_since() > best->idle_since()))
            best = c.get();
    return best;
}

// Makes room for a connection if all idle ones are unusable for a request; false if none is idle.
bool client::close_idle_connection()
{
    const auto idle =
        std::find_if(connections_.begin(), connections_.end(), [](const auto& c) { return !c->busy(); });
    if (idle == connections_.end())
        return false;
    (*idle)->end();
    connections_.erase(idle);
    return true;
}

void client::enqueue(waiting_request w)
{
    if (connection* idle = idle_connection(identity_of(w.request_)))
        return idle->start(std::move(w));
    if (connections_.size() >= max_connections_ && !close_idle_connection()) {
        waiting_.push_back(std::move(w));
        return;
    }
    const auto opened = std::make_shared<connection>(*this);
    connections_.push_back(opened);
    opened->start(std::move(w));
    if (!opened->connect() && opened->busy())
        opened->fail();
}

client::connection* client::find(std::uint64_t request_id)
{
    const auto at = std::find_if(connections_.begin(), connections_.end(), [request_id](const auto& c) {
        return c->busy() && c->request_id() == request_id;
    });
    return at == connections_.end() ? nullptr : at->get();
}

void client::pause(std::uint64_t request_id)
{
    if (connection* c = find(request_id))
        c->set_reading(false);
}

void client::resume(std::uint64_t request_id)
{
    if (connection* c = find(request_id))
        c->set_reading(true);
}

void client::cancel(std::uint64_t request_id)
{
    std::erase_if(waiting_, [request_id](const waiting_request& w) { return w.request_id_ == request_id; });
    connection* cancelled = find(request_id);
    if (!cancelled)
        return;
    const auto held = cancelled->shared_from_this();
    held->end();
    forget(*cancelled);
    start_next();
}

void client::forget(connection& c)
{
    std::erase_if(connections_, [&c](const auto& held) { return held.get() == &c; });
}

void client::start_next()
{
    if (waiting_.empty())
        return;
    waiting_request next = std::move(waiting_.front());
    waiting_.erase(waiting_.begin());
    enqueue(std::move(next));
}

} // namespace guavahaven::http
