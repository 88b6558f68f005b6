#include "decide/entry.h"

#include <algorithm>
#include <charconv>

#include "base/guards.h"
#include "decide/data_center_return.h"
#include "decide/routing.h"

namespace guavahaven::decide {

namespace {

constexpr std::uint32_t depth_most = 32;                             // calls below a caller's request
constexpr duration receipt_timeout = std::chrono::milliseconds(250); // until a silent connection is doubted
constexpr duration fence_timeout = std::chrono::milliseconds(500);   // until a fence is given up

std::optional<std::uint64_t> header_number(const http::request& request, std::string_view name)
{
    const std::string text = http::find_header(request.headers_, name);
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, number);
    if (text.empty() || failed != std::errc() || stop != end)
        return {};
    return number;
}

void set_header(http::request& request, std::string_view name, const std::string& text)
{
    std::erase_if(request.headers_, [name](const http::header& h) { return h.name_ == name; });
    request.headers_.push_back({std::string(name), text});
}

int http_status(code c)
{
    switch (c) {
    case code::no_route:
        return 404;
    case code::request_malformed:
        return 400;
    case code::request_too_large:
        return 413;
    case code::duplicate_request:
        return 409;
    case code::suspect_request:
        return 422;
    case code::call_depth_exceeded:
        return 508;
    case code::limit_reached:
        return 429;
    case code::deadline_exceeded:
        return 504;
    case code::outcome_unknown:
    case code::backend_failed:
    case code::answer_incomplete:
        return 502;
    default:
        return 503;
    }
}

} // namespace

http::response error_response(code c)
{
    const std::string body = to_string(error{c, std::string(remedy(c))}) + "\n";
    return {http_status(c), {{std::string(result_header), std::to_string(number(c))}}, body};
}

entry::entry(daemon_name self, incarnation started, data_center_name data_center, std::uint64_t seed)
    : self_(std::move(self)), started_(started), data_center_(std::move(data_center)), random_(seed)
{
}

entry_actions entry::handle(const entry_event& event, time_point now)
{
    std::visit([&](const auto& e) { on(e, now); }, event);
    return std::exchange(actions_, {});
}

void entry::on(const caller_request& e, time_point now)
{
    const auto refuse = [&](code why) { actions_.push_back(reply{e.exchange_, error_response(why), true}); };
    if (!view_ || !view_->configuration_)
        return refuse(code::starting);
    const route_rule* route = find_route(*view_->configuration_, e.request_);
    if (!route)
        return refuse(code::no_route);
    const class_rule* class_of_route = view_->configuration_->find_class(route->class_);
    const auto depth = static_cast<std::uint32_t>(header_number(e.request_, depth_header).value_or(0));
    if (depth > depth_most)
        return refuse(code::call_depth_exceeded);

    request_state r;
    r.exchange_ = e.exchange_;
    r.started_ = now;
    duration wait = class_of_route->deadline_;
    if (const auto asked = header_number(e.request_, deadline_header))
        wait =
            std::min<duration>(wait, std::chrono::milliseconds(std::min<std::uint64_t>(*asked, 86'400'000)));
    r.deadline_ = now + wait;
    r.call_.once_ = class_of_route->once_ || !idempotent(e.request_.method_);
    r.call_.service_ = route->service_;
    r.call_.class_ = route->class_;
    r.call_.route_ = route->method_ + " " + route->path_;
    r.call_.configuration_ = view_->configuration_->number_;
    r.call_.depth_ = depth;
    r.call_.request_ = e.request_;
    r.call_.version_ = choose_version(route->service_);
    r.tried_ = draw_left_aside(*view_, route->service_, random_, now);
    r.call_.identity_ = http::find_header(e.request_.headers_, key_header);
    r.call_.keyed_ = !r.call_.identity_.empty();
    attempt(r, now, code::no_backend_server);
}

// The version of one call: by the move's share, else the split, else the service line.
version_name entry::choose_version(const service_name& service)
{
    const configuration& c = *view_->configuration_;
    const double draw = random_share(random_);
    if (const move_rule* move = c.find_move(service)) {
        const move_fact* known = view_->find_move(move->id());
        // Without a fact the move has not begun, or a withdrawal is not yet known here.
        if (known && draw < share_of(*move, *known))
            return move->version_;
    }
    if (const split_rule* split = c.find_split(service)) {
        double below = 0;
        for (const version_share& part : split->shares_) {
            below += part.share_;
            if (draw < below)
                return part.version_;
        }
    }
    return c.find_service(service)->version_;
}

