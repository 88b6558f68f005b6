#pragma once

// Decides which configuration is in force at this daemon, and makes the messages that bring other daemons to
// it. The highest number wins. A configuration is refused as a whole if it can't be parsed, if its text does
// not have the stated hash, or if it has the number in force but other content.

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

#include "decide/gossip.h"

namespace guavahaven::decide {

// Parses a rules text into a configuration. The owner passes it in, so that src/decide does not depend on the
// parser.
using configuration_parser = std::function<result<configuration>(const configuration_record&)>;

// Result of offering a configuration.
struct offer_outcome {
    bool adopted_ = false;
    bool full_text_needed_ = false; // its number is higher than the one in force, but its full text is needed
    std::optional<error> problem_;  // to be reported to operators

    friend bool operator==(const offer_outcome&, const offer_outcome&) = default;
};

class configuration_replica {
public:
    explicit configuration_replica(configuration_parser parse) : parse_(std::move(parse)) {}

    // The current configuration of the platform.
    offer_outcome offer(const configuration_record& from_platform);
    // Sent by another daemon.
    offer_outcome offer(const full_configuration& whole);
    offer_outcome offer(const configuration_delta& delta);
    // Another daemon has this configuration in force, by its digest.
    offer_outcome on_advertised(configuration_number number, content_hash text_hash);

    // The message that brings a daemon that has this number and hash to the configuration in force: a delta
    // if the base is known and a delta is small enough, else the full text; none if the daemon is not behind.
    std::optional<control_message> update_for(configuration_number has, content_hash text_hash) const;
    // The delta from the previous configuration, which is pushed after an adoption; none if there is no
    // previous one or the delta would not be small enough.
    std::optional<configuration_delta> latest_delta() const;

    configuration_number number() const { return record_ ? record_->number_ : configuration_number(); }
    content_hash hash() const { return hash_; }
    const std::optional<configuration_record>& record() const { return record_; }
    const configuration_ptr& configuration() const { return configuration_; }

private:
    struct past_configuration {
        configuration_number number_;
        content_hash hash_;
        std::string text_;
    };

    offer_outcome adopt(const configuration_record& record, content_hash text_hash);
    offer_outcome conflict_outcome() const;
    std::optional<configuration_delta> delta_from(const past_configuration& base) const;

    configuration_parser parse_;
    std::optional<configuration_record> record_;
    content_hash hash_;
    configuration_ptr configuration_;
    content_hash rejected_hash_; // of the last one that could not be parsed; it is not requested again
    std::deque<past_configuration> past_configurations_; // the newest last
};

} // namespace guavahaven::decide
