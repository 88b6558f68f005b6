#pragma once

// Stand-ins for the cases of this review: the platform's store, backends and clients, as the users' pages
// describe them, and the daemons of the deploy file as separate processes. Blocking sockets, one thread for
// each connection. All addresses are on 127.0.0.1.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_could_not_run = 2;

struct could_not_run {
    std::string why_;
};

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

// What was sent, answered and run, with the time since the start of the case.
class record {
public:
    explicit record(const std::string& path) : out_(path) {}

    void note(const std::string& who, const std::string& what)
    {
        const std::lock_guard lock(mutex_);
        const auto ms = std::chrono::duration_cast<milliseconds>(steady::now() - began_).count();
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f ", static_cast<double>(ms) / 1000);
        out_ << stamp << who << ": " << what << "\n" << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady::time_point began_ = steady::now();
};

inline int listen_on(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0) {
        close(fd);
        throw could_not_run{"can't listen on port " + std::to_string(port)};
    }
    return fd;
}

// A port that was free a moment ago; no two calls return the same one. Below the ports that the system gives
// to outgoing connections.
inline int free_port()
{
    static int last = 12'000 + static_cast<int>(getpid()) * 61 % 18'000;
    for (int i = 0; i < 1000; ++i) {
        if (++last >= 32'000)
            last = 12'000;
        try {
            close(listen_on(last));
            return last;
        }
        catch (const could_not_run&) {
            continue; // in use
        }
    }
    throw could_not_run{"no free port"};
}

// An HTTP/1.1 message. The body is decoded.
struct message {
    std::string method_, target_; // of a request
    int status_ = 0;              // of a response
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers_)
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        return "";
    }
    std::string path() const { return target_.substr(0, target_.find('?')); }
    std::string query(const std::string& name) const
    {
        const std::size_t mark = target_.find('?');
        std::istringstream parts(mark == std::string::npos ? "" : target_.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&'))
            if (part.starts_with(name + "="))
                return part.substr(name.size() + 1);
        return "";
    }
};

