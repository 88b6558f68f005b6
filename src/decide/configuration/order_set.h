#pragma once

// The operators' orders known to this daemon. An order is a single rule that an operator gives beside the
// rules file, such as one move or one data centre taken out of service. A later order of the same subject
// replaces an earlier one, so that updates may arrive late, repeated and in any order.

#include <map>
#include <string>
#include <vector>

#include "decide/gossip.h"

namespace guavahaven::decide {

class order_set {
public:
    // Merges orders; returns those that changed here.
    std::vector<order> merge(const std::vector<order>& received);
    // Merges a complete list of the platform's orders, as of a revision, whose subjects have this prefix.
    // Known orders that are missing from it and are not newer were taken back. Returns the orders that
    // changed.
    std::vector<order> merge_snapshot(const std::string& subject_prefix, const std::vector<order>& listed,
                                      std::uint64_t revision);

    // All orders, also those taken back (with an empty rule).
    std::vector<order> orders() const;
    // Hash over all orders, by which daemons compare what they know.
    std::uint64_t hash() const { return hash_; }
    // The rules of all orders that were not taken back, one per line.
    std::string rules() const;

private:
    std::map<std::string, order> orders_; // by subject
    std::uint64_t hash_ = 0;
};

} // namespace guavahaven::decide
