#include "operator/status.h"

#include <nlohmann/json.hpp>

namespace guavahaven::operators {

using nlohmann::json;

namespace {

json to_object(const move_report& m)
{
    return {{"service", m.service_}, {"version", m.version_},   {"state", m.state_}, {"share", m.share_},
            {"reason", m.reason_},   {"asked_by", m.asked_by_}, {"since", m.since_}};
}

json to_object(const member_report& m)
{
    return {{"name", m.name_},   {"operator", m.operator_address_}, {"data_center", m.data_center_},
            {"state", m.state_}, {"service", m.service_},           {"version", m.version_}};
}

json to_object(const out_report& o)
{
    return {{"data_center", o.data_center_}, {"asked_by", o.asked_by_}};
}

template <class T>
json to_array(const std::vector<T>& items)
{
    json all = json::array();
    for (const T& item : items)
        all.push_back(to_object(item));
    return all;
}

move_report to_move(const json& j)
{
    return {j.at("service"), j.at("version"),  j.at("state"), j.at("share"),
            j.at("reason"),  j.at("asked_by"), j.at("since")};
}

member_report to_member(const json& j)
{
    return {j.at("name"),  j.at("operator"), j.at("data_center"),
            j.at("state"), j.at("service"),  j.at("version")};
}

move_report report_of(const decide::move_rule& rule, const decide::move_fact& fact)
{
    move_report m;
    m.service_ = rule.service_.str();
    m.version_ = rule.version_.str();
    m.state_ = fact.withdrawn_ ? "taken back" : fact.done_ ? "done" : "underway";
    m.share_ = decide::share_of(rule, fact);
    m.reason_ = fact.reason_;
    m.asked_by_ = rule.origin_.asked_by_;
    m.since_ = fact.since_;
    return m;
}

} // namespace

daemon_status make_status(const decide::control& control, const decide::gate& gate,
                          const std::vector<std::string>& problems)
{
    daemon_status s;
    s.name_ = control.self().name_.str();
    s.data_center_ = control.self().data_center_.str();
    s.serving_ = gate.serving();
    s.problems_ = problems;
    const decide::view_ptr view = control.current();
    for (const decide::member& m : view->members_)
        s.members_.push_back({m.name_.str(), http::to_string(m.operator_), m.data_center_.str(),
                              std::string(decide::name(m.state_)), m.service_.str(), m.version_.str()});
    if (!view->configuration_)
        return s;
    s.configuration_ = view->configuration_->number_.value();
    s.configuration_author_ = control.record()->author_;
    for (const decide::move_rule& rule : view->configuration_->moves_) {
        const decide::move_fact* fact = view->find_move(rule.id());
        s.moves_.push_back(report_of(rule, fact ? *fact : decide::move_fact{}));
    }
    for (const decide::out_rule& rule : view->configuration_->outs_)
        s.outs_.push_back({rule.data_center_.str(), rule.origin_.asked_by_});
    return s;
}

std::string to_json(const daemon_status& s)
{
    const json j{{"name", s.name_},
                 {"data_center", s.data_center_},
                 {"configuration", s.configuration_},
                 {"configuration_author", s.configuration_author_},
                 {"serving", s.serving_},
                 {"members", to_array(s.members_)},
                 {"moves", to_array(s.moves_)},
                 {"out", to_array(s.outs_)},
                 {"problems", s.problems_}};
    return j.dump() + "\n";
}

result<daemon_status> parse_status(const std::string& text)
{
    try {
        const json j = json::parse(text);
        daemon_status s;
        s.name_ = j.at("name");
        s.data_center_ = j.at("data_center");
        s.configuration_ = j.at("configuration");
        s.configuration_author_ = j.at("configuration_author");
        s.serving_ = j.at("serving");
        for (const json& m : j.at("members"))
            s.members_.push_back(to_member(m));
        for (const json& m : j.at("moves"))
            s.moves_.push_back(to_move(m));
        for (const json& o : j.at("out"))
            s.outs_.push_back({o.at("data_center"), o.at("asked_by")});
        s.problems_ = j.at("problems").get<std::vector<std::string>>();
        return s;
    }
    catch (const json::exception& e) {
        return error{code::frame_malformed, e.what()};
    }
}

} // namespace guavahaven::operators
