#include "decide/configuration/order_set.h"

#include <algorithm>

#include "base/hash.h"

namespace guavahaven::decide {

namespace {

std::uint64_t hash_of_order(const order& o)
{
    return hash(o.subject_ + "\n" + std::to_string(o.revision_) + "\n" + o.rule_);
}

// The later order of a subject stands. Daemons may word one order differently
// (each by the moment at which it saw it): the wording that sorts first stands.
order join(const order& a, const order& b)
{
    order joined = a.revision_ >= b.revision_ ? a : b;
    if (a.identity_ == b.identity_ && !a.rule_.empty() && !b.rule_.empty())
        joined.rule_ = std::min(a.rule_, b.rule_);
    return joined;
}

} // namespace

std::vector<order> order_book::merge(const std::vector<order>& heard)
{
    std::vector<order> news;
    for (const order& o : heard) {
        const auto [at, fresh] = orders_.try_emplace(o.subject_, o);
        const order joined = join(at->second, o);
        if (!fresh && joined == at->second)
            continue;
        if (!fresh)
            hash_ -= hash_of_order(at->second);
        at->second = joined;
        hash_ += hash_of_order(joined);
        news.push_back(joined);
    }
    return news;
}

std::vector<order> order_book::merge_all(const std::string& subject_start, const std::vector<order>& held,
                                         std::uint64_t revision)
{
    std::vector<order> all = held;
    for (const auto& item : orders_) {
        const order& known = item.second;
        const bool missing = std::none_of(held.begin(), held.end(),
                                          [&](const order& o) { return o.subject_ == known.subject_; });
        if (known.subject_.starts_with(subject_start) && missing && !known.rule_.empty() &&
            known.revision_ <= revision)
            all.push_back({known.subject_, revision, "", ""});
    }
    return merge(all);
}

std::vector<order> order_book::orders() const
{
    std::vector<order> all;
    for (const auto& [subject, o] : orders_)
        all.push_back(o);
    return all;
}

std::string order_book::rules() const
{
    std::string lines;
    for (const auto& [subject, o] : orders_)
        if (!o.rule_.empty())
            lines += o.rule_ + "\n";
    return lines;
}

} // namespace guavahaven::decide
