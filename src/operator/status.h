#pragma once

// What a daemon tells operators of itself and of the mesh, as JSON on its
// operator port, and the reading of it by the command line.

#include <optional>
#include <string>
#include <vector>

#include "decide/control.h"
#include "decide/gate/gate.h"

namespace guavahaven::operators {

struct move_report {
    std::string service_;
    std::string version_;
    std::string state_; // underway, done, taken back
    double share_ = 0;  // of 1
    std::string reason_;
    std::string asked_by_;
    std::uint64_t since_ = 0;    // microseconds since 1970
    std::uint64_t deadline_ = 0; // microseconds since 1970

    friend bool operator==(const move_report&, const move_report&) = default;
};

struct member_report {
    std::string name_;
    std::string operator_address_;
    std::string data_center_;
    std::string state_;
    std::string service_;
    std::string version_;

    friend bool operator==(const member_report&, const member_report&) = default;
};

struct out_report {
    std::string data_center_;
    std::string asked_by_;

    friend bool operator==(const out_report&, const out_report&) = default;
};

// The backend server beside a daemon.
struct own_backend_report {
    std::string service_; // empty if there is none
    std::string version_;
    std::uint32_t slots_ = 0;
    std::uint32_t limit_ = 0; // runs at once that the gate admits now
    std::uint32_t in_flight_ = 0;
    std::uint64_t last_run_ = 0; // microseconds since 1970, of the last run that began

    friend bool operator==(const own_backend_report&, const own_backend_report&) = default;
};

struct daemon_status {
    std::string name_;
    std::string data_center_;
    std::uint64_t configuration_ = 0; // 0: none yet
    std::string configuration_author_;
    bool serving_ = false; // its gate takes work
    own_backend_report own_;
    std::vector<member_report> members_;
    std::vector<move_report> moves_;
    std::vector<out_report> outs_;
    std::vector<std::string> problems_;

    friend bool operator==(const daemon_status&, const daemon_status&) = default;
};

// 'last_run': microseconds since 1970.
daemon_status make_status(const decide::control& control, const decide::gate& gate, std::uint64_t last_run,
                          const std::vector<std::string>& problems);

std::string to_json(const daemon_status& s);

// frame_malformed if the text is no status.
result<daemon_status> parse_status(const std::string& json);

} // namespace guavahaven::operators
