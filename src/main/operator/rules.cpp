// Commands on a rules file: check, diff, apply.

#include <unistd.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "main/operator/commands.h"
#include "main/operator/mesh.h"
#include "operator/capacity.h"

namespace guavahaven::commands {

namespace {

using nlohmann::json;

// What a command that compares or writes rules is given.
struct rules_for_platform {
    decide::configuration rules_;
    http::address platform_;
};

// The exit status if one of the two can't be had.
std::variant<rules_for_platform, int> rules_and_platform(const arguments& args)
{
    auto rules = load_rules(args, args.at("FILE").asString());
    if (!rules)
        return refused;
    const auto at = platform_of(args);
    if (!ok(at))
        return report(failure(at), wrong_usage);
    return rules_for_platform{std::move(*rules), value(at)};
}

std::string author_of(const arguments& args)
{
    if (const docopt::value& named = args.at("--author"))
        return named.asString();
    const char* login = getlogin();
    return login ? login : "unknown";
}

// The highest configuration number in force on any daemon that can be asked.
result<configuration_number> highest_in_force(event_loop& loop, const arguments& args)
{
    const auto at = http::parse_address(args.at("--daemon").asString());
    if (!ok(at))
        return failure(at);
    const auto first = fetch_status(loop, value(at));
    if (!ok(first))
        return failure(first);
    return configuration_number(ask_all(loop, value(first)).newest_);
}

// Warnings go to the error output, so that they never mix with JSON.
void warn_of_capacity(event_loop& loop, const arguments& args, const decide::configuration& rules)
{
    const auto at = http::parse_address(args.at("--daemon").asString());
    const auto first = ok(at) ? fetch_status(loop, value(at)) : failure(at);
    if (!ok(first)) {
        report(failure(first), unreachable);
        return;
    }
    for (const std::string& line : operators::capacity_warnings(rules, ask_all(loop, value(first)).daemons_))
        std::cerr << "warning: " << line << "\n";
}

void print_race_lost(const operators::published& winner, const decide::configuration& ours)
{
    std::cout << "not applied: " << winner.record_.author_ << " applied configuration "
              << winner.record_.number_.value() << " first; what differs from yours:\n";
    print_changes(operators::difference(winner.record_.text_, ours.text_));
}

} // namespace

int check(const arguments& args)
{
    const auto rules = load_rules(args, args.at("FILE").asString());
    if (!rules)
        return refused;
    if (args.at("--daemon")) {
        event_loop loop;
        warn_of_capacity(loop, args, *rules);
    }
    if (as_json(args))
        std::cout << json{{"valid", true}}.dump() << "\n";
    else
        std::cout << "valid: " << rules->services_.size() << " services, " << rules->routes_.size()
                  << " routes, " << rules->moves_.size() << " moves, " << rules->outs_.size()
                  << " data centres out\n";
    return done;
}

int diff(const arguments& args)
{
    const auto named = rules_and_platform(args);
    if (const int* status = std::get_if<int>(&named))
        return *status;
    const decide::configuration& rules = std::get<rules_for_platform>(named).rules_;
    const http::address& at = std::get<rules_for_platform>(named).platform_;
    const auto now = platform_session(at).read();
    if (!ok(now))
        return report(failure(now), unreachable);
    const auto changes = operators::difference(value(now).record_.text_, rules.text_);
    if (!as_json(args)) {
        print_changes(changes);
        return done;
    }
    json lines = json::array();
    for (const operators::changed_line& c : changes)
        lines.push_back({{"sign", std::string(1, c.sign_)}, {"text", c.text_}});
    std::cout << json{{"configuration", value(now).record_.number_.value()}, {"changes", lines}}.dump()
              << "\n";
    return done;
}

int apply(const arguments& args)
{
    const auto named = rules_and_platform(args);
    if (const int* status = std::get_if<int>(&named))
        return *status;
    const decide::configuration& rules = std::get<rules_for_platform>(named).rules_;
    const http::address& at = std::get<rules_for_platform>(named).platform_;
    platform_session session(at);
    const auto base = session.read_to_replace();
    if (!ok(base))
        return report(failure(base), unreachable);
    // What a malformed object was, only the daemons know: the number must be above theirs.
    if (value(base).malformed_ && !args.at("--daemon"))
        return report({code::platform_malformed, "the configuration"}, refused);
    configuration_number above;
    if (args.at("--daemon")) {
        const auto highest = highest_in_force(session.loop_, args);
        if (!ok(highest))
            return report(failure(highest), unreachable);
        above = value(highest);
        warn_of_capacity(session.loop_, args, rules);
    }
    if (args.at("--base") &&
        static_cast<std::uint64_t>(args.at("--base").asLong()) != value(base).record_.number_.value()) {
        print_race_lost(value(base), rules);
        return conflict;
    }
    const auto outcome = wait_for<operators::publish_outcome>(session.loop_, [&](auto h) {
        session.publisher_.publish(value(base), above, author_of(args), rules.text_, runtime_clock().wall(),
                                   h);
    });
    if (!ok(outcome))
        return report(failure(outcome), unreachable);
    const operators::publish_outcome& o = value(outcome);
    if (as_json(args)) {
        std::cout << json{{"accepted", o.written_},
                          {"configuration", o.now_.record_.number_.value()},
                          {"author", o.now_.record_.author_}}
                         .dump()
                  << "\n";
        return o.written_ ? done : conflict;
    }
    if (o.written_) {
        std::cout << "accepted as configuration " << o.now_.record_.number_.value() << "\n";
        return done;
    }
    print_race_lost(*o.winner_, rules);
    return conflict;
}

} // namespace guavahaven::commands
