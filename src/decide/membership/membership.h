#pragma once

// Who is in the mesh: announcements under incarnations, suspicion and its
// refutation, and a data centre that is cut off told apart from deaths.

#include <array>
#include <map>
#include <optional>
#include <vector>

#include "base/random.h"
#include "decide/gossip.h"

namespace guavahaven::decide {

// What hearing announcements led to.
struct merge_outcome {
    std::vector<member> news_;        // to be passed on
    std::vector<member> corrections_; // the sender holds these as present; they are gone

    friend bool operator==(const merge_outcome&, const merge_outcome&) = default;
};

class membership {
public:
    static constexpr std::size_t bucket_count = 64;
    static constexpr std::size_t near_rings = 3;
    static constexpr std::size_t far_rings = 2;

    membership(member self, time_point now);

    merge_outcome merge(const std::vector<member>& heard, time_point now);

    // Own backend server's announcement, or its loss; true if something changed.
    bool announce(const service_name& service, const version_name& version, std::uint32_t slots,
                  bool draining);
    // The daemon is leaving for good.
    void leave();
    // No probe of a daemon was answered; the news, if it was not doubted yet.
    std::vector<member> suspect(const daemon_name& name, time_point now);
    // Declares old suspects dead, unless their data centre is cut off, and
    // forgets old dead; returns the news.
    std::vector<member> tick(time_point now);
    // This process stood still: nobody is to blame for the silence.
    void resume(time_point now);

    const member& self() const { return self_; }
    const member* find(const daemon_name& name) const; // null if unknown
    std::vector<member> members() const;               // sorted, with self

    // Hash over all present members, and of the members of each bucket.
    std::uint64_t hash() const;
    std::vector<std::uint64_t> bucket_hashes() const;
    std::vector<member> members_in(const std::vector<std::uint32_t>& buckets) const;

    // The daemons that this one keeps connections to: its successors in a few
    // rings of the own data centre and of all others, each in an order of its
    // own. So each has few connections, also those that others open to it; every
    // data centre is connected, and so is every pair of them.
    const std::vector<daemon_name>& neighbours() const;
    // True if this daemon is one of the few of its data centre that watch the platform.
    bool watches_platform() const;
    // Names of the daemons alive in the own data centre, this one included,
    // those that should be seeds first.
    std::vector<daemon_name> seed_candidates() const;
    // A doubted or dead daemon that may be back.
    std::optional<member> draw_doubted(random_engine& random) const;
    // A daemon of a data centre that seems cut off, which nobody doubts yet.
    std::optional<member> draw_undoubted_of_cut_off(random_engine& random) const;
    bool cut_off(const data_center_name& name) const;

private:
    // Steps from this daemon's place on to another's, for each ring.
    using ring_places = std::array<std::uint64_t, near_rings + far_rings>;

    struct known {
        member member_;
        time_point changed_;
        std::uint64_t hash_ = 0; // share in its bucket
        std::uint32_t bucket_ = 0;
        std::uint64_t watcher_rank_ = 0; // within its data centre
        ring_places places_{};
    };
    struct population {
        std::size_t present_ = 0;
        std::size_t suspect_ = 0;
    };

    ring_places places_of(const daemon_name& name) const;
    void put(const member& m, time_point now);
    void hash_in(known& k);
    void hash_self();
    void count(const known& k, bool in);
    void change_state(known& k, member_state state, time_point now);

    member self_;
    ring_places own_places_{};
    std::uint64_t self_hash_ = 0;
    std::uint32_t self_bucket_ = 0;
    std::map<daemon_name, known> others_;
    std::array<std::uint64_t, bucket_count> buckets_{};
    std::map<data_center_name, population> populations_; // without self
    mutable std::vector<daemon_name> neighbours_;
    mutable bool neighbours_stale_ = true;
};

} // namespace guavahaven::decide
