#pragma once

// The daemon: all its tasks on one event loop, and the paths of messages
// between them. What it speaks to callers, to the backend server and to the
// platform is given to it.

#include <functional>
#include <memory>
#include <vector>

#include "backend/announcement.h"
#include "base/metrics.h"
#include "daemon/platform_task.h"
#include "decide/caller_protocol.h"
#include "operator/daemon_settings.h"

namespace guavahaven {

// How a daemon process ends.
enum exit_status { exit_stopped = 0, exit_wrong_usage = 1, exit_faulty_settings = 2, exit_cannot_listen = 3 };

// What a daemon speaks to the world around it.
struct daemon_parts {
    decide::caller_protocol callers_;
    backend::protocol backend_;
    std::function<std::unique_ptr<platform_task>(event_loop&, metrics&, const platform_task_settings&,
                                                 std::function<void(decide::control_event)>)>
        make_platform_task_;
    // Reads the settings anew, at a reload.
    std::function<operators::parsed_settings()> read_settings_;
};

// The product's own interfaces; the path is the settings file's.
daemon_parts own_parts(const std::string& path);

// Runs a daemon until it is stopped by a signal; returns the exit status.
int run_daemon(const operators::daemon_settings& settings, const daemon_parts& parts);

// Prints each fault with its remedy; returns the exit status.
int print_faults(const std::vector<error>& faults);

} // namespace guavahaven
