#pragma once

// Which configuration is in force here, and how it reaches others. The highest
// number wins; nothing is adopted in part, of another hash than stated, or of
// the number in force with other content.

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "decide/gossip.h"

namespace guavahaven::decide {

// Turns a rules text into a configuration; given by the owner, so that this
// folder stays free of parsing.
using configuration_parser = std::function<result<configuration>(const configuration_record&)>;

// What became of an offered configuration.
struct offer_outcome {
    bool adopted_ = false;
    bool whole_wanted_ = false;    // the offer was no use, but its number is higher
    std::optional<error> problem_; // that operators should see

    friend bool operator==(const offer_outcome&, const offer_outcome&) = default;
};

class distribution {
public:
    explicit distribution(configuration_parser parse) : parse_(std::move(parse)) {}

    // From the platform: what it holds as the current one.
    offer_outcome offer(const configuration_record& from_platform);
    // From another daemon.
    offer_outcome offer(const configuration_whole& whole);
    offer_outcome offer(const configuration_delta& delta);
    // Another daemon states that it has this one.
    offer_outcome heard_of(configuration_number number, content_hash of);

    // The message that brings a daemon from the one it has to the one in
    // force: a delta if that is smaller; none if it needs nothing.
    std::optional<control_message> update_for(configuration_number has, content_hash of) const;
    // What is pushed after an adoption; none if only the whole text would do.
    std::optional<configuration_delta> last_change() const;

    configuration_number number() const { return record_ ? record_->number_ : configuration_number(); }
    content_hash hash() const { return hash_; }
    const std::optional<configuration_record>& record() const { return record_; }
    const configuration_ptr& configuration() const { return configuration_; }

private:
    struct past {
        configuration_number number_;
        content_hash hash_;
        std::string text_;
    };

    offer_outcome adopt(const configuration_record& record, content_hash of);
    offer_outcome conflict() const;
    std::optional<configuration_delta> delta_from(const past& base) const;

    configuration_parser parse_;
    std::optional<configuration_record> record_;
    content_hash hash_;
    configuration_ptr configuration_;
    content_hash refused_;  // of the last one that could not be parsed
    std::deque<past> past_; // the newest last
};

} // namespace guavahaven::decide
