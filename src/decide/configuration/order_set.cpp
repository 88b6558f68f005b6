#include "decide/configuration/order_set.h"

#include <algorithm>

#include "base/hash.h"

namespace guavahaven::decide {

namespace {

std::uint64_t hash_of_order(const order& o)
{
    return hash(o.subject_ + "\n" + std::to_string(o.revision_) + "\n" + o.rule_);
}

// The order with the higher revision wins. Two daemons may give the same order different rule texts, since
// each uses the time at which it saw the order (such as for the deadline of a move), and may identify it
// differently after the platform had lost it: then the text that sorts first wins.
order join(const order& a, const order& b)
{
    const bool first = a.revision_ == b.revision_ ? a.rule_ <= b.rule_ : a.revision_ > b.revision_;
    order joined = first ? a : b;
    if (a.identity_ == b.identity_ && !a.rule_.empty() && !b.rule_.empty())
        joined.rule_ = std::min(a.rule_, b.rule_);
    return joined;
}

} // namespace

std::vector<order> order_set::merge(const std::vector<order>& received)
{
    std::vector<order> updates;
    for (const order& o : received) {
        const auto [at, inserted] = orders_.try_emplace(o.subject_, o);
        const order joined = join(at->second, o);
        if (!inserted && joined == at->second)
            continue;
        if (!inserted)
            hash_ -= hash_of_order(at->second);
        at->second = joined;
        hash_ += hash_of_order(joined);
        updates.push_back(joined);
    }
    return updates;
}

std::vector<order> order_set::merge_snapshot(const std::string& subject_prefix,
                                             const std::vector<order>& listed, std::uint64_t revision)
{
    std::vector<order> all = listed;
    for (const auto& item : orders_) {
        const order& known = item.second;
        const bool missing = std::none_of(listed.begin(), listed.end(),
                                          [&](const order& o) { return o.subject_ == known.subject_; });
        if (known.subject_.starts_with(subject_prefix) && missing && !known.rule_.empty() &&
            known.revision_ <= revision)
            all.push_back({known.subject_, revision, "", ""});
    }
    return merge(all);
}

std::vector<order> order_set::orders() const
{
    std::vector<order> all;
    for (const auto& [subject, o] : orders_)
        all.push_back(o);
    return all;
}

std::string order_set::rules() const
{
    std::string lines;
    for (const auto& [subject, o] : orders_)
        if (!o.rule_.empty())
            lines += o.rule_ + "\n";
    return lines;
}

} // namespace guavahaven::decide
