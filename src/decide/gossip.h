#pragma once

// Gossip messages between daemons. All shared facts are merged by joins (as in a CRDT),
// so reordered, duplicate and late messages do no harm.

#include <cstdint>
#include <variant>
#include <vector>

#include "decide/configuration/text_delta.h"
#include "decide/view.h"

namespace guavahaven::decide {

// Updates of members, or all members that the sender knows.
struct member_updates {
    std::vector<member> members_;
    friend bool operator==(const member_updates&, const member_updates&) = default;
};

// A single rule that operators gave outside of the rules file, such as one move.
struct order {
    std::string subject_;        // what it is about; a later order of the same subject replaces it
    std::uint64_t revision_ = 0; // grows with each change in the platform, also if that is restored
    std::string identity_;       // stays the same if only the text of the rule changes
    std::string rule_;           // a line of a rules file; empty once operators removed it
    friend bool operator==(const order&, const order&) = default;
};
struct orders {
    std::vector<order> orders_;
    friend bool operator==(const orders&, const orders&) = default;
};

// Hashes of all that the sender knows (anti-entropy). Sent at intervals to each
// neighbour, also as heartbeat; the receiver answers with what differs, and always with
// a digest_ack.
struct digest {
    std::uint64_t members_ = 0; // hash over all members
    std::uint64_t moves_ = 0;   // hash over all move facts
    std::uint64_t orders_ = 0;  // hash over all orders
    configuration_number configuration_;
    content_hash configuration_hash_;
    friend bool operator==(const digest&, const digest&) = default;
};

// Answer to each digest, whether or not anything differs.
struct digest_ack {
    friend bool operator==(const digest_ack&, const digest_ack&) = default;
};

// The receiver is no longer a neighbour of the sender and gets no more digests from it; it
// must not suspect the sender for that.
struct digests_stopped {
    friend bool operator==(const digests_stopped&, const digests_stopped&) = default;
};

// Hashes of the sender's members by bucket, so that only buckets that differ are sent.
struct member_buckets {
    std::vector<std::uint64_t> hashes_;
    friend bool operator==(const member_buckets&, const member_buckets&) = default;
};

// Requests all members of these buckets.
struct members_request {
    std::vector<std::uint32_t> buckets_;
    friend bool operator==(const members_request&, const members_request&) = default;
};

// Checks whether the receiver is alive. Sent over a new connection, as an open one may be
// dead. Carries the sender's record of the receiver, so that it can refute a suspicion.
struct probe {
    member held_;
    daemon_name requester_; // daemon that requested the probe; empty if the sender itself
    friend bool operator==(const probe&, const probe&) = default;
};

struct probe_answer {
    member self_;
    daemon_name requester_;
    friend bool operator==(const probe_answer&, const probe_answer&) = default;
};

// Asks the receiver to probe a daemon that the sender can't reach (indirect probe).
struct probe_request {
    member held_;
    friend bool operator==(const probe_request&, const probe_request&) = default;
};

// Requests a configuration above this number.
struct configuration_request {
    configuration_number above_;
    content_hash hash_; // of the sender's configuration; 0 requests the whole text, not a delta
    friend bool operator==(const configuration_request&, const configuration_request&) = default;
};

// The whole text of a configuration.
struct full_configuration {
    configuration_record record_;
    content_hash hash_;
    friend bool operator==(const full_configuration&, const full_configuration&) = default;
};

// A configuration as a delta to an earlier one, named by number and hash.
struct configuration_delta {
    configuration_number base_;
    content_hash base_hash_;
    configuration_record record_; // without its text
    content_hash hash_;           // of the resulting text
    std::vector<text_part> parts_;
    friend bool operator==(const configuration_delta&, const configuration_delta&) = default;
};

struct move_facts {
    std::vector<move_fact> facts_;
    friend bool operator==(const move_facts&, const move_facts&) = default;
};

// How the runs of one route and class ended at one gate, counted since the
// gate learned of the move.
struct route_counts {
    std::string route_;
    class_name class_;
    std::uint64_t ran_ = 0;    // runs that ended, or lasted longer than the last slow level
    std::uint64_t failed_ = 0; // of these, answered with status 500 or above
    std::vector<std::uint64_t> slower_than_level_{}; // of these, those longer than each of the slow levels
    friend bool operator==(const route_counts&, const route_counts&) = default;
};

// What one gate has counted of the version beside it during a move. Cumulative, so that
// the newest of a gate's incarnation replaces the older ones.
struct version_stats {
    move_id move_;
    daemon_name gate_;
    incarnation incarnation_;
    version_name version_;
    data_center_name data_center_;
    std::uint64_t second_ = 0; // the wall-clock second, since 1970, that the counts end with
    std::uint32_t limit_ = 0;  // concurrent runs that the gate admits
    duration busy_{};          // run time within that second, over all runs
    std::vector<std::uint64_t>
        deaths_; // fingerprints of the last requests whose runs ended without a whole answer
    std::vector<route_counts> routes_;
    friend bool operator==(const version_stats&, const version_stats&) = default;
};
struct version_stats_report {
    std::vector<version_stats> items_;
    friend bool operator==(const version_stats_report&, const version_stats_report&) = default;
};

using control_message =
    std::variant<member_updates, digest, digest_ack, digests_stopped, member_buckets, members_request, probe,
                 probe_answer, probe_request, configuration_request, full_configuration, configuration_delta,
                 move_facts, version_stats_report, orders>;

// A daemon that others may contact first, as stored in the platform.
struct seed {
    data_center_name data_center_;
    daemon_name daemon_;
    friend bool operator==(const seed&, const seed&) = default;
};

struct send_control {
    daemon_name to_;
    control_message message_;
    bool fresh_connection_ = false; // send over a new connection: the open one may be dead
    friend bool operator==(const send_control&, const send_control&) = default;
};

} // namespace guavahaven::decide
