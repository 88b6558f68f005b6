#pragma once

// The task that talks to the backend server beside this daemon: takes its
// announcements, gives it requests, and feeds the gate's decisions.

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

class door {
public:
    struct settings {
        http::address listen_;
        duration announcement_timeout_{};
        protocol protocol_;
    };

    // to_entry passes a gate's message to the entry that asked, to_gate one to
    // another gate; announced tells the control task of the backend server.
    struct outlets {
        std::function<void(const daemon_name&, decide::gate_to_entry)> to_entry_;
        std::function<void(const daemon_name&, const decide::gate_to_gate&, bool fresh)> to_gate_;
        std::function<void(decide::own_backend)> announced_;
    };

    door(event_loop& loop, metrics& counts, const settings& s, decide::gate decisions, outlets out);

    status listen();
    void handle(const decide::gate_event& e);

    bool busy() const { return gate_.busy(); }
    const decide::gate& state() const { return gate_; }
    // When the last run began, microseconds since 1970; 0 if none did.
    std::uint64_t last_run() const { return last_run_; }
    std::vector<decide::evidence> collect_evidence() { return gate_.collect_evidence(clock_.now()); }

private:
    void take_response(decide::run_id run, http::response_event e);
    void take_statement(http::exchange& e);
    void take(const announcement& a);
    void take(const farewell& f);
    bool is_late(const announcement& a) const;
    bool is_older(const announcement& a) const;
    void take_whole(decide::run_id run, http::response r, bool complete);
    void apply(decide::gate_actions actions);
    void apply(const decide::start_run& a);
    void apply(const decide::abort_run& a);
    void apply(const decide::pause_run& a);
    void apply(const decide::send_to_entry& a);
    void apply(const decide::send_to_peer_gate& a);
    void apply(const decide::backend_down& a);
    void log_end(const decide::gate_to_entry& m);
    void cancel_run(decide::run_id run);
    void connect(const http::address& at, std::uint32_t connections);
    void tick();

    event_loop& loop_;
    metrics& metrics_;
    settings settings_;
    runtime_clock clock_;
    wall_time made_;
    decide::gate gate_;
    outlets out_;
    http::server server_;
    std::unique_ptr<http::client> backend_;
    std::vector<std::unique_ptr<http::client>> former_; // of other addresses, with requests under way
    std::optional<announcement> announced_;             // last
    http::address backend_address_;
    std::uint64_t last_run_ = 0;
    std::uint32_t connections_ = 0;
    time_point last_announcement_{};
    bool present_ = false;
    // Refusals and breaks have their own, so that what goes well doesn't crowd them out.
    paced_log run_log_{"gate", served_lines_per_second};
    paced_log refusal_log_{"gate", failed_lines_per_second};
    timer timer_;
};

} // namespace guavahaven::backend
