#pragma once

// Who is in the mesh: announcements under incarnations, suspicion, refutation.

#include <map>
#include <vector>

#include "decide/gossip.h"

namespace guavahaven::decide {

class membership {
public:
    membership(member self, time_point now);

    // Takes announcements in; returns those that were news, to be passed on.
    std::vector<member> merge(const std::vector<member>& heard, time_point now);

    // Own backend server's announcement, or its loss; true if something changed.
    bool announce(const service_name& service, const version_name& version, std::uint32_t slots,
                  bool draining);
    // The daemon is leaving for good.
    void leave();

    // A message came from a daemon.
    void heard_from(const daemon_name& from, time_point now);
    // Suspects silent neighbours, declares old suspects dead; returns the news.
    std::vector<member> tick(time_point now);

    const member& self() const { return self_; }
    std::vector<member> members() const; // sorted, with self
    std::uint64_t hash() const;
    // The daemons that this one keeps connections to.
    std::vector<daemon_name> neighbours() const;
    // True if this daemon is one of the few of its data centre that watch the platform.
    bool watches_platform() const;

private:
    struct known {
        member member_;
        time_point changed_;
        time_point heard_;
    };

    member self_;
    std::map<daemon_name, known> others_;
};

} // namespace guavahaven::decide
