#include "main/operator/command.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "operator/rules.h"

namespace guavahaven::commands {

namespace {

using nlohmann::json;

result<std::string> read_file(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return error{code::rules_unreadable, path};
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
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

} // namespace

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

result<http::address> platform_of(const arguments& args)
{
    return http::parse_address(args.at("--platform").asString());
}

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

} // namespace guavahaven::commands
