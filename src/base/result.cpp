#include "base/result.h"

#include <algorithm>
#include <array>

namespace guavahaven {

namespace {

struct entry {
    code code_;
    std::string_view name_;
    std::string_view remedy_;
};

constexpr std::array table{
    entry{code::ok, "ok", ""},
    entry{code::settings_unreadable, "settings_unreadable",
          "check the path and permissions of the settings file"},
    entry{code::settings_unknown_key, "settings_unknown_key", "remove the key or correct its spelling"},
    entry{code::settings_bad_value, "settings_bad_value", "write a value of the kind that the message names"},
    entry{code::settings_missing_key, "settings_missing_key", "add the key to the settings file"},
    entry{code::rules_syntax, "rules_syntax", "compare the line with the form shown"},
    entry{code::rules_missing_comment, "rules_missing_comment", "add '# who asked: why' to the line"},
    entry{code::rules_unknown_service, "rules_unknown_service", "add a service line or correct the name"},
    entry{code::rules_unknown_class, "rules_unknown_class", "add a class line or correct the name"},
    entry{code::rules_duplicate, "rules_duplicate", "keep one of the two lines"},
    entry{code::rules_ambiguous_route, "rules_ambiguous_route", "make one of the two routes more specific"},
    entry{code::rules_bad_value, "rules_bad_value", "write a value of the kind that the message names"},
    entry{code::rules_too_large, "rules_too_large", "shorten the file"},
    entry{code::rules_unreadable, "rules_unreadable", "check the path and permissions of the rules file"},
    entry{code::report_unwritable, "report_unwritable", "check the folder and the space left there"},
    entry{code::log_unreadable, "log_unreadable", "check the path and permissions of the log"},
    entry{code::request_not_logged, "request_not_logged",
          "give the logs of the daemon that the caller was connected to; a busy daemon leaves lines "
          "out"},
    entry{code::platform_unreachable, "platform_unreachable", "wait for the platform or check its address"},
    entry{code::platform_conflict, "platform_conflict", "read the other change, merge it, apply again"},
    entry{code::platform_malformed, "platform_malformed",
          "apply a good rules file with --daemon to replace the object"},
    entry{code::platform_not_found, "platform_not_found", "apply a rules file first"},
    entry{code::platform_refused, "platform_refused", "wait; the platform is over its rate"},
    entry{code::platform_older_state, "platform_older_state",
          "the platform was restored to an older state: apply the rules again with --daemon=ADDRESS of any "
          "daemon, which gives them a number above the one in force"},
    entry{code::configuration_conflict, "configuration_conflict",
          "apply the rules again with --daemon=ADDRESS of any daemon, which gives them a number above both"},
    entry{code::started_unconfirmed, "started_unconfirmed",
          "check the platform's address and the seeds; the daemon serves by what it has"},
    entry{code::platform_history_gone, "platform_history_gone", "nothing; the daemon reads everything anew"},
    entry{code::configuration_ahead_of_clock, "configuration_ahead_of_clock",
          "correct the clock of the machine that applied the first rules, then apply them again there"},
    entry{code::frame_malformed, "frame_malformed", "check that only daemons talk to the peer port"},
    entry{code::frame_too_large, "frame_too_large", "check that only daemons talk to the peer port"},
    entry{code::frame_protocol_version, "frame_protocol_version", "bring both daemons to the same release"},
    entry{code::peer_unreachable, "peer_unreachable", ""},
    entry{code::content_hash_mismatch, "content_hash_mismatch",
          "none if it stays rare: the whole text is asked for; otherwise replace the daemon that sends it"},
    entry{code::no_route, "no_route", "add a route line for the method and path"},
    entry{code::no_backend_server, "no_backend_server", "check that the service has ready backend servers"},
    entry{code::deadline_exceeded, "deadline_exceeded", ""},
    entry{code::overloaded, "overloaded", "send fewer requests or add backend servers"},
    entry{code::not_run, "not_run", "send the request again"},
    entry{code::outcome_unknown, "outcome_unknown",
          "look up what became of the request before sending it again"},
    entry{code::duplicate_request, "duplicate_request",
          "the first request with this key is still running or done"},
    entry{code::request_too_large, "request_too_large", "send a smaller request"},
    entry{code::request_malformed, "request_malformed", "correct the request"},
    entry{code::suspect_request, "suspect_request",
          "the request crashed backend servers; do not send it again"},
    entry{code::draining, "draining", "send the request again"},
    entry{code::data_center_out, "data_center_out", "send the request again"},
    entry{code::starting, "starting", "send the request again a little later"},
    entry{code::version_withdrawn, "version_withdrawn", "send the request again"},
    entry{code::call_depth_exceeded, "call_depth_exceeded",
          "look for services that call each other in a circle"},
    entry{code::retry_budget_spent, "retry_budget_spent",
          "the service fails as a whole; see its backend servers"},
    entry{code::limit_reached, "limit_reached", "a limit rule refuses it; see guavahaven explain"},
    entry{code::caller_gone, "caller_gone", ""},
    entry{code::backend_unreachable, "backend_unreachable", "check the backend server beside the daemon"},
    entry{code::backend_failed, "backend_failed", "check the backend server beside the daemon"},
    entry{code::answer_incomplete, "answer_incomplete", "check the backend server beside the daemon"},
    entry{code::backend_refused, "backend_refused", "the backend server had no room; add backend servers"},
};

const entry* find(code c)
{
    const auto* at = std::find_if(table.begin(), table.end(), [c](const entry& e) { return e.code_ == c; });
    return at == table.end() ? nullptr : at;
}

} // namespace

std::string_view name(code c)
{
    const entry* e = find(c);
    return e ? e->name_ : "unknown";
}

std::string_view remedy(code c)
{
    const entry* e = find(c);
    return e ? e->remedy_ : "";
}

std::string to_string(const error& e)
{
    std::string text = "E" + std::to_string(number(e.code_)) + " " + std::string(name(e.code_));
    if (!e.detail_.empty())
        text += ": " + e.detail_;
    return text;
}

} // namespace guavahaven
