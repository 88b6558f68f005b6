#include "operator/mesh_report.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <map>
#include <tuple>

namespace guavahaven::operators {

namespace {

constexpr int bar_width = 20;

std::string bar(double share)
{
    const int filled = static_cast<int>(std::lround(share * bar_width));
    return "[" + std::string(static_cast<std::size_t>(filled), '#') +
           std::string(static_cast<std::size_t>(bar_width - filled), '.') + "]";
}

std::string percent(double share)
{
    const auto tenths = std::lround(share * 1000);
    return std::to_string(tenths / 10) + (tenths % 10 ? "." + std::to_string(tenths % 10) : "") + "%";
}

auto precedence(const move_report& m)
{
    const int state = m.state_ == "taken back" ? 2 : m.state_ == "done" ? 1 : 0;
    return std::tuple(state, m.share_, !m.reason_.empty());
}

} // namespace

std::string utc(std::uint64_t microseconds)
{
    if (microseconds == 0)
        return {};
    const auto seconds = static_cast<std::time_t>(microseconds / 1'000'000);
    std::tm fields{};
    gmtime_r(&seconds, &fields);
    char text[32];
    return {text, std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &fields)};
}

std::vector<move_report> joined_moves(const std::vector<daemon_status>& daemons)
{
    std::uint64_t newest = 0;
    for (const daemon_status& d : daemons)
        newest = std::max(newest, d.configuration_);
    std::map<std::string, move_report> by_service;
    for (const daemon_status& d : daemons) {
        if (d.configuration_ != newest)
            continue; // its moves may be those of an older rules file
        for (const move_report& m : d.moves_) {
            const auto [at, fresh] = by_service.insert({m.service_, m});
            if (!fresh && precedence(m) > precedence(at->second))
                at->second = m;
        }
    }
    std::vector<move_report> all;
    for (const auto& [service, m] : by_service)
        all.push_back(m);
    return all;
}

std::vector<out_summary> joined_outs(const std::vector<daemon_status>& daemons)
{
    std::map<std::string, out_summary> by_name;
    for (const daemon_status& d : daemons)
        for (const out_report& o : d.outs_)
            by_name[o.data_center_] = {o.data_center_, o.asked_by_, 0, 0};
    for (const daemon_status& d : daemons) {
        const auto at = by_name.find(d.data_center_);
        if (at == by_name.end())
            continue;
        at->second.last_run_ = std::max(at->second.last_run_, d.own_.last_run_);
        at->second.in_flight_ += d.own_.in_flight_;
    }
    std::vector<out_summary> all;
    for (const auto& [name, o] : by_name)
        all.push_back(o);
    return all;
}

std::string to_line(const move_report& m)
{
    std::string text = "move " + m.service_ + " to " + m.version_ + ": " + m.state_ + " " + bar(m.share_) +
                       " share " + percent(m.share_);
    if (m.since_ != 0)
        text += ", since " + utc(m.since_);
    if (m.state_ == "underway")
        text += ", by " + utc(m.deadline_);
    if (!m.reason_.empty())
        text += " (" + std::string(m.state_ == "underway" ? "waits: " : "") + m.reason_ + ")";
    return text + "  # " + m.asked_by_;
}

std::string to_line(const out_summary& o, std::uint64_t now)
{
    std::string text = "out " + o.data_center_ + ": ";
    if (o.last_run_ == 0)
        text += "no work seen";
    else
        text += "last new work " + std::to_string((now - std::min(now, o.last_run_)) / 1'000'000) +
                " s ago, at " + utc(o.last_run_);
    return text + ", " + std::to_string(o.in_flight_) + " in flight  # " + o.asked_by_;
}

} // namespace guavahaven::operators
