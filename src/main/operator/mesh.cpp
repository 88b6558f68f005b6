#include "main/operator/mesh.h"

namespace guavahaven::commands {

namespace {

constexpr duration call_timeout = std::chrono::seconds(2);

} // namespace

result<http::response> fetch(event_loop& loop, const http::address& at, const std::string& target)
{
    http::client client(loop, at, 1, {code::peer_unreachable, http::to_string(at)});
    return wait_for<http::response>(loop, [&](auto h) {
        client.send({"GET", target, {}, ""}, call_timeout, std::move(h));
    });
}

result<operators::daemon_status> fetch_status(event_loop& loop, const http::address& at)
{
    const auto got = fetch(loop, at, "/status");
    if (!ok(got))
        return failure(got);
    return operators::parse_status(value(got).body_);
}

mesh_status ask_all(event_loop& loop, const operators::daemon_status& first)
{
    mesh_status all{first, {first}, {}, first.configuration_};
    for (const operators::member_report& m : first.members_) {
        if (m.name_ == first.name_ || m.state_ == "left" || m.state_ == "dead")
            continue;
        const auto at = http::parse_address(m.operator_address_);
        const auto got =
            ok(at) ? fetch_status(loop, value(at)) : result<operators::daemon_status>(failure(at));
        if (!ok(got)) {
            all.silent_.push_back(m.name_);
            continue;
        }
        all.daemons_.push_back(value(got));
        all.newest_ = std::max(all.newest_, value(got).configuration_);
    }
    return all;
}

} // namespace guavahaven::commands