// A connection of either side.
class connection {
public:
    explicit connection(int fd) : fd_(fd)
    {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { finish(); }
    connection(const connection&) = delete;

    int fd() const { return fd_; }
    void finish()
    {
        if (fd_ >= 0)
            close(std::exchange(fd_, -1));
    }
    bool write(const std::string& bytes, int timeout_ms = 10'000)
    {
        std::size_t done = 0;
        const auto end = steady::now() + milliseconds(timeout_ms);
        while (done < bytes.size()) {
            const ssize_t n =
                send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) {
                done += static_cast<std::size_t>(n);
                continue;
            }
            if (n < 0 && errno != EAGAIN && errno != EINTR)
                return false;
            pollfd p{fd_, POLLOUT, 0};
            if (steady::now() >= end || poll(&p, 1, 100) < 0)
                return false;
        }
        return true;
    }
    // Reads one message; empty if the connection ended, or the time was over, before it was complete.
    std::optional<message> read(bool response, int timeout_ms)
    {
        end_ = steady::now() + milliseconds(timeout_ms);
        std::size_t head = 0;
        while ((head = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (!fill())
                return {};
        message m;
        std::istringstream lines(buffer_.substr(0, head + 2));
        buffer_.erase(0, head + 4);
        std::string line;
        std::getline(lines, line);
        std::istringstream first(line);
        std::string version;
        if (response)
            first >> version >> m.status_;
        else
            first >> m.method_ >> m.target_;
        while (std::getline(lines, line)) {
            if (line.ends_with('\r'))
                line.pop_back();
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            m.headers_.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
        }
        if (response && m.status_ >= 100 && m.status_ < 200)
            return read(response, timeout_ms);
        if (strcasecmp(m.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                std::size_t eol = 0;
                while ((eol = buffer_.find("\r\n")) == std::string::npos)
                    if (!fill())
                        return {};
                const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
                buffer_.erase(0, eol + 2);
                while (buffer_.size() < size + 2)
                    if (!fill())
                        return {};
                m.body_ += buffer_.substr(0, size);
                buffer_.erase(0, size + 2);
                if (size == 0)
                    return m;
            }
        }
        const std::size_t length = std::strtoul(m.header("Content-Length").c_str(), nullptr, 10);
        while (buffer_.size() < length)
            if (!fill())
                return {};
        m.body_ = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return m;
    }
    // True if the other side has closed the connection, or reset it.
    bool ended() const { return ended_; }

private:
    bool fill()
    {
        while (true) {
            const auto left = std::chrono::duration_cast<milliseconds>(end_ - steady::now()).count();
            if (left <= 0 || fd_ < 0)
                return false;
            pollfd p{fd_, POLLIN, 0};
            const int ready = poll(&p, 1, static_cast<int>(std::min<long long>(left, 200)));
            if (ready == 0 || (ready < 0 && errno == EINTR))
                continue;
            char bytes[65536];
            const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
            if (n > 0) {
                buffer_.append(bytes, static_cast<std::size_t>(n));
                return true;
            }
            ended_ = true;
            return false;
        }
    }

    int fd_;
    std::string buffer_;
    steady::time_point end_;
    bool ended_ = false;
};

inline std::unique_ptr<connection> connect_to(int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_unique<connection>(fd);
}

inline std::string to_bytes(const message& m)
{
    std::string out = m.status_ != 0 ? "HTTP/1.1 " + std::to_string(m.status_) + " Status\r\n"
                                     : m.method_ + " " + m.target_ + " HTTP/1.1\r\n";
    for (const auto& [key, value] : m.headers_)
        out += key + ": " + value + "\r\n";
    if (m.status_ != 0 || !m.body_.empty())
        out += "Content-Length: " + std::to_string(m.body_.size()) + "\r\n";
    return out + "\r\n" + m.body_;
}

// Accepts connections and serves each on a thread of its own, until stopped.
class server {
public:
    using handler = std::function<void(connection&)>;

    server(int port, handler h) : port_(port), fd_(listen_on(port)), handler_(std::move(h))
    {
        accepting_ = std::thread([this] { accept_all(); });
    }
    ~server() { stop(); }

    int port() const { return port_; }
    bool stopping() const { return stopping_; }
    void stop()
    {
        if (stopping_.exchange(true))
            return;
        accepting_.join();
        close(fd_);
        reset_all();
        for (std::thread& t : threads_)
            t.join();
    }
    // Ends all connections that are open now.
    void reset_all()
    {
        const std::lock_guard lock(mutex_);
        for (const auto& c : open_)
            shutdown(c->fd(), SHUT_RDWR);
    }

private:
    void accept_all()
    {
        while (!stopping_) {
            pollfd p{fd_, POLLIN, 0};
            if (poll(&p, 1, 50) <= 0)
                continue;
            const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const std::lock_guard lock(mutex_);
            auto c = std::make_shared<connection>(fd);
            open_.insert(c);
            threads_.emplace_back([this, c] {
                handler_(*c);
                const std::lock_guard done(mutex_);
                open_.erase(c);
                c->finish();
            });
        }
    }

    int port_;
    int fd_;
    handler handler_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::set<std::shared_ptr<connection>> open_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

// The platform's metadata store: kinds of objects, one revision counter, conditional writes and watches.
class store {
public:
    explicit store(record& r) : record_(r) {}
    ~store() { stop(); }

    // A listener of the store. Each daemon may be given one of its own, so that the store tells them apart.
    int port()
    {
        const std::size_t i = servers_.size();
        servers_.push_back(std::make_unique<server>(free_port(), [this, i](connection& c) { serve(c, i); }));
        return servers_.back()->port();
    }
    void stop()
    {
        stopping_ = true;
        changed_.notify_all();
        servers_.clear();
    }
    // True if a watch of the configuration waits at that listener, or began within the last 3 s.
    bool watches(std::size_t listener)
    {
        const std::lock_guard lock(mutex_);
        const auto at = watched_.find(listener);
        return at != watched_.end() && steady::now() - at->second < milliseconds(3000);
    }
    // What the operator writes; its return is the acknowledgement.
    void put(const std::string& kind, const std::string& name, const json& spec)
    {
        const std::lock_guard lock(mutex_);
        object& o = kinds_[kind][name];
        o.spec_ = spec;
        change(kind, name, false);
        record_.note("operator", "PUT " + kind + "/" + name + " rev " + std::to_string(revision_) + " " +
                                     spec.dump().substr(0, 300));
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(mutex_);
        change(kind, name, true);
        record_.note("operator", "DELETE " + kind + "/" + name + " rev " + std::to_string(revision_));
    }
    json status_of(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(mutex_);
        const auto at = kinds_[kind].find(name);
        return at == kinds_[kind].end() ? json() : at->second.status_;
    }

private:
    struct object {
        std::uint64_t revision_ = 0, created_ = 0;
        json spec_, status_;
    };
    struct event {
        std::uint64_t revision_;
        std::string kind_;
        json body_;
    };

    static json to_json(const std::string& name, const object& o)
    {
        return {{"metadata",
                 {{"name", name},
                  {"rev", o.revision_},
                  {"createRevision", o.created_},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", o.spec_},
                {"status", o.status_}};
    }
    void change(const std::string& kind, const std::string& name, bool removed)
    {
        object& o = kinds_[kind][name];
        o.revision_ = ++revision_;
        if (o.created_ == 0)
            o.created_ = revision_;
        history_.push_back({revision_, kind, {{"tombstone", removed}, {"object", to_json(name, o)}}});
        if (removed)
            kinds_[kind].erase(name);
        changed_.notify_all();
    }
    void serve(connection& c, std::size_t listener)
    {
        while (const auto m = c.read(false, 600'000)) {
            if (m->path() == "/objects/config" && !m->query("watch").empty()) {
                const std::lock_guard lock(mutex_);
                watched_[listener] = steady::now();
            }
            if (!c.write(to_bytes(answer(*m))))
                return;
        }
    }
    static message reply(int status, const json& body)
    {
        message m;
        m.status_ = status;
        m.headers_ = {{"Content-Type", "application/json"}};
        m.body_ = body.dump();
        return m;
    }
    message answer(const message& m)
    {
        std::vector<std::string> parts;
        std::istringstream path(m.path());
        std::string part;
        while (std::getline(path, part, '/'))
            if (!part.empty())
                parts.push_back(part);
        if (parts.size() < 2 || parts[0] != "objects")
            return reply(404, {});
        std::unique_lock lock(mutex_);
        const std::string& kind = parts[1];
        auto& objects = kinds_[kind];
        if (m.method_ == "GET" && parts.size() == 2)
            return m.query("watch").empty() ? list(kind, m.query("after")) : watch(kind, m, lock);
        const json body = m.body_.empty() ? json() : json::parse(m.body_, nullptr, false);
        if (m.method_ == "POST" && parts.size() == 2) {
            const std::string name = body.at("metadata").at("name");
            if (objects.contains(name))
                return reply(409, to_json(name, objects[name]));
            objects[name].spec_ = body.value("spec", json());
            change(kind, name, false);
            return reply(200, to_json(name, objects[name]));
        }
        if (parts.size() < 3 || !objects.contains(parts[2]))
            return reply(404, {});
        object& o = objects[parts[2]];
        if (m.method_ == "GET")
            return reply(200, to_json(parts[2], o));
        if (m.method_ == "DELETE") {
            change(kind, parts[2], true);
            return reply(200, {});
        }
        const auto& metadata = body.at("metadata");
        if (metadata.contains("rev") && metadata.at("rev") != o.revision_)
            return reply(409, to_json(parts[2], o));
        json& target = parts.size() > 3 ? o.status_ : o.spec_;
        const json wanted = body.value(parts.size() > 3 ? "status" : "spec", json());
        if (target != wanted) {
            target = wanted;
            change(kind, parts[2], false);
            if (parts.size() > 3)
                record_.note("store", "status of " + kind + "/" + parts[2] + " " + wanted.dump());
        }
        return reply(200, to_json(parts[2], o));
    }
    message list(const std::string& kind, const std::string& after)
    {
        json items = json::array();
        for (const auto& [name, o] : kinds_[kind])
            if (name > after)
                items.push_back(to_json(name, o));
        return reply(200, {{"items", items}, {"hasMore", false}, {"currentRev", revision_}});
    }
    message watch(const std::string& kind, const message& m, std::unique_lock<std::mutex>& lock)
    {
        const std::uint64_t since = std::stoull(m.query("watch"));
        const auto end = steady::now() + milliseconds(std::stoi(m.query("waitMs")));
        while (true) {
            json events = json::array();
            for (const event& e : history_)
                if (e.kind_ == kind && e.revision_ > since)
                    events.push_back(e.body_);
            if (!events.empty() || stopping_ || steady::now() >= end)
                return reply(200, {{"events", events}, {"currentRev", revision_}});
            changed_.wait_until(lock, end);
        }
    }

    record& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, object>> kinds_;
    std::deque<event> history_;
    std::uint64_t revision_ = 1;
    std::atomic<bool> stopping_ = false;
    std::map<std::size_t, steady::time_point> watched_; // the last watch of the configuration, by listener
    std::vector<std::unique_ptr<server>> servers_;
};

// A daemon of the deploy file: a process of its own, with the settings that its template yields.
class sidecar {
public:
    sidecar(const std::string& folder, const std::string& name, const std::string& zone,
            const std::string& service, int store_port)
        : folder_(folder), name_(name), caller_port_(free_port()), control_port_(free_port()),
          operator_port_(free_port()), peer_port_(free_port())
    {
        const std::map<std::string, std::string> values{
            {"zone", zone},
            {"ip", "127.0.0.1"},
            {"service", service},
            {"listen.outbound", "127.0.0.1:" + std::to_string(caller_port_)},
            {"listen.control", "127.0.0.1:" + std::to_string(control_port_)},
            {"listen.readiness", "127.0.0.1:" + std::to_string(operator_port_)},
            {"portRange.0", std::to_string(peer_port_)},
            {"limits.linkMbps", "1000.0"},
            {"platform.address", "127.0.0.1:" + std::to_string(store_port)},
            {"bounds.coldOver", "1.5"},
            {"bounds.minRetries", "60"},
            {"bounds.canaryShare", "0.1"},
            {"bounds.canarySlack", "50"}};
        std::ifstream in("deploy/settings.ini");
        std::stringstream text;
        text << in.rdbuf();
        std::string settings = text.str();
        for (const auto& [key, value] : values)
            for (std::size_t at; (at = settings.find("{{" + key + "}}")) != std::string::npos;)
                settings.replace(at, key.size() + 4, value);
        if (settings.empty() || settings.find("{{") != std::string::npos)
            throw could_not_run{"deploy/settings.ini has fields that the rig doesn't know"};
        std::ofstream(folder_ + "/" + name_ + ".ini") << settings;
        start();
    }
    ~sidecar()
    {
        if (running())
            kill(id_, SIGKILL);
        reap(true);
    }

    void start()
    {
        const std::string settings = "GUAVAHAVEN_SETTINGS=" + folder_ + "/" + name_ + ".ini";
        const char* path = std::getenv("PATH");
        const std::string search = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
        const std::string log = folder_ + "/" + name_ + ".log";
        id_ = fork();
        if (id_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the case, however that ends
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            const char* arguments[] = {"target/guavahaven-sidecar", nullptr};
            const char* environment[] = {settings.c_str(), search.c_str(), "LANG=C", nullptr};
            execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            _exit(127);
        }
        status_.reset();
    }
    void signal(int number) { kill(id_, number); }
    // Waits for the process to end.
    void wait() { reap(true); }
    bool running() { return !reap(false); }
    // How the process ended.
    std::string end() const
    {
        if (!status_)
            return "still running";
        return WIFSIGNALED(*status_) ? "ended by signal " + std::to_string(WTERMSIG(*status_))
                                     : "exit status " + std::to_string(WEXITSTATUS(*status_));
    }
    bool ready() const
    {
        const auto c = connect_to(operator_port_);
        if (!c || !c->write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
            return false;
        const auto m = c->read(true, 1000);
        return m && m->status_ == 200;
    }
    // A page of the daemon's readiness address, for the record.
    std::string page(const std::string& path) const
    {
        const auto c = connect_to(operator_port_);
        if (!c || !c->write("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
            return "";
        const auto m = c->read(true, 1000);
        return m ? m->body_ : "";
    }
    int caller_port() const { return caller_port_; }
    int control_port() const { return control_port_; }
    pid_t id() const { return id_; }
    const std::string& name() const { return name_; }

private:
    bool reap(bool wait)
    {
        if (status_ || id_ <= 0)
            return true;
        int status = 0;
        if (waitpid(id_, &status, wait ? 0 : WNOHANG) != id_)
            return false;
        status_ = status;
        return true;
    }

    std::string folder_, name_;
    int caller_port_, control_port_, operator_port_, peer_port_;
    pid_t id_ = -1;
    std::optional<int> status_;
};

// What a backend does with a request.
struct treatment {
    enum class kind { answer, shed, silent, close } kind_ = kind::answer;
    int work_ms_ = 10;
    int status_ = 200;
    std::string body_;
    std::string extra_; // bytes that belong to no request, before the response
};

// A backend on the machine of a daemon. It runs requests and sends heartbeats every 1.5 s.
class backend {
public:
    using decision = std::function<treatment(const message&)>;

    backend(record& r, const std::string& id, const std::string& service, const std::string& zone,
            int control_port, decision d = {}, int slots = 12)
        : record_(r), id_(id), service_(service), zone_(zone), control_port_(control_port), slots_(slots),
          decision_(std::move(d)), born_(now_ms()), server_(free_port(), [this](connection& c) { serve(c); })
    {
        beats_ = std::thread([this] { beat_always(); });
    }
    ~backend() { stop(); }

    void stop()
    {
        stopping_ = true;
        if (beats_.joinable())
            beats_.join();
        server_.stop();
    }
    const std::string& id() const { return id_; }
    const std::string& service() const { return service_; }
    int port() const { return server_.port(); }
    void set_state(const char* state) { state_ = state; }
    // One heartbeat now; true if it was acknowledged.
    bool beat(std::optional<int> sequence = {})
    {
        json body{
            {"address", "127.0.0.1:" + std::to_string(server_.port())},
            {"born", born_},
            {"info",
             {{"service", service_}, {"version", version_}, {"zone", zone_}, {"maxConcurrency", slots_}}},
            {"status",
             {{"state", state_.load()},
              {"sequence", sequence ? *sequence : ++sequence_},
              {"warmupLeftS", 0}}}};
        return call("PUT", body.dump());
    }
    // Says that this backend leaves.
    bool leave() { return call("DELETE", ""); }
    void stop_beats() { silent_ = true; }
    int sequence() const { return sequence_; }
    // The requests that have run here, by attempt.
    std::map<std::string, int> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }
    std::string version_ = "v1";

private:
    static std::int64_t now_ms()
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    bool call(const std::string& method, const std::string& body)
    {
        const auto c = connect_to(control_port_);
        message m;
        m.method_ = method;
        m.target_ = "/instances/" + id_;
        m.headers_ = {{"Host", "127.0.0.1:" + std::to_string(control_port_)},
                      {"Content-Type", "application/json"},
                      {"Connection", "close"}};
        m.body_ = body;
        if (!c || !c->write(to_bytes(m)))
            return false;
        const auto r = c->read(true, 1000);
        if (method != "PUT" || !first_acknowledged_ || state_.load() != std::string("ready"))
            record_.note(id_, method + " /instances/" + id_ + " " + body + " -> " +
                                  (r ? std::to_string(r->status_) : "no answer"));
        const bool good = r && r->status_ >= 200 && r->status_ < 300;
        first_acknowledged_ = first_acknowledged_ || good;
        return good;
    }
    void beat_always()
    {
        while (!stopping_) {
            if (!silent_)
                beat();
            for (int i = 0; i < 30 && !stopping_; ++i)
                sleep_ms(first_acknowledged_ ? 50 : 10);
        }
    }
    void serve(connection& c)
    {
        while (const auto m = c.read(false, 15'000)) {
            message r;
            const std::string attempt = m->header("X-Attempt-Id");
            const std::string expected = m->header("X-Expected-Instance");
            if (!expected.empty() && expected != id_) {
                r.status_ = 421;
                r.headers_ = {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}, {"X-Instance-Id", id_}};
                if (!c.write(to_bytes(r)))
                    return;
                continue;
            }
            const treatment t = decision_ ? decision_(*m) : treatment{};
            const std::string what = m->method_ + " " + m->header("Host") + " " + m->target_ + " attempt " +
                                     attempt + " from " + m->header("X-Caller-Service");
            if (t.kind_ == treatment::kind::shed) {
                record_.note(id_ + " (" + service_ + ")", "rejects " + what);
                r.status_ = 503;
                r.headers_ = {{"X-Not-Executed", "1"}, {"X-Attempt-Id", attempt}};
                if (!c.write(to_bytes(r)))
                    return;
                continue;
            }
            {
                const std::lock_guard lock(mutex_);
                ++runs_[attempt];
            }
            record_.note(id_ + " (" + service_ + ")", "runs " + what);
            for (int i = 0; i < t.work_ms_ && !stopping_; i += 10)
                sleep_ms(std::min(10, t.work_ms_ - i));
            if (t.kind_ == treatment::kind::close || stopping_) {
                record_.note(id_ + " (" + service_ + ")", "breaks off " + what);
                return;
            }
            if (t.kind_ == treatment::kind::silent)
                continue;
            r.status_ = t.status_;
            r.headers_ = {{"X-Attempt-Id", attempt},
                          {"X-Server-Seal", id_ + "." + attempt},
                          {"X-Server-Load", "1,0," + std::to_string(slots_)}};
            r.body_ = t.body_.empty() ? service_ + " ran " + m->target_ : t.body_;
            if (!t.extra_.empty())
                record_.note(id_ + " (" + service_ + ")", "sends '" + t.extra_ + "' before its answer");
            record_.note(id_ + " (" + service_ + ")",
                         "answers attempt " + attempt + " with " + std::to_string(r.status_));
            if (!c.write(t.extra_ + to_bytes(r)))
                return;
        }
    }

    record& record_;
    std::string id_, service_, zone_;
    int control_port_;
    int slots_;
    decision decision_;
    std::int64_t born_;
    std::atomic<int> sequence_ = 0;
    std::atomic<const char*> state_ = "ready";
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> silent_ = false;
    std::atomic<bool> first_acknowledged_ = false;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    server server_;
    std::thread beats_;
};

inline std::string new_attempt()
{
    static std::atomic<int> last = 0;
    char text[17];
    std::snprintf(text, sizeof text, "a%07x%08x", static_cast<unsigned>(getpid()) & 0xfffffff, ++last);
    return text;
}

struct request {
    std::string method_ = "GET";
    std::string host_;
    std::string target_;
    int deadline_ms_ = 2500;
    std::string body_;
    std::string attempt_ = new_attempt();

    std::string bytes() const
    {
        message m;
        m.method_ = method_;
        m.target_ = target_;
        m.headers_ = {
            {"Host", host_}, {"X-Attempt-Id", attempt_}, {"X-Deadline-Ms", std::to_string(deadline_ms_)}};
        m.body_ = body_;
        return to_bytes(m);
    }
};

// One request on a connection that is kept. Status 0: the connection ended, or the time was over, without an
// answer.
inline message fetch_on(record& r, connection* c, const sidecar& at, const request& q,
                        const std::string& who = "client")
{
    r.note(who, "sends " + q.method_ + " " + q.host_ + " " + q.target_ + " attempt " + q.attempt_ + " to " +
                    at.name());
    message none;
    if (!c || !c->write(q.bytes())) {
        r.note(who, "attempt " + q.attempt_ + " could not be sent");
        return none;
    }
    const auto m = c->read(true, q.deadline_ms_ + 500);
    if (!m) {
        r.note(who, "attempt " + q.attempt_ + (c->ended() ? " got a closed connection" : " got no answer"));
        return none;
    }
    r.note(who, "attempt " + q.attempt_ + " got " + std::to_string(m->status_) + " seal '" +
                    m->header("X-Server-Seal") + "' body '" + m->body_.substr(0, 120) + "'");
    return *m;
}

// One request on a new connection.
inline message fetch(record& r, const sidecar& at, const request& q, const std::string& who = "client")
{
    const auto c = connect_to(at.caller_port());
    return fetch_on(r, c.get(), at, q, who);
}

inline bool wait_for(const std::function<bool()>& condition, int timeout_ms)
{
    const auto end = steady::now() + milliseconds(timeout_ms);
    while (steady::now() < end) {
        if (condition())
            return true;
        sleep_ms(50);
    }
    return false;
}

// Parts of a configuration, as the users' pages write it.
inline json route(const std::string& host, const std::string& prefix, const std::string& service,
                  bool idempotent = true, double timeout_s = 2.5)
{
    return {{"host", host},          {"pathPrefix", prefix},
            {"service", service},    {"routeType", idempotent ? "idempotent" : "non_idempotent"},
            {"timeoutS", timeout_s}, {"targetLatencyS", 0.4},
            {"priority", 2},         {"numAttempts", 2}};
}
inline json service()
{
    return {{"healthCheckPath", "/healthz"},
            {"maxConnections", 120},
            {"protocol", "h1"},
            {"tls", false},
            {"slowStartS", 3.0},
            {"coldPerS", 14.0}};
}
inline json limits()
{
    return {
        {"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864}, {"headerTimeoutS", 3}, {"idleTimeoutS", 15}};
}

// Runs a case in a temporary folder, and maps its outcome to the exit status. The case returns true if the
// rule held.
inline int run(int argc, char** argv, const std::function<bool(record&, const std::string&, bool)>& play)
{
    if (argc < 2) {
        std::cerr << "usage: CASE RECORD-FILE\n";
        return exit_could_not_run;
    }
    signal(SIGPIPE, SIG_IGN);
    const char* asked = std::getenv("TROUBLE");
    const bool trouble = !asked || std::string(asked) != "0";
    record r(argv[1]);
    char pattern[] = "/tmp/guavahaven-review-XXXXXX";
    if (!mkdtemp(pattern))
        return exit_could_not_run;
    int outcome = exit_could_not_run;
    try {
        r.note("case", trouble ? "with the disruption" : "without the disruption");
        outcome = play(r, pattern, trouble) ? exit_held : exit_broken;
        r.note("case", outcome == exit_held ? "the rule held" : "the rule was broken");
    }
    catch (const could_not_run& e) {
        r.note("case", "could not run: " + e.why_);
        std::cerr << e.why_ << "\n";
    }
    catch (const std::exception& e) {
        r.note("case", std::string("could not run: ") + e.what());
        std::cerr << e.what() << "\n";
    }
    if (std::getenv("KEEP"))
        std::cerr << "logs: " << pattern << "\n";
    else
        std::filesystem::remove_all(pattern);
    return outcome;
}

} // namespace rig
