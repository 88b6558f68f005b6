#pragma once

// Putting a rules text in force: one conditional update of the platform's
// configuration object. A lost answer is settled by reading back; of racing
// operators one wins, and the other gets the winner's record.

#include <functional>
#include <optional>

#include "decide/configuration.h"
#include "object_store/store.h"

namespace guavahaven::operators {

// What the platform holds as the configuration.
struct published {
    std::uint64_t object_version_ = 0; // 0: no object yet
    decide::configuration_record record_;
    bool malformed_ = false; // the object holds no configuration; a write may replace it

    friend bool operator==(const published&, const published&) = default;
};

struct publish_outcome {
    published now_;
    bool written_ = false;            // by this call
    std::optional<published> winner_; // of a race that this call lost

    friend bool operator==(const publish_outcome&, const publish_outcome&) = default;
};

class publisher {
public:
    explicit publisher(object_store::store& store) : store_(store) {}

    // The configuration in the platform; number 0 if there is none.
    void read(std::function<void(result<published>)> handler);

    // Writes text over 'base', the configuration that the operator has seen,
    // with the number after the higher of base's and 'above', the highest known
    // to be in force. Errors: platform_unreachable if the outcome could not be
    // settled, platform_conflict never (see winner_).
    void publish(const published& base, configuration_number above, const std::string& author,
                 const std::string& text, wall_time now,
                 std::function<void(result<publish_outcome>)> handler);

    // A past configuration.
    void read_past(configuration_number number,
                   std::function<void(result<decide::configuration_record>)> handler);

private:
    void write(std::uint64_t over, const decide::configuration_record& ours, int tries_left,
               std::function<void(result<publish_outcome>)> handler);
    void settle(std::uint64_t over, const decide::configuration_record& ours, int tries_left,
                const error& why, std::function<void(result<publish_outcome>)> handler);
    void keep_past(const decide::configuration_record& record, std::function<void()> handler);

    object_store::store& store_;
};

} // namespace guavahaven::operators