// Own data centre first; among those, the less loaded of two drawn at random.
std::optional<daemon_name> entry::choose_gate(const request_state& r)
{
    std::vector<const member*> near;
    std::vector<const member*> far;
    for (const member& m : view_->members_) {
        const bool takes = m.state_ == member_state::alive ||
                           (m.state_ == member_state::draining && !guarded(guard::drain_refusal));
        const bool fits = takes && m.service_ == r.call_.service_ && m.version_ == r.call_.version_ &&
                          !r.tried_.contains(m.name_);
        const bool out = view_->configuration_->find_out(m.data_center_) && guarded(guard::out_refusal);
        if (!fits || out)
            continue;
        (m.data_center_ == data_center_ ? near : far).push_back(&m);
    }
    const auto& pool = near.empty() ? far : near;
    if (pool.empty())
        return {};
    const auto load = [&](const member* m) {
        const gate_state& g = gates_[m->name_];
        const double limit = std::max<std::uint32_t>(1, g.load_.limit_);
        return (g.in_flight_ + g.load_.queued_) / limit;
    };
    const member* a = pool[random_index(random_, pool.size())];
    const member* b = pool[random_index(random_, pool.size())];
    return load(a) <= load(b) ? a->name_ : b->name_;
}

void entry::attempt(request_state& r, time_point now, code last_failure)
{
    auto gate = choose_gate(r);
    // A version that nobody serves any more, or not yet, gives way to the one of the service line.
    if (!gate && r.call_.version_ != view_->configuration_->find_service(r.call_.service_)->version_) {
        r.call_.version_ = view_->configuration_->find_service(r.call_.service_)->version_;
        gate = choose_gate(r);
    }
    if (!gate)
        return fail(r, now, last_failure);
    r.gate_ = *gate;
    r.sent_ = now;
    r.received_ = false;
    r.fenced_ = false;
    r.tried_.insert(*gate);
    ++r.attempts_;
    r.call_.id_ = {started_, ++last_sequence_};
    if (r.call_.identity_.empty())
        r.call_.identity_ =
            self_.str() + "/" + std::to_string(started_.value()) + "/" + std::to_string(last_sequence_);
    if (r.call_.request_number_ == 0)
        r.call_.request_number_ = last_sequence_;
    r.call_.gate_ = incarnation_of(*gate);
    r.call_.remaining_ = r.deadline_ - now;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(r.call_.remaining_);
    set_header(r.call_.request_, deadline_header, std::to_string(left.count()));
    set_header(r.call_.request_, depth_header, std::to_string(r.call_.depth_ + 1));
    set_header(r.call_.request_, identity_header, r.call_.identity_);
    ++gates_[*gate].in_flight_;
    actions_.push_back(send_to_gate{*gate, r.call_, false});
    requests_[r.call_.id_] = r;
}

void entry::on(const caller_gone& e, time_point now)
{
    for (auto& [id, r] : requests_) {
        if (r.exchange_ != e.exchange_)
            continue;
        actions_.push_back(send_to_gate{r.gate_, cancel{id}, false});
        return end(r, now, code::not_run);
    }
}

void entry::on(const gate_message& e, time_point now)
{
    const call_id id = std::visit([](const auto& m) { return m.id_; }, e.message_);
    auto at = requests_.find(id);
    if (at == requests_.end() && !guarded(guard::call_match))
        at = requests_.begin();
    if (at == requests_.end() || at->second.gate_ != e.from_)
        return; // late: another attempt took over, or the caller has gone
    std::visit([&](const auto& m) { take(at->second, m, now); }, e.message_);
}

void entry::take(request_state& r, const receipt&, time_point)
{
    r.received_ = true;
}

void entry::take(request_state& r, const answer& m, time_point now)
{
    gates_[r.gate_].load_ = m.load_;
    gates_[r.gate_].reported_ = now;
    r.received_ = true;
    r.answering_ = true;
    http::response whole = m.response_;
    whole.headers_.push_back({std::string(result_header), "0"});
    actions_.push_back(reply{r.exchange_, std::move(whole), m.complete_});
    if (m.complete_)
        end(r, now, code::ok);
}

void entry::take(request_state& r, const answer_part& m, time_point now)
{
    actions_.push_back(reply_part{r.exchange_, m.bytes_, m.complete_});
    if (m.complete_)
        end(r, now, code::ok);
}

void entry::take(request_state& r, const refusal& m, time_point now)
{
    gates_[r.gate_].load_ = m.load_;
    if (m.code_ == code::duplicate_request)
        return tell_duplicate(r, now, m.earlier_status_);
    if (m.code_ == code::suspect_request)
        return fail(r, now, m.code_);
    try_elsewhere(r, now, m.code_);
}

