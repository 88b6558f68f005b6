#pragma once

// Orders: single rules that operators give beside the rules file, such as one
// move or one data centre taken out. Each is a fact that a later one of the
// same subject replaces, so that crossed, doubled and late news do no harm.

#include <map>
#include <string>
#include <vector>

#include "decide/gossip.h"

namespace guavahaven::decide {

class order_book {
public:
    // Takes news over; returns what was new.
    std::vector<order> merge(const std::vector<order>& heard);
    // The platform holds just these orders whose subjects start so, as of a
    // revision: those that are missing were taken back.
    std::vector<order> merge_all(const std::string& subject_start, const std::vector<order>& held,
                                 std::uint64_t revision);

    std::vector<order> orders() const;
    std::uint64_t hash() const { return hash_; }
    // The rules of all orders that stand, one a line.
    std::string rules() const;

private:
    std::map<std::string, order> orders_; // by subject
    std::uint64_t hash_ = 0;
};

} // namespace guavahaven::decide
