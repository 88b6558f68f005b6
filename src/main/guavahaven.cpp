// guavahaven: the operators' command line.

#include <docopt/docopt.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "operator/capacity.h"
#include "operator/explain.h"
#include "operator/mesh_report.h"
#include "operator/publisher.h"
#include "operator/report.h"
#include "operator/rules.h"
#include "operator/status.h"
#include "operator/text_diff.h"
#include "operator/trace.h"

namespace {

using namespace guavahaven;
using nlohmann::json;
using arguments = std::map<std::string, docopt::value>;

constexpr const char* usage =
    R"(guavahaven: what every proxy of the mesh is to do, as written in one rules file.

Usage:
  guavahaven check FILE [--daemon=ADDRESS] [--json]
  guavahaven diff FILE --platform=ADDRESS [--json]
  guavahaven apply FILE --platform=ADDRESS [--daemon=ADDRESS] [--base=N] [--author=NAME] [--json]
  guavahaven status --daemon=ADDRESS [--watch] [--json]
  guavahaven report FILE --daemon=ADDRESS
  guavahaven explain METHOD PATH (--file=FILE | --platform=ADDRESS) [--header=NAME:VALUE]
  guavahaven history --platform=ADDRESS [--count=N] [--json]
  guavahaven trace ID LOG...
  guavahaven (-h | --help)
  guavahaven --version

Commands:
  check    Says whether a rules file can be applied; changes nothing.
  diff     Shows what a rules file would change.
  apply    Puts a rules file in force on every daemon.
  status   Tells which daemons have the configuration, and how moves stand.
  report   Writes a page with plots of moves and of the service of each class.
  explain  Tells which rules decide for a request, and who asked for them.
  history  Lists the last configurations: number, time, author.
  trace    Joins what the logs of several daemons say of one request.

Options:
  --platform=ADDRESS   IP:PORT of the platform's object API.
  --daemon=ADDRESS     IP:PORT of the operator port of any daemon. With apply, the
                       rules get a number above the highest in force, also when
                       the platform was restored to an older state. With check and
                       apply, warns of services that the data centres that remain
                       can't carry.
  --base=N             Number of the configuration that the file was made from; it
                       is refused if another one is current by now.
  --author=NAME        Who applies it; the login name by default.
  --header=NAME:VALUE  A header of the request to explain.
  --count=N            How many configurations to list [default: 10].
  --watch              Repeat every second until interrupted.
  --json               Print JSON for scripts.
  -h --help            Show this text.
  --version            Show the version.

Exit status: 0 done, 1 wrong usage, 2 the input was refused, 3 the platform or
a daemon can't be reached, 4 another operator's change came first, 5 the mesh
is not yet as the file says.
)";

enum exit_status { done = 0, wrong_usage = 1, refused = 2, unreachable = 3, conflict = 4, not_converged = 5 };

constexpr duration call_timeout = std::chrono::seconds(2);

int report(const error& e, int status)
{
    std::cerr << to_string(e);
    if (!remedy(e.code_).empty())
        std::cerr << " (" << remedy(e.code_) << ")";
    std::cerr << "\n";
    return status;
}