void entry::take(request_state& r, const broken& m, time_point now)
{
    gates_[r.gate_].load_ = m.load_;
    settle_broken(r, now, m.code_);
}

void entry::take(request_state& r, const fence_verdict& m, time_point now)
{
    switch (m.fate_) {
    case fate::never_ran:
        return try_elsewhere(r, now, code::not_run);
    case fate::ran:
    case fate::unknown:
        return settle_broken(r, now, code::outcome_unknown);
    case fate::running:
        r.received_ = true;
        return;
    }
}

void entry::try_elsewhere(request_state& r, time_point now, code why)
{
    const retry_rule retry = view_->configuration_->retry_of(r.call_.service_);
    if (r.attempts_ >= retry.attempts_ || now >= r.deadline_)
        return fail(r, now, why);
    request_state next = r;
    if (why == code::version_withdrawn) // the gate learned of it first
        next.call_.version_ = view_->configuration_->find_service(r.call_.service_)->version_;
    --gates_[r.gate_].in_flight_;
    requests_.erase(r.call_.id_);
    attempt(next, now, why);
}

void entry::settle_broken(request_state& r, time_point now, code why)
{
    if (r.answering_) {
        actions_.push_back(reply_abort{r.exchange_});
        return end(r, now, code::answer_incomplete);
    }
    if (r.call_.once_ && guarded(guard::unknown_outcome))
        return fail(r, now, code::outcome_unknown);
    try_elsewhere(r, now, why);
}

void entry::on(const gate_lost& e, time_point now)
{
    std::vector<call_id> affected;
    for (const auto& [id, r] : requests_)
        if (r.gate_ == e.gate_)
            affected.push_back(id);
    for (const call_id id : affected) {
        request_state& r = requests_.at(id);
        if (r.answering_ || !r.call_.once_ || r.fenced_)
            settle_broken(r, now, code::outcome_unknown);
        else
            ask_fate(r, now);
    }
}

void entry::ask_fate(request_state& r, time_point now)
{
    if (!guarded(guard::fence))
        return settle_broken(r, now, code::outcome_unknown);
    r.fenced_ = true;
    r.sent_ = now;
    actions_.push_back(send_to_gate{r.gate_, fence{r.call_.id_, r.call_.gate_}, true});
}

void entry::on(const entry_view_changed& e, time_point)
{
    view_ = e.view_;
}

void entry::on(const entry_tick&, time_point now)
{
    std::vector<call_id> ids;
    for (const auto& [id, r] : requests_)
        ids.push_back(id);
    for (const call_id id : ids) {
        request_state& r = requests_.at(id);
        if (now >= r.deadline_) {
            actions_.push_back(send_to_gate{r.gate_, cancel{id}, false});
            fail(r, now, r.call_.once_ ? code::outcome_unknown : code::deadline_exceeded);
        }
        else if (!r.received_ && !r.fenced_ && now - r.sent_ > receipt_timeout) {
            ask_fate(r, now);
        }
        else if (!r.received_ && r.fenced_ && now - r.sent_ > fence_timeout) {
            settle_broken(r, now, code::outcome_unknown);
        }
    }
}

void entry::fail(request_state& r, time_point now, code why)
{
    if (r.answering_)
        actions_.push_back(reply_abort{r.exchange_});
    else
        actions_.push_back(reply{r.exchange_, error_response(why), true});
    end(r, now, why);
}

// A caller that repeats a request learns how the first one ended.
void entry::tell_duplicate(request_state& r, time_point now, int earlier_status)
{
    http::response told = error_response(code::duplicate_request);
    if (earlier_status != 0)
        told.headers_.push_back({std::string(earlier_status_header), std::to_string(earlier_status)});
    actions_.push_back(reply{r.exchange_, std::move(told), true});
    end(r, now, code::duplicate_request);
}

incarnation entry::incarnation_of(const daemon_name& gate) const
{
    const auto same = [&](const member& m) { return m.name_ == gate; };
    const auto at = std::find_if(view_->members_.begin(), view_->members_.end(), same);
    return at == view_->members_.end() ? incarnation() : at->incarnation_;
}

void entry::end(request_state& r, time_point now, code result)
{
    actions_.push_back(request_ended{r.call_.class_, result, now - r.started_});
    const auto at = requests_.find(r.call_.id_);
    if (at == requests_.end())
        return; // no attempt was under way
    --gates_[r.gate_].in_flight_;
    requests_.erase(at);
}

} // namespace guavahaven::decide
