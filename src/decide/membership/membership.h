#pragma once

// The members of the mesh as this daemon knows them: a membership protocol with incarnations, suspicion and
// its refutation (as in SWIM). The daemons of a data centre that is cut off by the network are not declared
// dead.

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "base/random.h"
#include "decide/gossip.h"

namespace guavahaven::decide {

// Result of merging announcements.
struct merge_outcome {
    std::vector<member> news_;        // changed here, to be passed on
    std::vector<member> corrections_; // to be sent back: the sender holds these as present, but they are gone

    friend bool operator==(const merge_outcome&, const merge_outcome&) = default;
};

class membership {
public:
    static constexpr std::size_t bucket_count = 64;
    // Hash rings, on each of which a daemon connects to its successor.
    static constexpr std::size_t local_rings = 3;  // of the daemon's own data centre
    static constexpr std::size_t remote_rings = 2; // of all other data centres

    membership(member self, time_point now);

    // Merges announcements. One that contradicts this daemon's own state is refuted under a higher revision.
    merge_outcome merge(const std::vector<member>& received, time_point now);

    // The own backend server announced itself, or was lost (empty service); returns true if something
    // changed.
    bool announce(const service_name& service, const version_name& version, std::uint32_t slots,
                  bool draining);
    // This daemon shuts down; others are told that it left.
    void leave();
    // No probe of a daemon was answered: suspects it. Returns it if it was not suspect or gone before.
    std::vector<member> suspect(const daemon_name& name, time_point now);
    // Declares suspects dead after a timeout, a longer one while their data centre is cut off, and forgets
    // members that have been gone for some time. Returns those declared dead.
    std::vector<member> tick(time_point now);
    // This process was paused: suspects get the whole timeout again.
    void resume(time_point now);

    const member& self() const { return self_; }
    const member* find(const daemon_name& name) const; // null if unknown, and for self
    std::vector<member> members() const;               // sorted by name, with self

    // Hash over all members that are not gone. The buckets divide them by a hash of their names, so that two
    // daemons whose hashes differ exchange only the members of the buckets that differ.
    std::uint64_t hash() const;
    std::vector<std::uint64_t> bucket_hashes() const;
    std::vector<member> members_in(const std::vector<std::uint32_t>& buckets) const;

    // The daemons that this one keeps connections to: its successors on the local and remote rings, each of
    // which orders the daemons by another hash. So each daemon has few connections, including those that
    // others open to it, and yet the daemons within each data centre are connected, and so is every pair of
    // data centres.
    const std::vector<daemon_name>& neighbours() const;
    // True if this daemon is one of the two of its data centre that watch the platform, by rendezvous
    // hashing.
    bool watches_platform() const;
    // Names of the daemons alive in the own data centre, this one included, best seeds first.
    std::vector<daemon_name> seed_candidates() const;
    // A random suspect or dead daemon, to be probed since it may be back.
    std::optional<member> pick_suspect_or_dead(random_engine& random) const;
    // A random daemon of a data centre that seems cut off, which is not suspect yet.
    std::optional<member> pick_unsuspected_in_cut_off(random_engine& random) const;
    // True if at least two of a data centre's daemons, and at least half of those present, are suspect.
    bool cut_off(const data_center_name& name) const;

private:
    // Distance on each ring from this daemon on to another one.
    using ring_positions = std::array<std::uint64_t, local_rings + remote_rings>;

    struct known_member {
        member member_;
        time_point changed_;
        std::uint64_t hash_ = 0; // added to its bucket; 0 if the member is gone
        std::uint32_t bucket_ = 0;
        std::uint64_t watcher_rank_ = 0; // rendezvous rank within its data centre
        ring_positions ring_positions_{};
    };
    // Numbers of members of a data centre.
    struct population {
        std::size_t present_ = 0;
        std::size_t suspect_ = 0;
    };

    ring_positions ring_positions_of(const daemon_name& name) const;
    void put(const member& m, time_point now);
    void update_bucket_hash(known_member& k);
    void update_self_hash();
    void count(const known_member& k, bool added);
    void change_state(known_member& k, member_state state, time_point now);

    member self_;
    ring_positions own_ring_positions_{};
    std::uint64_t self_hash_ = 0;
    std::uint32_t self_bucket_ = 0;
    std::map<daemon_name, known_member> others_;
    std::array<std::uint64_t, bucket_count> buckets_{};
    std::map<data_center_name, population> populations_; // without self and those gone
    mutable std::vector<daemon_name> neighbours_;
    mutable bool neighbours_stale_ = true;
};

} // namespace guavahaven::decide
