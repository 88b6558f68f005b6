#pragma once

// The connection to the backend server beside this daemon (inbound side of the sidecar proxy): receives its
// announcements, sends it the requests that the gate admits, and passes the responses to the gate.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "backend/announcement.h"
#include "base/http.h"
#include "base/metrics.h"
#include "base/rate_limited_log.h"
#include "decide/control.h"
#include "decide/gate/gate.h"

namespace guavahaven::backend {

class connector {
public:
    struct settings {
        http::address listen_;
        duration announcement_timeout_{};
        protocol protocol_;
    };

    // Where the gate's messages go.
    struct callbacks {
        std::function<void(const daemon_name&, decide::gate_to_entry)>
            send_to_entry_; // the entry that sent the call
        std::function<void(const daemon_name&, const decide::gate_to_gate&, bool fresh_connection)>
            send_to_gate_; // another gate
        std::function<void(decide::own_backend)>
            on_backend_changed_; // the control task; without a service if the backend server is gone
    };

    connector(event_loop& loop, metrics& counts, const settings& s, decide::gate decisions, callbacks c);

    status listen();
    void handle(const decide::gate_event& e);

    bool busy() const { return gate_.busy(); }
    const decide::gate& state() const { return gate_; }
    // Start of the last run, in microseconds since 1970; 0 if there was none.
    std::uint64_t last_run() const { return last_run_; }
    std::vector<decide::version_stats> collect_version_stats()
    {
        return gate_.collect_version_stats(clock_.now());
    }

private:
    void handle_response(decide::run_id run, const std::string& instance, http::response_event e);
    void handle_registration(http::exchange& e);
    void process(const announcement& a);
    void process(const deregistration& f);
    // The instance leaves: it gets no new requests.
    void begin_draining();
    // What an instance states of itself in a response, of whatever status.
    void process_statement(const std::string& instance, const http::response& r);
    bool is_outdated(const announcement& a) const;
    bool predates_daemon(const announcement& a) const;
    void handle_response_start(decide::run_id run, http::response r, bool complete);
    void apply(decide::gate_actions actions);
    void apply(const decide::start_run& a);
    void apply(const decide::abort_run& a);
    void apply(const decide::pause_run& a);
    void apply(const decide::send_to_entry& a);
    void apply(const decide::send_to_peer_gate& a);
    void apply(const decide::mark_backend_down& a);
    void log_result(const decide::gate_to_entry& m);
    void cancel_run(decide::run_id run);
    void connect(const http::address& at, std::uint32_t connections);
    void tick();

    event_loop& loop_;
    metrics& metrics_;
    settings settings_;
    runtime_clock clock_;
    wall_time process_started_;
    decide::gate gate_;
    callbacks callbacks_;
    http::server server_;
    std::unique_ptr<http::client> backend_;
    std::vector<std::unique_ptr<http::client>>
        earlier_clients_; // for earlier addresses, until their requests have ended
    std::optional<announcement> last_announcement_;
    std::optional<double> stated_limit_; // requests a second, in the last response; for the log
    http::address backend_address_;
    std::uint64_t last_run_ = 0;
    std::uint32_t connections_ = 0;
    time_point last_announcement_time_{};
    bool available_ = false;
    // Refused and broken runs have a rate limit of their own, so that lines about successful runs don't
    // displace them.
    rate_limited_log run_log_{"gate", max_served_lines_per_second};
    rate_limited_log refusal_log_{"gate", max_failed_lines_per_second};
    timer timer_;
};

} // namespace guavahaven::backend
