#include "operator/rules.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#include "base/guards.h"
#include "decide/routing.h"
#include "operator/rule_line.h"

namespace guavahaven::operators {

namespace {

using namespace decide;
using namespace detail;

class_rule read_class(line_reader& in)
{
    class_rule r;
    r.name_ = class_name(in.name("a class name"));
    in.expect("deadline");
    r.deadline_ = in.wait("the deadline");
    while (!in.done()) {
        if (in.accept("shed")) {
            if (in.accept("first"))
                r.shed_ = shed_order::first;
            else if (in.accept("last"))
                r.shed_ = shed_order::last;
            else
                in.fail(code::rules_syntax, "expected 'first' or 'last'");
        }
        else if (in.accept("once"))
            r.once_ = true;
        else if (in.accept("repeat"))
            r.repeat_ = true;
        else if (in.accept("keep"))
            r.keep_ = true;
        else if (in.accept("weight"))
            r.weight_ = static_cast<std::uint32_t>(in.count("the weight", 1, 1000));
        else if (in.accept("objective"))
            r.objective_ = in.wait("the objective");
        else if (in.accept("priority"))
            r.priority_ = static_cast<std::uint32_t>(in.count("the priority", 0, 1000));
        else if (in.accept("attempts"))
            r.attempts_ = static_cast<std::uint32_t>(in.count("the attempts", 1, 10));
        else
            in.fail(code::rules_syntax,
                    "expected 'shed first', 'shed last', 'once', 'repeat', 'keep', 'weight N', "
                    "'objective TIME', 'priority N' or 'attempts N'");
    }
    return r;
}

service_rule read_service(line_reader& in)
{
    service_rule r;
    r.name_ = service_name(in.name("a service name"));
    in.expect("version");
    r.version_ = version_name(in.accept("*") ? std::string(any_version) : in.name("a version"));
    if (in.accept("cold")) {
        cold_rule cold;
        cold.per_second_ = static_cast<std::uint32_t>(in.count("the requests per second", 1, 1'000'000));
        in.expect("per");
        in.expect("second");
        in.expect("for");
        cold.length_ = in.wait("the cold time");
        r.cold_ = cold;
    }
    return r;
}

route_rule read_route(line_reader& in)
{
    route_rule r;
    r.method_ = in.next("a method or *");
    static const std::set<std::string> methods{"GET",    "HEAD",  "POST",    "PUT",
                                               "DELETE", "PATCH", "OPTIONS", "*"};
    if (!methods.contains(r.method_))
        in.reject("unknown method '" + r.method_ + "'");
    r.path_ = in.next("a path");
    if (r.path_.empty() || r.path_.front() != '/')
        in.reject("a path starts with '/'");
    if (r.path_.ends_with("/*")) {
        r.prefix_ = true;
        r.path_.pop_back();
    }
    if (in.accept("host"))
        r.host_ = in.next("a host");
    if (in.accept("header")) {
        const std::string pair = in.next("NAME=VALUE");
        const std::size_t equals = pair.find('=');
        if (equals == std::string::npos || equals == 0)
            in.reject("expected NAME=VALUE");
        else
            r.header_ = header_match{pair.substr(0, equals), pair.substr(equals + 1)};
    }
    in.expect("to");
    do {
        weighted_service part;
        part.service_ = service_name(in.name("a service name"));
        if (in.accept("weight"))
            part.weight_ = static_cast<std::uint32_t>(in.count("the weight", 0, 1'000'000));
        r.services_.push_back(part);
    } while (in.accept("and"));
    if (std::none_of(r.services_.begin(), r.services_.end(),
                     [](const weighted_service& part) { return part.weight_ > 0; }))
        in.reject("one weight at least must be above 0");
    in.expect("as");
    r.class_ = class_name(in.name("a class name"));
    return r;
}

split_rule read_split(line_reader& in)
{
    split_rule r;
    r.service_ = service_name(in.name("a service name"));
    double sum = 0;
    do {
        version_share part;
        part.version_ = version_name(in.name("a version"));
        part.share_ = in.share("the share");
        sum += part.share_;
        r.shares_.push_back(part);
    } while (!in.done());
    constexpr double tolerance = 1e-6;
    if (std::abs(sum - 1) > tolerance)
        in.reject("the shares must add up to 100%");
    return r;
}

limit_rule read_limit(line_reader& in)
{
    limit_rule r;
    r.service_ = service_name(in.name("a service name"));
    if (in.accept("class"))
        r.class_ = class_name(in.name("a class name"));
    r.count_ = in.count("the limit", 0, 1'000'000'000);
    if (in.accept("per")) {
        in.expect("second");
        r.unit_ = limit_unit::per_second;
        return r;
    }
    in.expect("at");
    in.expect("once");
    r.unit_ = limit_unit::concurrent;
    return r;
}

retry_rule read_retry(line_reader& in)
{
    retry_rule r;
    r.service_ = service_name(in.name("a service name"));
    in.expect("budget");
    r.budget_ = in.share("the budget");
    if (in.accept("reserve"))
        r.reserve_ = static_cast<std::uint32_t>(in.count("the reserve", 1, 1'000'000));
    if (in.accept("attempts"))
        r.attempts_ = static_cast<std::uint32_t>(in.count("the attempts", 1, 10));
    return r;
}

move_rule read_move(line_reader& in)
{
    move_rule r;
    r.service_ = service_name(in.name("a service name"));
    in.expect("to");
    r.version_ = version_name(in.name("a version"));
    in.expect("by");
    r.deadline_ = in.moment("the deadline");
    if (in.accept("from"))
        r.start_share_ = in.share("the first share");
    if (in.accept("at")) {
        in.expect("most");
        r.exposure_share_ = in.share("the largest share");
        if (in.accept("plus"))
            r.exposure_reserve_ = static_cast<std::uint32_t>(in.count("the calls beyond it", 1, 1'000'000));
    }
    if (in.accept("as"))
        r.order_ = in.name("a name of the move");
    return r;
}

out_rule read_out(line_reader& in)
{
    out_rule r;
    r.data_center_ = data_center_name(in.name("a data centre"));
    return r;
}

callers_rule read_callers(line_reader& in)
{
    constexpr std::uint64_t bytes_most = 1ULL << 30;
    callers_rule r;
    in.expect("head");
    r.max_head_bytes_ = in.count("the bytes of a request's head", 1, bytes_most);
    in.expect("body");
    r.max_body_bytes_ = in.count("the bytes of a request's body", 0, bytes_most);
    in.expect("arrival");
    r.arrival_ = in.wait("the time to arrive");
    in.expect("idle");
    r.idle_ = in.wait("the idle time");
    return r;
}

class rules_reader {
public:
    parsed_rules read(const std::string& text)
    {
        if (text.size() > rules_most) {
            fault({0, 0, {code::rules_too_large, "more than " + std::to_string(rules_most) + " bytes"}});
            return faults_;
        }
        std::istringstream lines(text);
        std::string line;
        for (int number = 1; std::getline(lines, line); ++number)
            read_line(number, line);
        check_names();
        check_repeats();
        check_routes();
        if (!faults_.empty() && guard_enabled(guard::whole_configuration)) {
            std::stable_sort(faults_.begin(), faults_.end(),
                             [](const rules_fault& a, const rules_fault& b) { return a.line_ < b.line_; });
            return faults_;
        }
        rules_.text_ = text;
        rules_.hash_ = hash_of(text);
        return rules_;
    }

private:
    void fault(rules_fault f) { faults_.push_back(std::move(f)); }

    void read_line(int number, const std::string& line)
    {
        const std::size_t mark = line.find('#');
        const std::vector<word> words = split_words(line.substr(0, mark));
        if (words.empty())
            return; // blank, or a comment of its own
        const std::string comment = mark == std::string::npos ? "" : trimmed(line.substr(mark + 1));
        if (comment.empty())
            fault({number,
                   static_cast<int>(std::min(line.size(), mark)) + 1,
                   {code::rules_missing_comment, "who asked for this rule?"}});
        const origin from{number, comment};
        line_reader in(words);
        const std::string kind = in.next("a rule");
        read_rule(kind, in, from);
        if (!in.done())
            in.fail(code::rules_syntax, "the rule should end here");
        if (const auto& f = in.failed())
            fault({number, f->column_, f->error_});
    }

    // True if other lines may mean this one by its name, so that a fault in it
    // must not fault them too.
    static bool named(const class_rule& r) { return !r.name_.empty(); }
    static bool named(const service_rule& r) { return !r.name_.empty(); }
    static bool named(const auto&) { return false; }

    // A faulty line gets no further faults by what it names.
    template <class Rule>
    static void keep(std::vector<Rule>& rules, Rule rule, const line_reader& in, const origin& from)
    {
        if (in.failed() && !named(rule))
            return;
        rule.origin_ = from;
        rules.push_back(std::move(rule));
    }

    void read_rule(const std::string& kind, line_reader& in, const origin& from)
    {
        if (kind == "class")
            keep(rules_.classes_, read_class(in), in, from);
        else if (kind == "service")
            keep(rules_.services_, read_service(in), in, from);
        else if (kind == "route")
            keep(rules_.routes_, read_route(in), in, from);
        else if (kind == "split")
            keep(rules_.splits_, read_split(in), in, from);
        else if (kind == "limit")
            keep(rules_.limits_, read_limit(in), in, from);
        else if (kind == "retry")
            keep(rules_.retries_, read_retry(in), in, from);
        else if (kind == "move")
            keep(rules_.moves_, read_move(in), in, from);
        else if (kind == "out")
            keep(rules_.outs_, read_out(in), in, from);
        else if (kind == "callers")
            keep_callers(read_callers(in), in, from);
        else
            in.reject("unknown rule '" + kind +
                      "'; known are class, service, route, split, limit, retry, move, out, callers");
    }

    void keep_callers(callers_rule rule, const line_reader& in, const origin& from)
    {
        if (in.failed())
            return;
        if (rules_.callers_)
            fault({from.line_, 0, {code::rules_duplicate, "a second callers line"}});
        rule.origin_ = from;
        rules_.callers_ = rule;
    }

    void need_service(const service_name& name, const origin& from)
    {
        if (!rules_.find_service(name) && guard_enabled(guard::known_names))
            fault({from.line_, 0, {code::rules_unknown_service, "'" + name.str() + "'"}});
    }

    void check_names()
    {
        for (const route_rule& r : rules_.routes_) {
            for (const weighted_service& part : r.services_)
                need_service(part.service_, r.origin_);
            if (!rules_.find_class(r.class_))
                fault({r.origin_.line_, 0, {code::rules_unknown_class, "'" + r.class_.str() + "'"}});
        }
        for (const split_rule& r : rules_.splits_)
            need_service(r.service_, r.origin_);
        for (const limit_rule& r : rules_.limits_) {
            need_service(r.service_, r.origin_);
            if (r.class_ && !rules_.find_class(*r.class_))
                fault({r.origin_.line_, 0, {code::rules_unknown_class, "'" + r.class_->str() + "'"}});
        }
        for (const retry_rule& r : rules_.retries_)
            need_service(r.service_, r.origin_);
        for (const move_rule& r : rules_.moves_)
            need_service(r.service_, r.origin_);
    }

    template <class Rules, class Key>
    void check_repeats(const Rules& rules, const char* kind, Key key)
    {
        std::set<std::string> seen;
        for (const auto& r : rules)
            if (!seen.insert(key(r)).second)
                fault({r.origin_.line_,
                       0,
                       {code::rules_duplicate,
                        std::string("a second ") + kind + " line for '" + key(r) + "'"}});
    }

    void check_repeats()
    {
        check_repeats(rules_.classes_, "class", [](const class_rule& r) { return r.name_.str(); });
        check_repeats(rules_.services_, "service", [](const service_rule& r) { return r.name_.str(); });
        check_repeats(rules_.splits_, "split", [](const split_rule& r) { return r.service_.str(); });
        check_repeats(rules_.retries_, "retry", [](const retry_rule& r) { return r.service_.str(); });
        check_repeats(rules_.moves_, "move", [](const move_rule& r) { return r.service_.str(); });
        check_repeats(rules_.outs_, "out", [](const out_rule& r) { return r.data_center_.str(); });
        check_repeats(rules_.limits_, "limit", [](const limit_rule& r) {
            return r.service_.str() + (r.class_ ? " class " + r.class_->str() : "") +
                   (r.unit_ == limit_unit::per_second ? " per second" : " at once");
        });
    }

    // Two routes that can match one request must differ in how specific they are.
    void check_routes()
    {
        // Paths of different length never tie, so only routes of one path matter to each other.
        std::map<std::tuple<std::string_view, std::string_view, bool>, std::vector<const route_rule*>>
            by_path;
        for (const route_rule& a : rules_.routes_) {
            std::vector<const route_rule*>& same = by_path[{a.host_, a.path_, a.prefix_}];
            for (const route_rule* b : same)
                if (can_overlap(a, *b) && !more_specific(a, *b) && !more_specific(*b, a))
                    fault({a.origin_.line_,
                           0,
                           {code::rules_ambiguous_route,
                            "as specific as line " + std::to_string(b->origin_.line_)}});
            same.push_back(&a);
        }
    }

    static bool can_overlap(const route_rule& a, const route_rule& b)
    {
        const bool methods = a.method_ == b.method_ || a.method_ == "*" || b.method_ == "*";
        const bool headers = !a.header_ || !b.header_ || a.header_->name_ != b.header_->name_ ||
                             a.header_->value_ == b.header_->value_;
        return methods && headers;
    }

    configuration rules_;
    std::vector<rules_fault> faults_;
};

} // namespace

std::string to_string(const std::string& file, const rules_fault& fault)
{
    std::string place = file;
    if (fault.line_ > 0)
        place += ":" + std::to_string(fault.line_);
    if (fault.column_ > 0)
        place += ":" + std::to_string(fault.column_);
    return place + ": " + guavahaven::to_string(fault.error_) + " (" +
           std::string(remedy(fault.error_.code_)) + ")";
}

parsed_rules parse_rules(const std::string& text)
{
    return rules_reader().read(text);
}

result<decide::configuration> parse_record(const decide::configuration_record& record)
{
    parsed_rules parsed = parse_rules(record.text_);
    if (const auto* faults = std::get_if<std::vector<rules_fault>>(&parsed))
        return error{faults->front().error_.code_,
                     to_string("configuration " + std::to_string(record.number_.value()), faults->front())};
    decide::configuration c = std::get<decide::configuration>(std::move(parsed));
    c.number_ = record.number_;
    c.written_at_ = record.written_at_;
    return c;
}

} // namespace guavahaven::operators
