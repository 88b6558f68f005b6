#include "decide/configuration/configuration_replica.h"

#include <algorithm>

#include "base/guards.h"

namespace guavahaven::decide {

namespace {

constexpr std::size_t max_past_configurations = 4; // kept as bases of deltas
constexpr std::size_t min_delta_saving_factor =
    2; // a delta is sent if the full text is this many times its size

std::string describe(configuration_number n)
{
    return "configuration " + std::to_string(n.value());
}

} // namespace

offer_outcome configuration_replica::offer(const configuration_record& from_platform)
{
    if (from_platform.number_ < number() && guard_enabled(guard::number_order)) {
        const std::string detail = "the platform holds " + describe(from_platform.number_) +
                                   "; in force stays " + describe(number());
        return {false, false, error{code::platform_older_state, detail}};
    }
    return adopt(from_platform, hash_of(from_platform.text_));
}

offer_outcome configuration_replica::offer(const full_configuration& whole)
{
    if (!guard_enabled(guard::spreading))
        return {};
    const content_hash actual = hash_of(whole.record_.text_);
    if (actual != whole.hash_)
        return {false, false, // the next digest leads to another request
                error{code::content_hash_mismatch,
                      describe(whole.record_.number_) + ": its full text does not match its hash"}};
    return adopt(whole.record_, actual);
}

offer_outcome configuration_replica::offer(const configuration_delta& delta)
{
    if (!guard_enabled(guard::spreading))
        return {};
    if (delta.record_.number_ <= number())
        return on_advertised(delta.record_.number_, delta.hash_);
    if (!record_ || delta.base_ != number() || delta.base_hash_ != hash_)
        return {false, true, {}};
    const std::optional<std::string> text = apply_delta(record_->text_, delta.parts_);
    if (!text || hash_of(*text) != delta.hash_)
        return {
            false, true,
            error{code::content_hash_mismatch, describe(delta.record_.number_) +
                                                   " does not match its hash as a delta to configuration " +
                                                   std::to_string(delta.base_.value())}};
    configuration_record record = delta.record_;
    record.text_ = *text;
    return adopt(record, delta.hash_);
}

offer_outcome configuration_replica::on_advertised(configuration_number other, content_hash text_hash)
{
    if (other == number() && record_ && text_hash != hash_)
        return conflict_outcome();
    return {false, other > number() && text_hash != rejected_hash_, {}};
}

offer_outcome configuration_replica::conflict_outcome() const
{
    return {false, false,
            error{code::configuration_conflict,
                  describe(number()) + " has other content elsewhere; the content in force here stays"}};
}

offer_outcome configuration_replica::adopt(const configuration_record& record, content_hash text_hash)
{
    if (record_ && record.number_ == number() && text_hash != hash_)
        return conflict_outcome();
    if (record_ && record.number_ <= number() && guard_enabled(guard::number_order))
        return {};
    result<guavahaven::decide::configuration> parsed = parse_(record);
    if (!ok(parsed)) {
        rejected_hash_ = text_hash;
        return {false, false, failure(parsed)};
    }
    if (record_)
        past_configurations_.push_back({number(), hash_, record_->text_});
    if (past_configurations_.size() > max_past_configurations)
        past_configurations_.pop_front();
    record_ = record;
    hash_ = text_hash;
    configuration_ =
        std::make_shared<const guavahaven::decide::configuration>(guavahaven::take(std::move(parsed)));
    return {true, false, {}};
}

std::optional<control_message> configuration_replica::update_for(configuration_number has,
                                                                 content_hash text_hash) const
{
    if (!record_ || has >= number())
        return {};
    const auto base =
        std::find_if(past_configurations_.begin(), past_configurations_.end(),
                     [&](const past_configuration& p) { return p.number_ == has && p.hash_ == text_hash; });
    if (base != past_configurations_.end())
        if (const auto delta = delta_from(*base))
            return *delta;
    return full_configuration{*record_, hash_};
}

std::optional<configuration_delta> configuration_replica::latest_delta() const
{
    if (past_configurations_.empty())
        return {};
    return delta_from(past_configurations_.back());
}

std::optional<configuration_delta> configuration_replica::delta_from(const past_configuration& base) const
{
    std::vector<text_part> parts = make_delta(base.text_, record_->text_);
    if (delta_size(parts) * min_delta_saving_factor > record_->text_.size())
        return {};
    configuration_record record = *record_;
    record.text_.clear();
    return configuration_delta{base.number_, base.hash_, record, hash_, std::move(parts)};
}

} // namespace guavahaven::decide
