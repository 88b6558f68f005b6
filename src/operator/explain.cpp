#include "operator/explain.h"

#include <sstream>

#include "decide/routing.h"

namespace guavahaven::operators {

namespace {

std::string from(const decide::origin& o)
{
    return "line " + std::to_string(o.line_) + "  # " + o.asked_by_;
}

std::string_view shed_name(decide::shed_order s)
{
    switch (s) {
    case decide::shed_order::first:
        return "first";
    case decide::shed_order::last:
        return "last";
    case decide::shed_order::normal:
        return "in between (default)";
    }
    return "";
}

std::string percent(double share)
{
    std::ostringstream out;
    out << share * 100 << "%";
    return out.str();
}

std::string services_of(const decide::route_rule& route)
{
    std::string text;
    for (const decide::weighted_service& part : route.services_) {
        text += (text.empty() ? "" : " and ") + part.service_.str();
        if (route.services_.size() > 1)
            text += " weight " + std::to_string(part.weight_);
    }
    return text;
}

// The lines that bear on a service, as far as a class of requests is concerned.
void explain_service(const decide::configuration& c, const service_name& name, const class_name& in_class,
                     std::ostream& out)
{
    const decide::service_rule& service = *c.find_service(name);
    out << "service  " << service.name_.str() << " version " << service.version_.str() << "  "
        << from(service.origin_) << "\n";
    if (const decide::split_rule* split = c.find_split(name)) {
        out << "split   ";
        for (const decide::version_share& s : split->shares_)
            out << " " << s.version_.str() << " " << percent(s.share_);
        out << "  " << from(split->origin_) << "\n";
    }
    if (const decide::move_rule* move = c.find_move(name))
        out << "move     to " << move->version_.str() << " from " << percent(move->start_share_) << "  "
            << from(move->origin_) << "\n";
    const decide::retry_rule retry = c.retry_of(name);
    out << "retry    budget " << percent(retry.budget_) << ", attempts " << retry.attempts_ << "  "
        << (retry.origin_.line_ == 0 ? "(default)" : from(retry.origin_)) << "\n";
    for (const decide::limit_rule& l : c.limits_)
        if (l.service_ == name && (!l.class_ || *l.class_ == in_class))
            out << "limit    " << l.count_
                << (l.unit_ == decide::limit_unit::per_second ? " per second" : " at once") << "  "
                << from(l.origin_) << "\n";
}

} // namespace

result<std::string> explain(const decide::configuration& c, const http::request& request)
{
    const decide::route_rule* route = decide::find_route(c, request);
    if (!route)
        return error{code::no_route, request.method_ + " " + request.target_};
    const decide::class_rule& in_class = *c.find_class(route->class_);
    std::ostringstream out;
    out << "route    " << route->method_ << " " << route->path_pattern()
        << (route->host_.empty() ? "" : " host " + route->host_) << " to " << services_of(*route) << " as "
        << route->class_.str() << "  " << from(route->origin_) << "\n";
    out << "class    " << in_class.name_.str() << "  " << from(in_class.origin_) << "\n";
    out << "         deadline "
        << std::chrono::duration_cast<std::chrono::milliseconds>(in_class.deadline_).count() << "ms, shed "
        << shed_name(in_class.shed_) << ", weight " << in_class.weight_ << (in_class.keep_ ? ", kept" : "")
        << "\n";
    const bool once = in_class.once_ || (!in_class.repeat_ && !decide::idempotent(request.method_));
    out << "         " << (once ? "runs at most once" : "may be sent again after a failure") << "\n";
    for (const decide::weighted_service& part : route->services_)
        explain_service(c, part.service_, route->class_, out);
    return out.str();
}

} // namespace guavahaven::operators
