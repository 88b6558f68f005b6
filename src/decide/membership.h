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

    // The daemons that this one keeps connections to: a few of the own data
    // centre, a few of others. Each daemon draws others, so that all together
    // are connected, and so is every pair of data centres.
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
    struct known {
        member member_;
        time_point changed_;
        std::uint64_t hash_ = 0; // share in its bucket
        std::uint32_t bucket_ = 0;
        std::uint64_t neighbour_rank_ = 0; // for this daemon
        std::uint64_t watcher_rank_ = 0;   // within its data centre
    };
    struct population {
        std::size_t present_ = 0;
        std::size_t suspect_ = 0;
    };

    void put(const member& m, time_point now);
    void hash_in(known& k);
    void hash_self();
    void count(const known& k, bool in);
    void change_state(known& k, member_state state, time_point now);

    member self_;
    std::uint64_t self_hash_ = 0;
    std::uint32_t self_bucket_ = 0;
    std::map<daemon_name, known> others_;
    std::array<std::uint64_t, bucket_count> buckets_{};
    std::map<data_center_name, population> populations_; // without self
    mutable std::vector<daemon_name> neighbours_;
    mutable bool neighbours_stale_ = true;
};

} // namespace guavahaven::decide
