#pragma once

// The daemon (sidecar proxy): runs the entry, the gate, the control task and the platform task on one event
// loop and routes messages between them. The protocols that it uses towards callers, the backend server and
// the platform are passed in.

#include <functional>
#include <memory>
#include <vector>

#include "backend/announcement.h"
#include "base/metrics.h"
#include "daemon/platform_task.h"
#include "decide/caller_protocol.h"
#include "operator/daemon_settings.h"

namespace guavahaven {

// Exit status of a daemon process.
enum exit_status { exit_stopped = 0, exit_wrong_usage = 1, exit_faulty_settings = 2, exit_cannot_listen = 3 };

// The protocols and adapters that a daemon is built with.
struct daemon_parts {
    decide::caller_protocol callers_;
    backend::protocol backend_;
    std::function<std::unique_ptr<platform_task>(event_loop&, metrics&, const platform_task_settings&,
                                                 std::function<void(decide::control_event)>)>
        make_platform_task_;
    // Reads the settings again; called when a reload is requested by signal.
    std::function<operators::parsed_settings()> read_settings_;
};

// The protocols of guavahaven-daemon itself (as opposed to those in platform/); path is the settings file.
daemon_parts own_parts(const std::string& path);

// Runs a daemon until a signal stops it; returns the exit status.
int run_daemon(const operators::daemon_settings& settings, const daemon_parts& parts);

// Prints each error in the settings with its remedy to stderr; returns the exit status.
int print_faults(const std::vector<error>& errors);

} // namespace guavahaven