bool as_json(const arguments& args)
{
    return args.at("--json").asBool();
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return error{code::rules_unreadable, path};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// Runs an asynchronous operation to its end.
template <class T>
result<T> wait_for(event_loop& loop, const std::function<void(std::function<void(result<T>)>)>& operation)
{
    result<T> outcome = error{};
    operation([&](result<T> r) {
        outcome = std::move(r);
        loop.stop();
    });
    loop.run();
    return outcome;
}

// A connection to the platform for the length of one command.
struct platform_session {
    event_loop loop_;
    object_store::store store_;
    operators::publisher publisher_;

    explicit platform_session(const http::address& at) : store_(loop_, at), publisher_(store_) {}

    // platform_malformed if the platform's object holds no configuration.
    result<operators::published> read()
    {
        auto found = read_to_replace();
        if (ok(found) && value(found).malformed_)
            return error{code::platform_malformed, "the configuration"};
        return found;
    }

    // The same, but a malformed object is no error, as it is to be written over.
    result<operators::published> read_to_replace()
    {
        return wait_for<operators::published>(loop_, [&](auto h) { publisher_.read(h); });
    }
};

result<http::address> platform_of(const arguments& args)
{
    return http::parse_address(args.at("--platform").asString());
}

void print_faults(const std::string& path, const std::vector<operators::rules_fault>& faults, bool in_json)
{
    if (!in_json) {
        for (const operators::rules_fault& f : faults)
            std::cerr << operators::to_string(path, f) << "\n";
        return;
    }
    json all = json::array();
    for (const operators::rules_fault& f : faults)
        all.push_back({{"line", f.line_},
                       {"column", f.column_},
                       {"code", number(f.error_.code_)},
                       {"name", name(f.error_.code_)},
                       {"detail", f.error_.detail_},
                       {"remedy", remedy(f.error_.code_)}});
    std::cout << json{{"valid", false}, {"faults", all}}.dump() << "\n";
}

// The checked text of a rules file; faults are printed.
std::optional<decide::configuration> load_rules(const arguments& args, const std::string& path)
{
    const result<std::string> text = read_file(path);
    if (!ok(text)) {
        report(failure(text), refused);
        return {};
    }
    operators::parsed_rules parsed = operators::parse_rules(value(text));
    if (const auto* faults = std::get_if<std::vector<operators::rules_fault>>(&parsed)) {
        print_faults(path, *faults, as_json(args));
        return {};
    }
    return std::get<decide::configuration>(std::move(parsed));
}

void print_changes(const std::vector<operators::changed_line>& changes)
{
    for (const operators::changed_line& c : changes)
        std::cout << c.sign_ << " " << c.text_ << "\n";
}

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

std::string author_of(const arguments& args)
{
    if (const docopt::value& named = args.at("--author"))
        return named.asString();
    const char* login = getlogin();
    return login ? login : "unknown";
}

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

// What every daemon says of itself; the daemons that could not be asked are missing.
struct mesh_status {
    operators::daemon_status asked_;
    std::vector<operators::daemon_status> daemons_;
    std::vector<std::string> silent_; // names
    std::uint64_t newest_ = 0;        // highest configuration seen
};

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

void print_race_lost(const operators::published& winner, const decide::configuration& ours)
{
    std::cout << "not applied: " << winner.record_.author_ << " applied configuration "
              << winner.record_.number_.value() << " first; what differs from yours:\n";
    print_changes(operators::difference(winner.record_.text_, ours.text_));
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

int explain(const arguments& args)
{
    http::request request{args.at("METHOD").asString(), args.at("PATH").asString(), {}, ""};
    if (const docopt::value& given = args.at("--header")) {
        const std::string pair = given.asString();
        const std::size_t colon = std::min(pair.find(':'), pair.size());
        request.headers_.push_back({pair.substr(0, colon), pair.substr(std::min(colon + 1, pair.size()))});
    }
    std::optional<decide::configuration> rules;
    if (args.at("--file")) {
        rules = load_rules(args, args.at("--file").asString());
        if (!rules)
            return refused;
    }
    else {
        const auto at = platform_of(args);
        if (!ok(at))
            return report(failure(at), wrong_usage);
        const auto now = platform_session(value(at)).read();
        if (!ok(now))
            return report(failure(now), unreachable);
        const auto parsed = operators::parse_record(value(now).record_);
        if (!ok(parsed))
            return report(failure(parsed), refused);
        rules = value(parsed);
    }
    const auto text = operators::explain(*rules, request);
    if (!ok(text))
        return report(failure(text), refused);
    std::cout << value(text);
    return done;
}

int history(const arguments& args)
{
    long left = args.at("--count").asLong();
    const auto at = platform_of(args);
    if (!ok(at))
        return report(failure(at), wrong_usage);
    platform_session session(value(at));
    const auto now = session.read();
    if (!ok(now))
        return report(failure(now), unreachable);
    json all = json::array();
    for (std::uint64_t n = value(now).record_.number_.value(); n > 0 && left > 0; --n, --left) {
        const auto past = wait_for<decide::configuration_record>(
            session.loop_, [&](auto h) { session.publisher_.read_past(configuration_number(n), h); });
        if (!ok(past))
            continue; // the writer ended before it could keep this one
        const decide::configuration_record& r = value(past);
        all.push_back(
            {{"configuration", n}, {"written_at", operators::utc(r.written_at_)}, {"author", r.author_}});
    }
    if (as_json(args)) {
        std::cout << all.dump() << "\n";
        return done;
    }
    for (const json& line : all)
        std::cout << line["configuration"] << "  " << line["written_at"].get<std::string>() << "  "
                  << line["author"].get<std::string>() << "\n";
    return done;
}

int trace(const arguments& args)
{
    std::vector<operators::log_line> lines;
    for (const std::string& path : args.at("LOG").asStringList()) {
        std::ifstream in(path);
        if (!in)
            return report({code::log_unreadable, path}, refused);
        for (std::string line; std::getline(in, line);)
            lines.push_back({path, line});
    }
    const std::vector<operators::log_line> story = operators::trace(args.at("ID").asString(), lines);
    if (story.empty())
        return report({code::request_not_logged, args.at("ID").asString()}, refused);
    const bool several = args.at("LOG").asStringList().size() > 1;
    for (const operators::log_line& l : story)
        std::cout << (several ? l.source_ + ": " : "") << l.text_ << "\n";
    return done;
}

int dispatch(const arguments& args)
{
    struct command {
        const char* name_;
        int (*run_)(const arguments&);
    };
    constexpr command commands[] = {{"check", check},     {"diff", diff},           {"apply", apply},
                                    {"status", status},   {"report", write_report}, {"explain", explain},
                                    {"history", history}, {"trace", trace}};
    for (const command& c : commands)
        if (args.at(c.name_).asBool())
            return c.run_(args);
    return wrong_usage;
}

} // namespace

int main(int argc, char** argv)
{
    arguments args;
    try {
        args = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return done;
    }
    catch (const docopt::DocoptExitVersion&) {
        std::cout << "guavahaven " GUAVAHAVEN_VERSION "\n";
        return done;
    }
    catch (const docopt::DocoptArgumentError& e) {
        std::cerr << e.what() << "\n" << usage;
        return wrong_usage;
    }
    try {
        return dispatch(args);
    }
    catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return wrong_usage;
    }
}
