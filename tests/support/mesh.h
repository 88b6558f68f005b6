#pragma once

// A whole deployment on loopback: the platform stand-in, and daemons with a
// backend server stand-in each, every daemon's peer port behind the
// fault-injecting proxy if wanted.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/http.h"
#include "operator/status.h"
#include "support/process.h"

namespace guavahaven::support {

// One HTTP request, waited for. An error if no whole answer came in time.
result<http::response> fetch(const http::address& at, const http::request& r,
                             duration timeout = std::chrono::seconds(5));

// Waits until a condition holds; false if it did not within the time.
bool wait_until(const std::function<bool()>& condition, duration timeout = std::chrono::seconds(30));

// A moment some seconds from now, as a rules file writes it.
std::string utc_in(std::chrono::seconds from_now);

// Requests sent side by side from one thread, in the order of their ends.
struct timed_response {
    std::size_t index_ = 0; // of the request
    result<http::response> response_;
    duration took_{};
};
// At most 'at_once' are under way.
std::vector<timed_response> fetch_all(const std::vector<http::address>& at,
                                      const std::vector<http::request>& requests, std::size_t at_once,
                                      duration timeout = std::chrono::seconds(5));

// One backend server instance and its daemon.
struct node_plan {
    std::string data_center_;
    std::string service_; // empty: a daemon without a backend server
    std::string version_;
    std::vector<std::string> backend_options_; // further options of fake-backend-server
};

struct mesh_plan {
    std::vector<node_plan> nodes_;
    bool fault_proxy_ = false; // before every peer port
    std::string daemon_binary_ = "guavahaven-daemon";
    std::string more_settings_{};    // appended to every daemon's settings file
    bool platform_proxy_ = false;    // a fault-injecting link from each data centre to the platform
    std::size_t settings_seeds_ = 0; // so many nodes, the first ones, are seeds in every daemon's settings
};

// A line of a backend server's journal.
struct journal_entry {
    std::uint64_t at_ = 0; // microseconds since 1970
    std::string event_;
    std::string version_;
    std::string identity_;
    std::string method_;
    std::string path_;
};

class node {
public:
    http::address callers() const { return {"127.0.0.1", caller_port_}; }
    http::address operators() const { return {"127.0.0.1", operator_port_}; }
    http::address backend() const { return {"127.0.0.1", backend_server_port_}; }
    std::string name() const { return "127.0.0.1:" + std::to_string(advertised_port_); }
    std::uint16_t advertised_port() const { return advertised_port_; }
    const node_plan& plan() const { return plan_; }
    std::string journal_path() const { return folder_ + "/journal"; }
    std::string log_path() const { return folder_ + "/daemon.log"; }

    void start_daemon();
    void start_backend();
    // The daemon's own status; an error if it does not answer.
    result<operators::daemon_status> status() const;
    // Value of a metric by its whole name with labels; 0 if absent.
    double metric(const std::string& name) const;
    // What the backend server has noted so far.
    std::vector<journal_entry> journal() const;
    // Sets faults of the backend server, such as "fail=100".
    void set_backend(const std::string& query) const;

    std::optional<process> daemon_;
    std::optional<process> backend_;

private:
    friend class mesh;
    node_plan plan_;
    std::string daemon_binary_;
    std::string folder_;
    std::uint16_t caller_port_ = 0;
    std::uint16_t peer_port_ = 0;
    std::uint16_t advertised_port_ = 0;
    std::uint16_t backend_port_ = 0;
    std::uint16_t operator_port_ = 0;
    std::uint16_t backend_server_port_ = 0;
};

// A command of an operator that is still running.
class operator_run {
public:
    operator_run(const std::vector<std::string>& arguments, const std::string& output);
    finished finish();

private:
    std::string output_;
    process process_;
};

class mesh {
public:
    explicit mesh(const mesh_plan& plan);

    // Writes a rules text through the command line; its exit status and output.
    finished apply(const std::string& rules, const std::string& author = "tests",
                   const std::vector<std::string>& options = {});
    // The same, without waiting for its end.
    operator_run start_apply(const std::string& rules, const std::string& author) const;
    // Waits until every running daemon has the configuration number and is a
    // member in the eyes of all others.
    bool wait_ready(std::uint64_t number, duration timeout = std::chrono::seconds(30));
    bool wait_configuration(std::uint64_t number, duration timeout = std::chrono::seconds(30));

    std::vector<node>& nodes() { return nodes_; }
    node& at(std::size_t i) { return nodes_.at(i); }
    http::address platform() const { return {"127.0.0.1", platform_port_}; }
    // Sets faults of the platform, such as "outage=1"; its counters as text.
    std::string set_platform(const std::string& query) const;
    // A value of the platform's counters.
    std::uint64_t platform_counter(const std::string& name) const;
    // Puts back the previous content of the platform's configuration.
    void restore_platform() const;
    // Sets a fault of the connections to a node; needs the fault proxy.
    void set_fault(const node& n, const std::string& query) const;
    // Sets a fault of the link from a data centre to the platform; needs the platform proxy.
    void set_platform_link(const std::string& data_center, const std::string& query) const;

    std::vector<journal_entry> journal() const;

private:
    std::vector<std::string> apply_arguments(const std::string& rules, const std::string& author) const;
    void write_settings(const node& n, const std::string& seeds, const std::string& more) const;

    std::string folder_;
    std::uint16_t platform_port_ = 0;
    std::uint16_t platform_control_port_ = 0;
    std::uint16_t proxy_control_port_ = 0;
    std::optional<process> platform_;
    std::optional<process> proxy_;
    std::map<std::string, std::uint16_t> platform_links_; // by data centre
    std::vector<node> nodes_;
};

} // namespace guavahaven::support
