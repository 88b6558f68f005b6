// Commands on what daemons say of themselves: status, report.

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "main/operator/commands.h"
#include "main/operator/mesh.h"
#include "operator/mesh_report.h"
#include "operator/report.h"

namespace guavahaven::commands {

namespace {

using nlohmann::json;

std::size_t count_current(const mesh_status& all)
{
    const auto current = [&](const operators::daemon_status& d) { return d.configuration_ == all.newest_; };
    return static_cast<std::size_t>(std::count_if(all.daemons_.begin(), all.daemons_.end(), current));
}

void print_status(const mesh_status& all)
{
    const std::size_t total = all.daemons_.size() + all.silent_.size();
    std::cout << "configuration " << all.newest_ << " in force on " << count_current(all) << " of " << total
              << " daemons\n";
    for (const operators::daemon_status& d : all.daemons_) {
        if (d.configuration_ != all.newest_)
            std::cout << "  behind   " << d.name_ << " (" << d.data_center_ << ") has " << d.configuration_
                      << "\n";
        for (const std::string& problem : d.problems_)
            std::cout << "  problem  " << d.name_ << ": " << problem << "\n";
    }
    for (const std::string& name : all.silent_)
        std::cout << "  silent   " << name << "\n";
    const auto now = static_cast<std::uint64_t>(runtime_clock().wall().time_since_epoch().count());
    for (const operators::move_report& m : operators::joined_moves(all.daemons_))
        std::cout << operators::to_line(m) << "\n";
    for (const operators::out_summary& o : operators::joined_outs(all.daemons_))
        std::cout << operators::to_line(o, now) << "\n";
}

int status_once(const arguments& args, const http::address& at)
{
    event_loop loop;
    const auto first = fetch_status(loop, at);
    if (!ok(first))
        return report(failure(first), unreachable);
    const mesh_status all = ask_all(loop, value(first));
    const std::size_t total = all.daemons_.size() + all.silent_.size();
    const bool converged = count_current(all) == total;
    if (!as_json(args)) {
        print_status(all);
        return converged ? done : not_converged;
    }
    operators::daemon_status shown = all.asked_;
    shown.moves_ = operators::joined_moves(all.daemons_);
    json j = json::parse(operators::to_json(shown));
    j["newest_configuration"] = all.newest_;
    j["daemons"] = total;
    j["daemons_current"] = count_current(all);
    j["silent"] = all.silent_;
    std::cout << j.dump() << "\n";
    return converged ? done : not_converged;
}

} // namespace

int status(const arguments& args)
{
    const auto at = http::parse_address(args.at("--daemon").asString());
    if (!ok(at))
        return report(failure(at), wrong_usage);
    while (args.at("--watch").asBool()) {
        if (isatty(STDOUT_FILENO))
            std::cout << "\033[2J\033[H"; // clears the screen
        status_once(args, value(at));
        std::cout << std::flush;
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    return status_once(args, value(at));
}

int write_report(const arguments& args)
{
    const auto at = http::parse_address(args.at("--daemon").asString());
    if (!ok(at))
        return report(failure(at), wrong_usage);
    event_loop loop;
    const auto first = fetch_status(loop, value(at));
    if (!ok(first))
        return report(failure(first), unreachable);
    const mesh_status all = ask_all(loop, value(first));
    std::vector<std::vector<operators::sample>> samples;
    for (const operators::member_report& m : value(first).members_) {
        const auto operator_port = http::parse_address(m.operator_address_);
        if (!ok(operator_port))
            continue;
        const auto got = fetch(loop, value(operator_port), "/samples");
        const auto read = ok(got) ? operators::parse_samples(value(got).body_)
                                  : result<std::vector<operators::sample>>(failure(got));
        if (ok(read))
            samples.push_back(value(read));
    }
    const auto now = static_cast<std::uint64_t>(runtime_clock().wall().time_since_epoch().count());
    std::ofstream file(args.at("FILE").asString());
    file << operators::report_page(all.daemons_, samples, now);
    file.close();
    if (!file)
        return report({code::report_unwritable, args.at("FILE").asString()}, refused);
    return done;
}

} // namespace guavahaven::commands
