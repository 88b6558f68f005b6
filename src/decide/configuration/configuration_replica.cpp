#include "decide/configuration/configuration_replica.h"

#include <algorithm>

#include "base/guards.h"

namespace guavahaven::decide {

namespace {

constexpr std::size_t past_most = 4;            // texts kept as bases of deltas
constexpr std::size_t delta_share_of_whole = 2; // a delta is sent if it is smaller than the whole by this

std::string named(configuration_number n)
{
    return "configuration " + std::to_string(n.value());
}

} // namespace

offer_outcome distribution::offer(const configuration_record& from_platform)
{
    if (from_platform.number_ < number() && guarded(guard::number_order)) {
        const std::string detail =
            "the platform has " + named(from_platform.number_) + ", in force is " + named(number());
        return {false, false, error{code::platform_older_state, detail}};
    }
    return adopt(from_platform, hash_of(from_platform.text_));
}

offer_outcome distribution::offer(const configuration_whole& whole)
{
    if (!guarded(guard::spreading))
        return {};
    const content_hash actual = hash_of(whole.record_.text_);
    if (actual != whole.hash_)
        return {false, false, // the next digest will lead to it again
                error{code::content_hash_mismatch, named(whole.record_.number_) + " as a whole"}};
    return adopt(whole.record_, actual);
}

offer_outcome distribution::offer(const configuration_delta& delta)
{
    if (!guarded(guard::spreading))
        return {};
    if (delta.record_.number_ <= number())
        return heard_of(delta.record_.number_, delta.hash_);
    if (!record_ || delta.base_ != number() || delta.base_hash_ != hash_)
        return {false, true, {}};
    const std::optional<std::string> text = apply_delta(record_->text_, delta.parts_);
    if (!text || hash_of(*text) != delta.hash_)
        return {false, true,
                error{code::content_hash_mismatch, named(delta.record_.number_) + " as a change of " +
                                                       std::to_string(delta.base_.value())}};
    configuration_record record = delta.record_;
    record.text_ = *text;
    return adopt(record, delta.hash_);
}

offer_outcome distribution::heard_of(configuration_number other, content_hash of)
{
    if (other == number() && record_ && of != hash_)
        return conflict();
    return {false, other > number() && of != refused_, {}};
}

offer_outcome distribution::conflict() const
{
    return {false, false,
            error{code::configuration_conflict, named(number()) + " has another content elsewhere"}};
}

offer_outcome distribution::adopt(const configuration_record& record, content_hash of)
{
    if (record_ && record.number_ == number() && of != hash_)
        return conflict();
    if (record_ && record.number_ <= number() && guarded(guard::number_order))
        return {};
    result<guavahaven::decide::configuration> parsed = parse_(record);
    if (!ok(parsed)) {
        refused_ = of;
        return {false, false, failure(parsed)};
    }
    if (record_)
        past_.push_back({number(), hash_, record_->text_});
    if (past_.size() > past_most)
        past_.pop_front();
    record_ = record;
    hash_ = of;
    configuration_ =
        std::make_shared<const guavahaven::decide::configuration>(guavahaven::take(std::move(parsed)));
    return {true, false, {}};
}

std::optional<control_message> distribution::update_for(configuration_number has, content_hash of) const
{
    if (!record_ || has >= number())
        return {};
    const auto base = std::find_if(past_.begin(), past_.end(),
                                   [&](const past& p) { return p.number_ == has && p.hash_ == of; });
    if (base != past_.end())
        if (const auto delta = delta_from(*base))
            return *delta;
    return configuration_whole{*record_, hash_};
}

std::optional<configuration_delta> distribution::last_change() const
{
    if (past_.empty())
        return {};
    return delta_from(past_.back());
}

std::optional<configuration_delta> distribution::delta_from(const past& base) const
{
    std::vector<text_part> parts = make_delta(base.text_, record_->text_);
    if (delta_size(parts) * delta_share_of_whole > record_->text_.size())
        return {};
    configuration_record record = *record_;
    record.text_.clear();
    return configuration_delta{base.number_, base.hash_, record, hash_, std::move(parts)};
}

} // namespace guavahaven::decide
