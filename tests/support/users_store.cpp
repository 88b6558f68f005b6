#include "support/users_store.h"

#include <algorithm>
#include <optional>
#include <stdexcept>

#include "support/process.h"

namespace guavahaven::support {

namespace {

using nlohmann::json;

constexpr const char* start = "/objects/";
constexpr std::uint64_t brief_wait_ms = 10; // a watch that waits no longer is answered at once

// The parts of a path between slashes, after the common start.
std::vector<std::string> parts_of(const std::string& path)
{
    std::vector<std::string> parts;
    std::string rest = path.substr(std::min(path.size(), std::string(start).size()));
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('/'), rest.size());
        parts.push_back(rest.substr(0, end));
        rest.erase(0, end + 1);
    }
    return parts;
}

std::string call_name(const http::request& r)
{
    const bool watches = !http::query_parameter(r.target_, "watch").empty();
    const bool old = !http::query_parameter(r.target_, "staleOk").empty();
    return r.method_ + " " + http::path_of(r.target_) + (watches ? "?watch" : old ? "?staleOk" : "");
}

} // namespace

users_store::users_store(event_loop& loop)
    : server_(loop, {}, [this](const std::shared_ptr<http::exchange>& e) { receive(e); }), port_(free_port()),
      due_timer_(loop, [this] { end_due_watches(); })
{
    if (!ok(server_.listen(address())))
        throw std::runtime_error("the stand-in of the store can't listen");
}

http::response users_store::reply(int status, const json& body) const
{
    return {status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}}, body.dump()};
}

void users_store::put(const std::string& kind, const std::string& name, const json& spec)
{
    stored& o = kinds_[kind][name];
    o.spec_ = spec;
    changed(kind, name, false);
}

void users_store::remove(const std::string& kind, const std::string& name)
{
    changed(kind, name, true);
    kinds_[kind].erase(name);
}

void users_store::forget_history()
{
    history_.clear();
    history_from_ = ++revision_;
    for (const waiting_watch& w : std::exchange(watches_, {}))
        w.exchange_->reply(reply(410, json::object()));
}

void users_store::restore_copy()
{
    kinds_ = copy_.kinds_;
    revision_ = copy_.revision_;
    std::erase_if(history_, [this](const change& c) { return c.revision_ > revision_; });
    ++era_;
}

void users_store::cut_watches()
{
    for (const waiting_watch& w : std::exchange(watches_, {}))
        w.exchange_->reply(reply(503, json::object()));
}

json users_store::status(const std::string& kind, const std::string& name) const
{
    return holds(kind, name) ? kinds_.at(kind).at(name).status_ : json();
}

bool users_store::holds(const std::string& kind, const std::string& name) const
{
    const auto at = kinds_.find(kind);
    return at != kinds_.end() && at->second.contains(name);
}

std::size_t users_store::count(const std::string& call) const
{
    return static_cast<std::size_t>(std::count(calls_.begin(), calls_.end(), call));
}

void users_store::receive(const std::shared_ptr<http::exchange>& e)
{
    const http::request& r = e->received();
    calls_.push_back(call_name(r));
    if (faults_.down_)
        return e->reply(reply(503, json::object()));
    if (faults_.silent_)
        return unanswered_.push_back(e);
    const std::vector<std::string> parts = parts_of(http::path_of(r.target_));
    if (parts.empty() || parts.size() > 3)
        return e->reply(reply(404, json::object()));
    if (!http::query_parameter(r.target_, "watch").empty())
        return watch(e, parts[0]);
    const std::string name = parts.size() > 1 ? parts[1] : "";
    const http::response answered = r.method_ == "POST"  ? create(r, parts[0])
                                    : r.method_ == "PUT" ? replace(r, parts[0], name, parts.size() == 3)
                                                         : answer(r, parts[0], name);
    if (r.method_ != "GET" && faults_.loses_writes_)
        return unanswered_.push_back(e);
    e->reply(answered);
}

