#include "decide/entry/entry.h"

#include <algorithm>

#include "base/guards.h"
#include "decide/entry/data_center_return.h"
#include "decide/routing.h"

namespace guavahaven::decide {

namespace {

constexpr std::uint32_t depth_most = 32;                             // calls below a caller's request
constexpr std::uint32_t redirects_most = 8;                          // refusals that cost nobody anything
constexpr duration receipt_timeout = std::chrono::milliseconds(250); // until a silent connection is doubted
constexpr duration fence_timeout = std::chrono::milliseconds(500);   // until a fence is given up
constexpr duration expiry_grace = std::chrono::milliseconds(100);    // for the fate of an expired request
constexpr std::uint64_t wait_most = 86'400'000;                      // milliseconds a caller may ask for
constexpr duration come_back_least = std::chrono::milliseconds(100); // for a request that has not run
constexpr duration come_back_most = std::chrono::milliseconds(500);

// True for codes that tell a caller that its request has not run.
bool claims_not_run(code c)
{
    switch (c) {
    case code::outcome_unknown:
    case code::deadline_exceeded:
    case code::backend_failed:
    case code::answer_incomplete:
    case code::retry_budget_spent:
    case code::duplicate_request:
    case code::suspect_request:
        return false;
    default:
        return true;
    }
}

} // namespace

entry::entry(daemon_name self, incarnation started, data_center_name data_center, std::uint64_t seed,
             caller_protocol protocol)
    : self_(std::move(self)), started_(started), random_(seed), protocol_(std::move(protocol)),
      balancer_(std::move(data_center))
{
}

entry_actions entry::handle(const entry_event& event, time_point now)
{
    std::visit([&](const auto& e) { on(e, now); }, event);
    return std::exchange(actions_, {});
}

std::optional<time_point> entry::next_due() const
{
    if (due_.empty())
        return {};
    return due_.begin()->first;
}

void entry::on(const caller_request& e, time_point now)
{
    const auto refuse = [&](code why) {
        http::response answer = error_response(protocol_, why, come_back());
        request_ended ended;
        ended.identity_ = http::find_header(e.request_.headers_, protocol_.identity_header_);
        ended.route_ = e.request_.method_ + " " + http::path_of(e.request_.target_);
        ended.class_ = class_name("none");
        ended.status_ = answer.status_;
        ended.code_ = why;
        actions_.push_back(reply{e.exchange_, std::move(answer), true});
        actions_.push_back(ended);
    };
    if (!view_ || !view_->configuration_)
        return refuse(code::starting);
    const configuration& c = *view_->configuration_;
    const route_rule* route = find_route(c, e.request_);
    if (!route)
        return refuse(code::no_route);
    const class_rule* class_of_route = c.find_class(route->class_);
    const auto depth =
        static_cast<std::uint32_t>(header_number(e.request_, protocol_.depth_header_).value_or(0));
    if (depth > depth_most)
        return refuse(code::call_depth_exceeded);

    request_state& r = requests_[e.exchange_];
    r.exchange_ = e.exchange_;
    r.started_ = now;
    duration wait = class_of_route->deadline_;
    if (const auto asked = header_number(e.request_, protocol_.deadline_header_)) {
        const duration patience = std::chrono::milliseconds(std::min(*asked, wait_most));
        wait = std::min(wait, patience);
        duration& most = patience_[route->class_];
        most = std::max(most, patience);
        if (class_of_route->objective_ > duration::zero())
            r.call_.waited_ = most - patience;
    }
    r.deadline_ = now + wait;
    r.call_.once_ = class_of_route->once_ || (!class_of_route->repeat_ && !idempotent(e.request_.method_));
    r.call_.service_ = choose_service(*route);
    r.call_.class_ = route->class_;
    r.call_.route_ = route->method_ + " " + route->host_ + route->path_;
    r.call_.configuration_ = c.number_;
    r.call_.depth_ = depth;
    r.call_.request_ = e.request_;
    r.call_.version_ = choose_version(r.call_.service_);
    r.tried_ = draw_left_aside(*view_, r.call_.service_, random_, now);
    const std::string& identity_header =
        protocol_.caller_names_requests_ ? protocol_.identity_header_ : protocol_.key_header_;
    r.call_.identity_ = http::find_header(e.request_.headers_, identity_header);
    r.call_.keyed_ = !protocol_.caller_names_requests_ && !r.call_.identity_.empty();
    const retry_rule retries = c.retry_of(r.call_.service_);
    r.attempts_most_ = class_of_route->attempts_ == 0 ? retries.attempts_ : class_of_route->attempts_;
    retry_budget& budget = budgets_[r.call_.service_];
    if (retries.reserve_ > 0)
        budget.set_most(reserve_part(retries.reserve_));
    budget.earn(retries.budget_);
    set_header(r.call_.request_.headers_, protocol_.caller_service_header_, own_service());
    attempt(r, now, code::no_backend_server);
}

// By weight; a part that has no room turns its requests away, so that the weights stay true.
service_name entry::choose_service(const route_rule& route)
{
    if (route.services_.size() == 1)
        return route.services_.front().service_;
    double sum = 0;
    for (const weighted_service& part : route.services_)
        sum += part.weight_;
    double draw = random_share(random_) * sum;
    for (const weighted_service& part : route.services_) {
        draw -= part.weight_;
        if (draw < 0)
            return part.service_;
    }
    return route.services_.back().service_;
}

// Drawn at random, so that callers who were turned away together come back apart.
duration entry::come_back()
{
    const double part = random_share(random_);
    return come_back_least + duration(static_cast<duration::rep>(
                                 part * static_cast<double>((come_back_most - come_back_least).count())));
}

// This daemon's part of what the whole fleet may spend at once.
double entry::reserve_part(std::uint32_t reserve) const
{
    const auto alive = std::count_if(view_->members_.begin(), view_->members_.end(),
                                     [](const member& m) { return m.state_ == member_state::alive; });
    return static_cast<double>(reserve) / static_cast<double>(std::max<std::ptrdiff_t>(1, alive));
}

std::string entry::own_service() const
{
    if (!protocol_.caller_service_.empty())
        return protocol_.caller_service_;
    const auto& members = view_->members_;
    const auto at =
        std::find_if(members.begin(), members.end(), [this](const member& m) { return m.name_ == self_; });
    return at == members.end() ? "" : at->service_.str();
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

std::optional<daemon_name> entry::choose_gate(request_state& r, time_point now)
{
    const auto gate = balancer_.choose(r.call_.service_, r.call_.version_, r.tried_, random_, now);
    if (gate)
        return gate;
    // A version that nobody serves any more, or not yet, gives way to the one of the service line.
    r.call_.version_ = view_->configuration_->find_service(r.call_.service_)->version_;
    return balancer_.choose(r.call_.service_, r.call_.version_, r.tried_, random_, now);
}

void entry::attempt(request_state& r, time_point now, code last_failure)
{
    auto gate = choose_gate(r, now);
    // With no other one left, the request goes to the same once more, if it may.
    if (!gate && r.maybe_ran_ && !r.call_.once_) {
        r.tried_.clear();
        gate = choose_gate(r, now);
    }
    if (!gate)
        return fail(r, now, last_failure);
    send_attempt(r, *gate, now);
}

void entry::send_attempt(request_state& r, const daemon_name& gate, time_point now)
{
    r.gate_ = gate;
    ++r.sends_;
    r.sent_ = now;
    r.received_ = false;
    r.fenced_ = false;
    r.tried_.insert(gate);
    r.call_.id_ = {started_, ++last_sequence_};
    if (r.call_.identity_.empty())
        r.call_.identity_ =
            self_.str() + "/" + std::to_string(started_.value()) + "/" + std::to_string(last_sequence_);
    if (r.call_.request_number_ == 0)
        r.call_.request_number_ = last_sequence_;
    r.call_.gate_ = balancer_.incarnation_of(gate);
    r.call_.remaining_ = r.deadline_ - now;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(r.call_.remaining_);
    http::headers& headers = r.call_.request_.headers_;
    set_header(headers, protocol_.deadline_header_, std::to_string(left.count()));
    set_header(headers, protocol_.depth_header_, std::to_string(r.call_.depth_ + 1));
    if (!protocol_.caller_names_requests_)
        set_header(headers, protocol_.identity_header_, r.call_.identity_);
    balancer_.began(gate);
    attempts_[r.call_.id_] = r.exchange_;
    wake_at(r, std::min(r.deadline_, now + receipt_timeout));
    actions_.push_back(send_to_gate{gate, r.call_, false});
}

void entry::close_attempt(request_state& r, attempt_end how, time_point now)
{
    if (attempts_.erase(r.call_.id_) > 0)
        balancer_.ended(r.gate_, how, now - r.sent_, random_, now);
}

void entry::on(const caller_gone& e, time_point now)
{
    const auto at = requests_.find(e.exchange_);
    if (at == requests_.end())
        return;
    request_state& r = at->second;
    actions_.push_back(send_to_gate{r.gate_, cancel{r.call_.id_}, false});
    close_attempt(r, attempt_end::dropped, now);
    end(r, now, code::caller_gone, 0);
}

void entry::on(const caller_took& e, time_point)
{
    const auto at = requests_.find(e.exchange_);
    if (at != requests_.end())
        actions_.push_back(
            send_to_gate{at->second.gate_, answer_taken{at->second.call_.id_, e.bytes_}, false});
}

void entry::on(const gate_message& e, time_point now)
{
    const call_id id = std::visit([](const auto& m) { return m.id_; }, e.message_);
    auto at = attempts_.find(id);
    if (at == attempts_.end() && !guarded(guard::call_match))
        at = attempts_.begin();
    if (at == attempts_.end())
        return; // late: another attempt took over, or the caller has gone
    request_state& r = requests_.at(at->second);
    if (r.gate_ != e.from_)
        return;
    std::visit([&](const auto& m) { take(r, m, now); }, e.message_);
}

void entry::try_elsewhere(request_state& r, time_point now, code why)
{
    if (now >= r.deadline_)
        return fail(r, now, why);
    const bool costly = why == code::backend_refused;
    if (costly ? !may_retry(r, now) : ++r.redirects_ > redirects_most)
        return fail(r, now, why);
    if (why == code::version_withdrawn) // the gate learned of it first
        r.call_.version_ = view_->configuration_->find_service(r.call_.service_)->version_;
    attempt(r, now, why);
}

bool entry::may_retry(request_state& r, time_point now)
{
    if (now >= r.deadline_ || r.retries_ + 1 >= r.attempts_most_ || !budgets_[r.call_.service_].spend())
        return false;
    ++r.retries_;
    return true;
}

void entry::settle_broken(request_state& r, time_point now, code why)
{
    if (r.answering_)
        return cut(r, now);
    close_attempt(r, r.expired_ ? attempt_end::dropped : attempt_end::failed, now);
    r.maybe_ran_ = true;
    if (r.call_.once_ && guarded(guard::unknown_outcome))
        return fail(r, now, code::outcome_unknown);
    if (!may_retry(r, now))
        return fail(r, now, why);
    attempt(r, now, why);
}

void entry::on(const gate_lost& e, time_point now)
{
    std::vector<exchange_id> affected;
    for (const auto& [id, r] : requests_)
        if (r.gate_ == e.gate_)
            affected.push_back(id);
    for (const exchange_id id : affected) {
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
    wake_at(r, std::min(r.deadline_, now + fence_timeout));
    actions_.push_back(send_to_gate{r.gate_, fence{r.call_.id_, r.call_.gate_}, true});
}

void entry::on(const entry_view_changed& e, time_point now)
{
    const bool same = view_ && view_->configuration_ == e.view_->configuration_ &&
                      view_->members_ == e.view_->members_ && view_->moves_ == e.view_->moves_;
    view_ = e.view_;
    if (!same)
        balancer_.set_view(*view_, now);
}

void entry::on(const entry_tick&, time_point now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        request_state& r = requests_.at(due_.begin()->second);
        if (r.expired_)
            settle_broken(r, now, code::outcome_unknown);
        else if (now >= r.deadline_)
            expire(r, now);
        else if (r.received_)
            wake_at(r, r.deadline_);
        else if (!r.fenced_ && r.call_.once_) {
            balancer_.fell_silent(r.gate_, random_, now);
            ask_fate(r, now);
        }
        else {
            balancer_.fell_silent(r.gate_, random_, now);
            // What is sent next goes over a connection that is not silent.
            actions_.push_back(send_to_gate{r.gate_, cancel{r.call_.id_}, true});
            settle_broken(r, now, code::outcome_unknown);
        }
    }
}

// A request that must not run twice is not given up before its fate was asked
// for: one that only waits there can be told apart from one that runs.
void entry::expire(request_state& r, time_point now)
{
    if (r.call_.once_ && !r.answering_) {
        r.expired_ = true;
        r.fenced_ = true;
        actions_.push_back(send_to_gate{r.gate_, fence{r.call_.id_, r.call_.gate_}, false});
        return wake_at(r, now + expiry_grace);
    }
    actions_.push_back(send_to_gate{r.gate_, cancel{r.call_.id_}, false});
    if (r.answering_)
        return cut(r, now);
    close_attempt(r, attempt_end::failed, now);
    fail(r, now, code::deadline_exceeded);
}

void entry::fail(request_state& r, time_point now, code why)
{
    const code said = r.maybe_ran_ && claims_not_run(why) ? code::outcome_unknown : why;
    http::response answer = error_response(protocol_, said, come_back());
    set_header(answer.headers_, protocol_.retried_header_, "1");
    const int status = answer.status_;
    actions_.push_back(reply{r.exchange_, std::move(answer), true});
    end(r, now, said, status);
}

// A caller that repeats a request learns how the first one ended.
void entry::tell_duplicate(request_state& r, time_point now, int earlier_status)
{
    http::response told = error_response(protocol_, code::duplicate_request);
    if (earlier_status != 0)
        set_header(told.headers_, protocol_.earlier_status_header_, std::to_string(earlier_status));
    const int status = told.status_;
    actions_.push_back(reply{r.exchange_, std::move(told), true});
    end(r, now, code::duplicate_request, status);
}

// An answer that can't be completed any more must not look whole.
void entry::cut(request_state& r, time_point now)
{
    actions_.push_back(send_to_gate{r.gate_, cancel{r.call_.id_}, false});
    actions_.push_back(reply_abort{r.exchange_});
    close_attempt(r, attempt_end::failed, now);
    end(r, now, code::answer_incomplete, 0);
}

void entry::end(request_state& r, time_point now, code result, int status)
{
    actions_.push_back(request_ended{r.call_.identity_, r.call_.route_, r.call_.service_, r.call_.version_,
                                     r.gate_, r.sends_, status, r.call_.configuration_, r.call_.class_,
                                     result, now - r.started_});
    due_.erase({r.due_, r.exchange_});
    requests_.erase(r.exchange_);
}

void entry::wake_at(request_state& r, time_point due)
{
    due_.erase({r.due_, r.exchange_});
    r.due_ = due;
    due_.emplace(due, r.exchange_);
}

} // namespace guavahaven::decide
