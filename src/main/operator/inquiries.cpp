// Commands on one request, and on the past: explain, history, trace.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "main/operator/commands.h"
#include "operator/explain.h"
#include "operator/mesh_report.h"
#include "operator/rules.h"
#include "operator/trace.h"

namespace guavahaven::commands {

using nlohmann::json;

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

} // namespace guavahaven::commands
