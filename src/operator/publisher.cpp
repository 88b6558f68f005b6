#include "operator/publisher.h"

#include <algorithm>

#include "object_store/objects.h"

namespace guavahaven::operators {

namespace {

constexpr int write_tries = 5; // writes, and reads after a write whose answer was lost

} // namespace

void publisher::read(std::function<void(result<published>)> handler)
{
    store_.get(object_store::configuration_kind, object_store::current_name,
               [handler = std::move(handler)](const result<object_store::object>& found) {
                   if (!ok(found) && failure(found).code_ == code::platform_not_found)
                       return handler(published{});
                   if (!ok(found))
                       return handler(failure(found));
                   const auto record = object_store::to_record(value(found).bytes_);
                   if (!ok(record))
                       return handler(published{value(found).version_, {}, true});
                   handler(published{value(found).version_, value(record)});
               });
}

void publisher::publish(const published& base, configuration_number above, const std::string& author,
                        const std::string& text, wall_time now,
                        std::function<void(result<publish_outcome>)> handler)
{
    decide::configuration_record ours;
    ours.number_ = std::max(base.record_.number_, above).next();
    ours.author_ = author;
    // Not before the previous one, whose author's clock may be ahead: a daemon holds a configuration back
    // until it is some seconds old.
    ours.written_at_ =
        std::max(base.record_.written_at_, static_cast<std::uint64_t>(now.time_since_epoch().count()));
    ours.text_ = text;
    write(base.object_version_, ours, write_tries, std::move(handler));
}

void publisher::write(std::uint64_t over, const decide::configuration_record& ours, int tries_left,
                      std::function<void(result<publish_outcome>)> handler)
{
    const auto written = [this, over, ours, tries_left, handler](const result<std::uint64_t>& r) {
        if (!ok(r))
            return settle(over, ours, tries_left, failure(r), handler);
        keep_past(ours, [=, version = value(r)] { handler(publish_outcome{{version, ours}, true, {}}); });
    };
    store_.put(object_store::configuration_kind, object_store::current_name, object_store::to_bytes(ours),
               over, written);
}

// The write was refused, or its answer was lost: what the platform holds now
// tells which. A write that had no effect is tried again; should the first one
// come late after all, the object's version keeps the two from both counting.
void publisher::settle(std::uint64_t over, const decide::configuration_record& ours, int tries_left,
                       const error& why, std::function<void(result<publish_outcome>)> handler)
{
    if (tries_left <= 0)
        return handler(why);
    read([=, this](const result<published>& found) {
        if (!ok(found))
            return settle(over, ours, tries_left - 1, failure(found), handler);
        const published& now = value(found);
        if (now.record_ == ours)
            return keep_past(ours, [=] { handler(publish_outcome{now, true, {}}); });
        if (now.object_version_ == over)
            return write(over, ours, tries_left - 1, handler);
        handler(publish_outcome{now, false, now});
    });
}

void publisher::keep_past(const decide::configuration_record& record, std::function<void()> handler)
{
    store_.put(object_store::history_kind, std::to_string(record.number_.value()),
               object_store::to_bytes(record), 0,
               [handler = std::move(handler)](const result<std::uint64_t>&) { handler(); });
}

void publisher::read_past(configuration_number number,
                          std::function<void(result<decide::configuration_record>)> handler)
{
    store_.get(object_store::history_kind, std::to_string(number.value()),
               [handler = std::move(handler)](const result<object_store::object>& found) {
                   if (!ok(found))
                       return handler(failure(found));
                   handler(object_store::to_record(value(found).bytes_));
               });
}

} // namespace guavahaven::operators
