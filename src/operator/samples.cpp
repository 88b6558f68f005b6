#include "operator/samples.h"

#include <map>
#include <nlohmann/json.hpp>

namespace guavahaven::operators {

using nlohmann::json;

namespace {

constexpr std::size_t samples_most = 360; // half an hour

move_sample sample_of(const decide::move_rule& rule, const decide::view& known,
                      const decide::move_tracker& moves)
{
    move_sample s;
    s.service_ = rule.service_.str();
    s.version_ = rule.version_.str();
    const decide::move_fact* fact = known.find_move(rule.id());
    s.share_ = fact ? decide::share_of(rule, *fact) : 0;
    for (const decide::version_stats& e : moves.known_version_stats()) {
        if (e.move_ != rule.id())
            continue;
        const bool is_new = e.version_ == rule.version_;
        for (const decide::route_counts& r : e.routes_) {
            (is_new ? s.new_ran_ : s.old_ran_) += r.ran_;
            (is_new ? s.new_failed_ : s.old_failed_) += r.failed_;
        }
    }
    return s;
}

// The value of a label, as in 'class="lookup",result="ok"'.
std::string label(const std::string& labels, const std::string& name)
{
    const std::string start = name + "=\"";
    const std::size_t from = labels.find(start);
    if (from == std::string::npos)
        return {};
    const std::size_t value = from + start.size();
    return labels.substr(value, labels.find('"', value) - value);
}

std::vector<class_sample> classes_of(const metrics& counts)
{
    std::map<std::string, class_sample> by_class;
    for (const auto& [labels, count] : counts.counters("guavahaven_requests_total")) {
        class_sample& c = by_class[label(labels, "class")];
        c.class_ = label(labels, "class");
        (label(labels, "result") == "ok" ? c.served_ : c.not_served_) += count;
    }
    std::vector<class_sample> all;
    for (const auto& [name, c] : by_class)
        all.push_back(c);
    return all;
}

} // namespace

void sample_ring::tick(const decide::control& control, const metrics& counts, wall_time now)
{
    const auto seconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count());
    const std::uint64_t due = seconds - seconds % sample_interval_s;
    if (!samples_.empty() && samples_.back().at_ >= due)
        return;
    sample s;
    s.at_ = due;
    s.classes_ = classes_of(counts);
    const decide::view_ptr known = control.current();
    if (known->configuration_)
        for (const decide::move_rule& rule : known->configuration_->moves_)
            s.moves_.push_back(sample_of(rule, *known, control.moves()));
    samples_.push_back(std::move(s));
    if (samples_.size() > samples_most)
        samples_.pop_front();
}

std::string to_json(const std::deque<sample>& samples)
{
    json all = json::array();
    for (const sample& s : samples) {
        json classes = json::array();
        for (const class_sample& c : s.classes_)
            classes.push_back({c.class_, c.served_, c.not_served_});
        json moves = json::array();
        for (const move_sample& m : s.moves_)
            moves.push_back(
                {m.service_, m.version_, m.share_, m.new_ran_, m.new_failed_, m.old_ran_, m.old_failed_});
        all.push_back({{"at", s.at_}, {"classes", classes}, {"moves", moves}});
    }
    return all.dump() + "\n";
}

result<std::vector<sample>> parse_samples(const std::string& text)
{
    try {
        std::vector<sample> all;
        for (const json& j : json::parse(text)) {
            sample s;
            s.at_ = j.at("at");
            for (const json& c : j.at("classes"))
                s.classes_.push_back({c.at(0), c.at(1), c.at(2)});
            for (const json& m : j.at("moves"))
                s.moves_.push_back({m.at(0), m.at(1), m.at(2), m.at(3), m.at(4), m.at(5), m.at(6)});
            all.push_back(std::move(s));
        }
        return all;
    }
    catch (const json::exception& e) {
        return error{code::frame_malformed, e.what()};
    }
}

} // namespace guavahaven::operators
