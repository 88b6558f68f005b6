#include "operator/status.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace guavahaven::operators {

using nlohmann::json;

namespace {

json to_object(const move_report& m)
{
    return {{"service", m.service_}, {"version", m.version_},  {"state", m.state_},
            {"share", m.share_},     {"reason", m.reason_},    {"asked_by", m.asked_by_},
            {"since", m.since_},     {"deadline", m.deadline_}};
}

json to_object(const own_backend_report& o)
{
    return {{"service", o.service_}, {"version", o.version_},     {"slots", o.slots_},
            {"limit", o.limit_},     {"in_flight", o.in_flight_}, {"last_run", o.last_run_}};
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
            j.at("reason"),  j.at("asked_by"), j.at("since"), j.at("deadline")};
}

own_backend_report to_own(const json& j)
{
    return {j.at("service"), j.at("version"),   j.at("slots"),
            j.at("limit"),   j.at("in_flight"), j.at("last_run")};
}

member_report to_member(const json& j)
{
    return {j.at("name"),  j.at("operator"), j.at("data_center"),
            j.at("state"), j.at("service"),  j.at("version")};
}

move_report report_of(const decide::move_rule& rule, const decide::move_fact* known,
                      const std::string& waiting_for, bool announced)
{
    const decide::move_fact fact = known ? *known : decide::move_fact{};
    move_report m;
    m.service_ = rule.service_.str();
    m.version_ = rule.version_.str();
    m.state_ = fact.withdrawn_ ? "taken back" : fact.done_ ? "done" : "underway";
    m.share_ = known ? decide::share_of(rule, fact) : 0;
    m.reason_ = fact.withdrawn_ ? fact.reason_ : fact.done_ ? "" : waiting_for;
    if (m.state_ == "underway" && !announced)
        m.reason_ = "no backend server has announced the version";
    m.asked_by_ = rule.origin_.asked_by_;
    m.since_ = fact.since_;
    m.deadline_ = static_cast<std::uint64_t>(rule.deadline_.time_since_epoch().count());
    return m;
}

} // namespace

daemon_status make_status(const decide::control& control, const decide::gate& gate, std::uint64_t last_run,
                          const std::vector<std::string>& problems)
{
    daemon_status s;
    s.name_ = control.self().name_.str();
    s.data_center_ = control.self().data_center_.str();
    s.serving_ = gate.serving();
    const decide::member& self = control.self();
    const decide::load_report load = gate.load();
    s.own_ = {self.service_.str(), self.version_.str(), self.slots_, load.limit_, load.in_flight_, last_run};
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
        const auto serves = [&](const decide::member& m) {
            return m.service_ == rule.service_ && m.version_ == rule.version_;
        };
        const bool announced = std::any_of(view->members_.begin(), view->members_.end(), serves);
        s.moves_.push_back(
            report_of(rule, view->find_move(rule.id()), control.moves().waiting_for(rule.id()), announced));
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
                 {"own", to_object(s.own_)},
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
        s.own_ = to_own(j.at("own"));
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
