#include "support/mesh.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <sstream>
#include <thread>

namespace guavahaven::support {

namespace {

constexpr std::chrono::milliseconds poll_interval{10};

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string read_file(const std::string& path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream(path) << text;
}

} // namespace

result<http::response> fetch(const http::address& at, const http::request& r, duration timeout)
{
    return fetch_all({at}, {r}, 1, timeout).front().response_;
}

std::vector<timed_response> fetch_all(const std::vector<http::address>& at,
                                      const std::vector<http::request>& requests, std::size_t at_once,
                                      duration timeout)
{
    event_loop loop;
    const runtime_clock clock;
    std::vector<std::unique_ptr<http::client>> clients;
    for (const http::address& a : at)
        clients.push_back(std::make_unique<http::client>(loop, a, at_once,
                                                         error{code::peer_unreachable, http::to_string(a)}));
    std::vector<timed_response> responses;
    std::size_t next = 0;
    std::function<void()> send_next = [&] {
        if (next == requests.size())
            return;
        const std::size_t index = next++;
        const time_point began = clock.now();
        clients[index % clients.size()]->send(
            requests[index], timeout, [&, index, began](result<http::response> r) {
                responses.push_back({index, std::move(r), clock.now() - began});
                if (responses.size() == requests.size())
                    loop.stop();
                send_next();
            });
    };
    for (std::size_t i = 0; i < at_once; ++i)
        send_next();
    if (responses.size() < requests.size())
        loop.run();
    return responses;
}

bool wait_until(const std::function<bool()>& condition, duration timeout)
{
    const auto give_up = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > give_up)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string utc_in(std::chrono::seconds from_now)
{
    const std::time_t at = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now() + from_now);
    std::tm fields{};
    gmtime_r(&at, &fields);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &fields);
    return {text, length};
}

void node::start_daemon()
{
    daemon_.emplace(daemon_binary_, std::vector<std::string>{folder_ + "/daemon.ini"}, log_path());
}

void node::start_backend()
{
    if (plan_.service_.empty())
        return;
    std::vector<std::string> arguments{"--port=" + std::to_string(backend_server_port_),
                                       "--daemon=" + local(backend_port_),
                                       "--callers=" + local(caller_port_),
                                       "--service=" + plan_.service_,
                                       "--version=" + plan_.version_,
                                       "--journal=" + journal_path()};
    arguments.insert(arguments.end(), plan_.backend_options_.begin(), plan_.backend_options_.end());
    backend_.emplace("fake-backend-server", arguments, folder_ + "/backend.log");
}

result<operators::daemon_status> node::status() const
{
    const auto r = fetch(operators(), {"GET", "/status", {}, ""}, std::chrono::seconds(1));
    if (!ok(r))
        return failure(r);
    return operators::parse_status(value(r).body_);
}

double node::metric(const std::string& name) const
{
    const auto r = fetch(operators(), {"GET", "/metrics", {}, ""}, std::chrono::seconds(1));
    if (!ok(r))
        return 0;
    std::istringstream lines(value(r).body_);
    for (std::string line; std::getline(lines, line);)
        if (line.starts_with(name + " "))
            return std::stod(line.substr(name.size() + 1));
    return 0;
}

void node::set_backend(const std::string& query) const
{
    fetch(backend(), {"POST", "/control?" + query, {}, ""});
}

std::vector<journal_entry> node::journal() const
{
    std::vector<journal_entry> all;
    std::ifstream in(journal_path());
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields(line);
        journal_entry e;
        if (fields >> e.at_ >> e.event_ >> e.version_ >> e.identity_ >> e.method_ >> e.path_)
            all.push_back(e);
    }
    return all;
}

mesh::mesh(const mesh_plan& plan)
    : folder_(scratch_folder()), platform_port_(free_port()), platform_control_port_(free_port()),
      proxy_control_port_(free_port())
{
    platform_.emplace("fake-platform",
                      std::vector<std::string>{"--port=" + std::to_string(platform_port_),
                                               "--control=" + std::to_string(platform_control_port_)},
                      folder_ + "/platform.log");
    wait_until([this] { return !set_platform("").empty(); });

    std::vector<std::string> links{"--control=" + std::to_string(proxy_control_port_)};
    if (plan.platform_proxy_)
        for (const node_plan& p : plan.nodes_)
            if (!platform_links_.contains(p.data_center_)) {
                platform_links_[p.data_center_] = free_port();
                links.push_back(std::to_string(platform_links_[p.data_center_]) + "=" +
                                std::to_string(platform_port_));
            }
    for (const node_plan& p : plan.nodes_) {
        node n;
        n.plan_ = p;
        n.daemon_binary_ = plan.daemon_binary_;
        n.folder_ = scratch_folder();
        n.caller_port_ = free_port();
        n.peer_port_ = free_port();
        n.advertised_port_ = plan.fault_proxy_ ? free_port() : n.peer_port_;
        n.backend_port_ = free_port();
        n.operator_port_ = free_port();
        n.backend_server_port_ = free_port();
        if (plan.fault_proxy_)
            links.push_back(std::to_string(n.advertised_port_) + "=" + std::to_string(n.peer_port_));
        nodes_.push_back(std::move(n));
    }
    std::string seeds;
    for (std::size_t i = 0; i < std::min(plan.settings_seeds_, nodes_.size()); ++i)
        seeds += " " + nodes_[i].name();
    for (const node& n : nodes_)
        write_settings(n, seeds, plan.more_settings_);
    if (plan.fault_proxy_ || plan.platform_proxy_)
        proxy_.emplace("fake-fault-proxy", links, folder_ + "/proxy.log");
    for (node& n : nodes_) {
        n.start_daemon();
        n.start_backend();
    }
}

