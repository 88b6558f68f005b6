#pragma once

// Messages by which daemons share what they know. All of it is merged by
// joins: crossed, doubled and late messages do no harm.

#include <cstdint>
#include <variant>
#include <vector>

#include "decide/view.h"

namespace guavahaven::decide {

// Members that the sender has news of, or all that it knows.
struct announcements {
    std::vector<member> members_;
    friend bool operator==(const announcements&, const announcements&) = default;
};

// Hashes of what the sender knows; the receiver answers with what differs.
// Sent at intervals, it is the heartbeat too.
struct digest {
    std::uint64_t members_ = 0; // hash over all members
    std::uint64_t moves_ = 0;   // hash over all move facts
    configuration_number configuration_;
    content_hash configuration_hash_;
    bool answer_wanted_ = true;
    friend bool operator==(const digest&, const digest&) = default;
};

// The sender lacks configurations above this number.
struct configuration_wanted {
    configuration_number above_;
    friend bool operator==(const configuration_wanted&, const configuration_wanted&) = default;
};

// The whole text of a configuration.
struct configuration_whole {
    configuration_record record_;
    friend bool operator==(const configuration_whole&, const configuration_whole&) = default;
};

struct move_facts {
    std::vector<move_fact> facts_;
    friend bool operator==(const move_facts&, const move_facts&) = default;
};

// What one gate has seen of one version under a move, for one route and class;
// cumulative, so that the newest of a gate replaces the older.
struct evidence {
    move_id move_;
    daemon_name gate_;
    incarnation incarnation_;
    version_name version_;
    std::string route_;
    class_name class_;
    data_center_name data_center_;
    std::uint64_t answered_ = 0; // whole answers below status 500
    std::uint64_t failed_ = 0;
    std::uint64_t slow_ = 0; // whole answers, but later than the class allows
    duration busy_{};        // sum of the run times of answers
    friend bool operator==(const evidence&, const evidence&) = default;
};
struct evidence_report {
    std::vector<evidence> items_;
    friend bool operator==(const evidence_report&, const evidence_report&) = default;
};

using control_message = std::variant<announcements, digest, configuration_wanted, configuration_whole,
                                     move_facts, evidence_report>;

// A daemon that others may ask first, as kept in the platform.
struct seed {
    data_center_name data_center_;
    daemon_name daemon_;
    friend bool operator==(const seed&, const seed&) = default;
};

struct send_control {
    daemon_name to_;
    control_message message_;
    friend bool operator==(const send_control&, const send_control&) = default;
};

} // namespace guavahaven::decide