http::response users_store::answer(const http::request&, const std::string& kind, const std::string& name)
{
    if (!name.empty())
        return holds(kind, name) ? reply(200, to_json(name, kinds_[kind][name])) : reply(404, json::object());
    json items = json::array();
    for (const auto& [own_name, o] : kinds_[kind])
        items.push_back(to_json(own_name, o));
    return reply(200, {{"items", items}, {"hasMore", false}, {"currentRev", revision_}});
}

http::response users_store::create(const http::request& r, const std::string& kind)
{
    const json body = json::parse(r.body_);
    const std::string name = body.at("metadata").at("name").get<std::string>();
    if (holds(kind, name))
        return reply(409, to_json(name, kinds_[kind][name]));
    put(kind, name, body.at("spec"));
    return reply(200, to_json(name, kinds_[kind][name]));
}

http::response users_store::replace(const http::request& r, const std::string& kind, const std::string& name,
                                    bool status)
{
    if (!holds(kind, name))
        return reply(404, json::object());
    const json body = json::parse(r.body_);
    stored& o = kinds_[kind][name];
    if (body.at("metadata").value("rev", o.revision_) != o.revision_)
        return reply(409, to_json(name, o));
    json& part = status ? o.status_ : o.spec_;
    const json& wanted = body.at(status ? "status" : "spec");
    if (part != wanted) {
        part = wanted;
        changed(kind, name, false);
    }
    return reply(200, to_json(name, o));
}

void users_store::watch(const std::shared_ptr<http::exchange>& e, const std::string& kind)
{
    const std::uint64_t since = std::stoull(http::query_parameter(e->received().target_, "watch"));
    if (since < history_from_ || since > revision_)
        return e->reply(reply(410, json::object()));
    const json found = changes(kind, since);
    const std::uint64_t wait_ms = std::stoull(http::query_parameter(e->received().target_, "waitMs"));
    if (!found.empty() || wait_ms <= brief_wait_ms)
        return e->reply(reply(200, {{"events", found}, {"currentRev", revision_}}));
    watches_.push_back({e, kind, since, clock_.now() + std::chrono::milliseconds(wait_ms)});
    end_due_watches();
}

void users_store::end_due_watches()
{
    const time_point now = clock_.now();
    std::optional<time_point> next;
    for (auto at = watches_.begin(); at != watches_.end();) {
        if (at->due_ > now) {
            next = next ? std::min(*next, at->due_) : at->due_;
            ++at;
            continue;
        }
        at->exchange_->reply(reply(200, {{"events", json::array()}, {"currentRev", revision_}}));
        at = watches_.erase(at);
    }
    if (next)
        due_timer_.arm(*next - now);
}

json users_store::changes(const std::string& kind, std::uint64_t since) const
{
    json found = json::array();
    for (const change& c : history_)
        if (c.kind_ == kind && c.revision_ > since)
            found.push_back(c.event_);
    return found;
}

void users_store::changed(const std::string& kind, const std::string& name, bool deleted)
{
    stored& o = kinds_[kind][name];
    o.revision_ = ++revision_;
    if (o.created_ == 0)
        o.created_ = revision_;
    history_.push_back({revision_, kind, {{"tombstone", deleted}, {"object", to_json(name, o)}}});
    for (auto at = watches_.begin(); at != watches_.end();) {
        const json found = at->kind_ == kind ? changes(kind, at->since_) : json::array();
        if (found.empty()) {
            ++at;
            continue;
        }
        if (faults_.loses_watch_answers_)
            unanswered_.push_back(at->exchange_);
        else
            at->exchange_->reply(reply(200, {{"events", found}, {"currentRev", revision_}}));
        at = watches_.erase(at);
    }
}

json users_store::to_json(const std::string& name, const stored& o) const
{
    return {{"metadata",
             {{"name", name},
              {"rev", o.revision_},
              {"createRevision", o.created_},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", o.spec_},
            {"status", o.status_}};
}

} // namespace guavahaven::support