void mesh::write_settings(const node& n, const std::string& seeds, const std::string& more) const
{
    const auto link = platform_links_.find(n.plan_.data_center_);
    const std::uint16_t platform_at = link == platform_links_.end() ? platform_port_ : link->second;
    write_file(n.folder_ + "/daemon.ini",
               "[daemon]\ndata_center = " + n.plan_.data_center_ + "\nip = 127.0.0.1\ncaller_port = " +
                   std::to_string(n.caller_port_) + "\npeer_port = " + std::to_string(n.peer_port_) +
                   "\nbackend_port = " + std::to_string(n.backend_port_) + "\noperator_port = " +
                   std::to_string(n.operator_port_) + "\n[mesh]\nadvertised = " + local(n.advertised_port_) +
                   "\nseeds =" + seeds + "\n[platform]\naddress = " + local(platform_at) + "\n" + more);
}

std::vector<std::string> mesh::apply_arguments(const std::string& rules, const std::string& author) const
{
    const std::string path = scratch_folder() + "/rules";
    write_file(path, rules);
    return {"apply", path, "--platform=" + http::to_string(platform()), "--author=" + author};
}

finished mesh::apply(const std::string& rules, const std::string& author,
                     const std::vector<std::string>& options)
{
    std::vector<std::string> arguments = apply_arguments(rules, author);
    arguments.insert(arguments.end(), options.begin(), options.end());
    return run("guavahaven", arguments);
}

operator_run mesh::start_apply(const std::string& rules, const std::string& author) const
{
    return {apply_arguments(rules, author), scratch_folder() + "/output"};
}

operator_run::operator_run(const std::vector<std::string>& arguments, const std::string& output)
    : output_(output), process_("guavahaven", arguments, output)
{
}

finished operator_run::finish()
{
    wait_until([this] { return !process_.running(); });
    const int status = process_.running() ? -1 : process_.stop();
    return {status, read_file(output_)};
}

bool mesh::wait_configuration(std::uint64_t number, duration timeout)
{
    return wait_until(
        [&] {
            return std::all_of(nodes_.begin(), nodes_.end(), [&](node& n) {
                if (!n.daemon_ || !n.daemon_->running())
                    return true;
                const auto s = n.status();
                return ok(s) && value(s).configuration_ >= number;
            });
        },
        timeout);
}

bool mesh::wait_ready(std::uint64_t number, duration timeout)
{
    const auto sees_all = [&](const operators::daemon_status& s) {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](node& n) {
            if (!n.daemon_ || !n.daemon_->running() || !n.backend_ || !n.backend_->running())
                return true;
            const auto same = [&](const operators::member_report& m) {
                return m.name_ == n.name() && m.state_ == "alive" && m.version_ == n.plan().version_;
            };
            return std::any_of(s.members_.begin(), s.members_.end(), same);
        });
    };
    return wait_configuration(number, timeout) &&
           wait_until(
               [&] {
                   return std::all_of(nodes_.begin(), nodes_.end(), [&](node& n) {
                       if (!n.daemon_ || !n.daemon_->running())
                           return true;
                       const auto s = n.status();
                       return ok(s) && sees_all(value(s));
                   });
               },
               timeout);
}

std::string mesh::set_platform(const std::string& query) const
{
    const auto r = fetch({"127.0.0.1", platform_control_port_}, {"POST", "/control?" + query, {}, ""});
    return ok(r) ? value(r).body_ : "";
}

void mesh::restore_platform() const
{
    fetch({"127.0.0.1", platform_control_port_},
          {"POST", "/restore?kind=configuration&name=current", {}, ""});
}

std::uint64_t mesh::platform_counter(const std::string& name) const
{
    std::istringstream lines(set_platform(""));
    for (std::string line; std::getline(lines, line);)
        if (line.starts_with(name + "="))
            return std::stoull(line.substr(name.size() + 1));
    return 0;
}

void mesh::set_fault(const node& n, const std::string& query) const
{
    fetch({"127.0.0.1", proxy_control_port_},
          {"POST", "/set?port=" + std::to_string(n.advertised_port()) + "&" + query, {}, ""});
}

void mesh::set_platform_link(const std::string& data_center, const std::string& query) const
{
    fetch({"127.0.0.1", proxy_control_port_},
          {"POST", "/set?port=" + std::to_string(platform_links_.at(data_center)) + "&" + query, {}, ""});
}

std::vector<journal_entry> mesh::journal() const
{
    std::vector<journal_entry> all;
    for (const node& n : nodes_) {
        const std::vector<journal_entry> own = n.journal();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const journal_entry& a, const journal_entry& b) { return a.at_ < b.at_; });
    return all;
}

} // namespace guavahaven::support
