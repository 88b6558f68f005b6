#include "decide/entry/entry.h"

#include <algorithm>

#include "base/guards.h"
#include "decide/entry/data_center_return.h"
#include "decide/routing.h"

namespace guavahaven::decide {

namespace {

constexpr std::uint32_t max_call_depth = 32; // nested calls under one caller's request, against call loops
constexpr std::uint32_t max_redirects = 8;   // after refusals that cost gate and backend server no work
// A gate that does not acknowledge a call within this counts as unresponsive.
constexpr duration acknowledgement_timeout = std::chrono::milliseconds(250);
// Without a reply to a fence for so long, the gate is given up if it is known to be lost.
constexpr duration fence_timeout = std::chrono::milliseconds(500);
// For the reply to the fence of an expired request.
constexpr duration expired_fence_timeout = std::chrono::milliseconds(100);
constexpr std::uint64_t max_requested_timeout_ms = 86'400'000; // one day
constexpr duration min_retry_after = std::chrono::milliseconds(100);
constexpr duration max_retry_after = std::chrono::milliseconds(500);

// True for codes that mean to a caller that its request has not run.
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
        http::response answer = error_response(protocol_, why, retry_after());
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
    if (depth > max_call_depth)
        return refuse(code::call_depth_exceeded);

    std::optional<duration> requested;
    if (const auto asked = header_number(e.request_, protocol_.deadline_header_))
        requested = std::chrono::milliseconds(std::min(*asked, max_requested_timeout_ms));
    const duration wait = class_of_route->deadline_;
    const time_point deadline = now + (requested ? std::min(wait, *requested) : wait);
    if (too_late_to_take(deadline, now))
        return refuse(code::draining);

    request_state& r = requests_[e.exchange_];
    r.exchange_ = e.exchange_;
    r.started_ = now;
    r.deadline_ = deadline;
    if (requested) {
        duration& longest = longest_timeouts_[route->class_];
        longest = std::max(longest, *requested);
        if (class_of_route->objective_ > duration::zero())
            r.call_.waited_ = longest - *requested;
    }
    r.call_.once_ = class_of_route->once_ || (!class_of_route->repeat_ && !idempotent(e.request_.method_));
    r.call_.service_ = choose_service(*route);
    r.call_.class_ = route->class_;
    r.call_.route_ = route->method_ + " " + route->host_ + route->path_pattern();
    r.call_.configuration_ = c.number_;
    r.call_.depth_ = depth;
    r.call_.request_ = e.request_;
    r.call_.version_ = choose_version(r.call_.service_);
    r.tried_ = draw_gates_to_skip(*view_, r.call_.service_, random_, now);
    const std::string& identity_header =
        protocol_.caller_names_requests_ ? protocol_.identity_header_ : protocol_.key_header_;
    r.call_.identity_ = http::find_header(e.request_.headers_, identity_header);
    r.call_.keyed_ = !protocol_.caller_names_requests_ && !r.call_.identity_.empty();
    const retry_rule retries = c.retry_of(r.call_.service_);
    r.max_attempts_ = class_of_route->attempts_ == 0 ? retries.attempts_ : class_of_route->attempts_;
    retry_budget& budget = budgets_[r.call_.service_];
    if (retries.reserve_ > 0)
        budget.set_max(reserve_per_daemon(retries.reserve_));
    budget.earn(retries.budget_);
    set_header(r.call_.request_.headers_, protocol_.caller_service_header_, own_service());
    attempt(r, now, code::no_backend_server);
}

// By weight. If the drawn service has no capacity, the request is refused and not sent to
// another, so that the shares stay as configured.
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

// Random, so that callers that were refused together do not retry together.
duration entry::retry_after()
{
    const double part = random_share(random_);
    return min_retry_after + duration(static_cast<duration::rep>(
                                 part * static_cast<double>((max_retry_after - min_retry_after).count())));
}

// This daemon's part of the retry reserve of the whole fleet.
double entry::reserve_per_daemon(std::uint32_t reserve) const
{
    return static_cast<double>(reserve) / static_cast<double>(alive_daemons());
}

std::size_t entry::alive_daemons() const
{
    const auto alive = std::count_if(view_->members_.begin(), view_->members_.end(),
                                     [](const member& m) { return m.state_ == member_state::alive; });
    return static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, alive));
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

// The version for one call: by the move's share, else by the split rule, else the service rule's.
version_name entry::choose_version(const service_name& service)
{
    const configuration& c = *view_->configuration_;
    const double draw = random_share(random_);
    if (const move_rule* move = c.find_move(service)) {
        const move_fact* known = view_->find_move(move->id());
        // Without a fact the move has not begun, or its withdrawal is not yet known here:
        // no calls go to the new version.
        if (known && draw < share_of(*move, *known) && (known->done_ || may_expose(*move)))
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

const move_rule* entry::open_move(const service_name& service) const
{
    const move_rule* move = view_->configuration_ ? view_->configuration_->find_move(service) : nullptr;
    const move_fact* known = move ? view_->find_move(move->id()) : nullptr;
    return known && !known->done_ ? move : nullptr;
}

bool entry::may_expose(const move_rule& move) const
{
    const auto limit = exposures_.find(move.id());
    return limit == exposures_.end() ||
           limit->second.allows(move, *view_->find_move(move.id()), alive_daemons());
}

void entry::apply_exposure_limit(request_state& r) const
{
    const move_rule* move = open_move(r.call_.service_);
    if (move && r.call_.version_ == move->version_ && !may_expose(*move))
        use_rule_version(r);
}

bool entry::use_rule_version(request_state& r) const
{
    const service_rule* rule = view_->find_service(r.call_.service_);
    if (rule)
        r.call_.version_ = rule->version_;
    return rule != nullptr;
}

void entry::update_exposure_limits()
{
    std::erase_if(exposures_, [this](const auto& item) { return !view_->find_move(item.first); });
    if (!view_->configuration_)
        return;
    for (const move_rule& move : view_->configuration_->moves_)
        if (move.bounded() && view_->find_move(move.id()) && !exposures_.contains(move.id()))
            exposures_.emplace(move.id(), exposure_limit(random_share(random_)));
}

exposure_limit* entry::exposure_limit_of(const request_state& r)
{
    const move_rule* move = open_move(r.call_.service_);
    const auto limit = move ? exposures_.find(move->id()) : exposures_.end();
    return limit == exposures_.end() ? nullptr : &limit->second;
}

std::optional<daemon_name> entry::choose_gate(request_state& r, time_point now)
{
    const auto gate = balancer_.choose(r.call_.service_, r.call_.version_, r.tried_, random_, now);
    if (gate)
        return gate;
    // Nobody serves the version any more, or not yet.
    if (!use_rule_version(r))
        return {};
    return balancer_.choose(r.call_.service_, r.call_.version_, r.tried_, random_, now);
}

void entry::attempt(request_state& r, time_point now, code last_failure)
{
    apply_exposure_limit(r);
    auto gate = choose_gate(r, now);
    // If no untried gate is left, one that was tried gets the request again, unless it
    // must not run twice.
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
    r.ran_ = false;
    r.connection_lost_ = false;
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
    if (exposure_limit* limit = exposure_limit_of(r);
        limit && r.call_.version_ == open_move(r.call_.service_)->version_)
        limit->record_new();
    balancer_.began(gate);
    attempts_[r.call_.id_] = r.exchange_;
    schedule(r, std::min(r.deadline_, now + acknowledgement_timeout));
    actions_.push_back(send_to_gate{gate, outgoing_call(r), false});
}

// The body of a keyed request stays with the call, since a gate compares it with that of an earlier request.
call entry::outgoing_call(request_state& r) const
{
    http::request& request = r.call_.request_;
    r.call_.body_bytes_ = request.body_.size();
    if (r.gate_ == self_ || r.call_.keyed_ || request.body_.size() <= max_inline_body_bytes)
        return r.call_;
    std::string body = std::exchange(request.body_, {});
    call without_body = r.call_;
    request.body_ = std::move(body);
    return without_body;
}

void entry::close_attempt(request_state& r, attempt_end how, time_point now)
{
    if (attempts_.erase(r.call_.id_) == 0)
        return;
    balancer_.ended(r.gate_, how, now - r.sent_, random_, now);
    if (how != attempt_end::answered && how != attempt_end::failed)
        return; // it may not have reached a backend server
    if (exposure_limit* limit = exposure_limit_of(r))
        limit->record_reached();
}

void entry::on(const caller_gone& e, time_point now)
{
    const auto at = requests_.find(e.exchange_);
    if (at == requests_.end())
        return;
    request_state& r = at->second;
    actions_.push_back(send_to_gate{r.gate_, cancel{r.call_.id_}, false});
    close_attempt(r, attempt_end::neutral, now);
    end(r, now, code::caller_gone, 0);
}

void entry::on(const caller_consumed& e, time_point)
{
    const auto at = requests_.find(e.exchange_);
    if (at != requests_.end())
        actions_.push_back(
            send_to_gate{at->second.gate_, answer_consumed{at->second.call_.id_, e.bytes_}, false});
}

void entry::on(const gate_message& e, time_point now)
{
    const call_id id = std::visit([](const auto& m) { return m.id_; }, e.message_);
    auto at = attempts_.find(id);
    if (at == attempts_.end() && !guard_enabled(guard::call_match))
        at = attempts_.begin();
    if (at == attempts_.end())
        return; // late: another attempt has replaced it, or the request has ended
    request_state& r = requests_.at(at->second);
    if (r.gate_ != e.from_)
        return;
    std::visit([&](const auto& m) { receive(r, m, now); }, e.message_);
}

void entry::try_elsewhere(request_state& r, time_point now, code why)
{
    if (now >= r.deadline_)
        return fail(r, now, why);
    const bool costly = why == code::backend_refused;
    if (costly ? !try_spend_retry(r, now) : ++r.redirects_ > max_redirects)
        return fail(r, now, why);
    if (why == code::version_withdrawn) // the gate knew of the withdrawal before this entry
        use_rule_version(r);
    attempt(r, now, why);
}

bool entry::may_spend_retry(const request_state& r, time_point now) const
{
    const auto budget = budgets_.find(r.call_.service_);
    return now < r.deadline_ && r.retries_ + 1 < r.max_attempts_ && budget != budgets_.end() &&
           budget->second.can_spend();
}

bool entry::try_spend_retry(request_state& r, time_point now)
{
    if (!may_spend_retry(r, now))
        return false;
    budgets_.at(r.call_.service_).spend();
    ++r.retries_;
    return true;
}

// A request that must not run twice, or that can't be retried, is fenced when its gate is silent or its
// connection is lost: if it has not run there, it may go to another gate without a retry.
bool entry::needs_fence(const request_state& r, time_point now) const
{
    return !r.fenced_ && !r.answering_ && (r.call_.once_ || !may_spend_retry(r, now));
}

void entry::handle_unknown_outcome(request_state& r, time_point now, code why)
{
    if (r.answering_)
        return abort_reply(r, now);
    close_attempt(r, r.expired_ ? attempt_end::neutral : attempt_end::failed, now);
    r.maybe_ran_ = true;
    if (r.call_.once_ && guard_enabled(guard::unknown_outcome))
        return fail(r, now, code::outcome_unknown);
    if (!try_spend_retry(r, now))
        return fail(r, now, why);
    attempt(r, now, why);
}

void entry::on(const gate_disconnected& e, time_point now)
{
    std::vector<exchange_id> affected;
    for (const auto& [id, r] : requests_)
        if (r.gate_ == e.gate_)
            affected.push_back(id);
    for (const exchange_id id : affected) {
        request_state& r = requests_.at(id);
        r.connection_lost_ = true;
        if (e.replaced_)
            handle_replaced_connection(r, now);
        else if (needs_fence(r, now))
            send_fence(r, now);
        else
            handle_unknown_outcome(r, now, code::outcome_unknown);
    }
}

// The gate lives. An answer that has begun goes on over the newer connection, unless a part was lost; of any
// other request the gate says what became of it.
void entry::handle_replaced_connection(request_state& r, time_point now)
{
    if (r.answering_)
        return;
    if (r.ran_)
        return handle_unknown_outcome(r, now, code::outcome_unknown);
    if (!r.fenced_)
        send_fence(r, now);
}

void entry::send_fence(request_state& r, time_point now)
{
    if (!guard_enabled(guard::fence))
        return handle_unknown_outcome(r, now, code::outcome_unknown);
    r.fenced_ = true;
    schedule(r, std::min(r.deadline_, now + fence_timeout));
    actions_.push_back(send_to_gate{r.gate_, fence{r.call_.id_, r.call_.gate_}, true});
}

void entry::on(const entry_view_changed& e, time_point now)
{
    const bool same = view_ && view_->configuration_ == e.view_->configuration_ &&
                      view_->members_ == e.view_->members_ && view_->moves_ == e.view_->moves_;
    view_ = e.view_;
    if (same)
        return;
    balancer_.set_view(*view_, now);
    update_exposure_limits();
}

void entry::on(const entry_stop& e, time_point)
{
    if (stop_)
        return;
    stop_ = e;
    for (auto& [id, r] : requests_)
        schedule(r, r.due_);
}

bool entry::too_late_to_take(time_point deadline, time_point now) const
{
    return stop_ && deadline > stop_->end_ && now >= std::min(stop_->notice_end_, stop_->end_);
}

void entry::on(const entry_tick&, time_point now)
{
    while (!due_.empty() && due_.begin()->first <= now) {
        request_state& r = requests_.at(due_.begin()->second);
        if (r.expired_)
            handle_unknown_outcome(r, now, code::outcome_unknown);
        else if (now >= r.deadline_ || stop_ended(now))
            expire(r, now);
        else if (r.received_)
            schedule(r, r.deadline_);
        else
            handle_silence(r, now);
    }
}

void entry::handle_silence(request_state& r, time_point now)
{
    balancer_.mark_unresponsive(r.gate_, random_, now);
    if (needs_fence(r, now))
        return send_fence(r, now);
    // The gate may be running the request behind a link that is busy: only its loss ends the wait.
    const bool may_retry = !r.call_.once_ && may_spend_retry(r, now);
    if (r.fenced_ && !may_retry && !gate_lost(r)) {
        // The fence, or its reply, may have been lost with a connection.
        actions_.push_back(send_to_gate{r.gate_, fence{r.call_.id_, r.call_.gate_}, false});
        return schedule(r, std::min(r.deadline_, now + fence_timeout));
    }
    // The fresh connection replaces the unresponsive one for later messages too.
    actions_.push_back(send_to_gate{r.gate_, cancel{r.call_.id_}, true});
    handle_unknown_outcome(r, now, code::outcome_unknown);
}

bool entry::gate_lost(const request_state& r) const
{
    const member* gate = view_->find_member(r.gate_);
    return !gate || gate->incarnation_ != r.call_.gate_ || gate->state_ == member_state::suspect ||
           gate->state_ == member_state::dead;
}

// A request that must not run twice is fenced before it is given up: the gate's reply
// says whether it was still queued, and so has not run, or may have run.
void entry::expire(request_state& r, time_point now)
{
    if (r.call_.once_ && !r.answering_) {
        r.expired_ = true;
        r.fenced_ = true;
        actions_.push_back(send_to_gate{r.gate_, fence{r.call_.id_, r.call_.gate_}, false});
        return schedule(r, now + expired_fence_timeout);
    }
    actions_.push_back(send_to_gate{r.gate_, cancel{r.call_.id_}, false});
    if (r.answering_)
        return abort_reply(r, now);
    const bool in_time = now < r.deadline_; // the stop ends it
    close_attempt(r, in_time ? attempt_end::neutral : attempt_end::failed, now);
    fail(r, now, in_time ? code::outcome_unknown : code::deadline_exceeded);
}

void entry::fail(request_state& r, time_point now, code why)
{
    const code said = r.maybe_ran_ && claims_not_run(why) ? code::outcome_unknown : why;
    http::response answer = error_response(protocol_, said, retry_after());
    set_header(answer.headers_, protocol_.retried_header_, "1");
    const int status = answer.status_;
    actions_.push_back(reply{r.exchange_, std::move(answer), true});
    end(r, now, said, status);
}

// Answers a repeated request with the status of the first one, if known.
void entry::reply_duplicate(request_state& r, time_point now, int earlier_status)
{
    http::response response = error_response(protocol_, code::duplicate_request);
    if (earlier_status != 0)
        set_header(response.headers_, protocol_.earlier_status_header_, std::to_string(earlier_status));
    const int status = response.status_;
    actions_.push_back(reply{r.exchange_, std::move(response), true});
    end(r, now, code::duplicate_request, status);
}

// An answer that can't be completed must not look complete to the caller.
void entry::abort_reply(request_state& r, time_point now)
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

void entry::schedule(request_state& r, time_point due)
{
    due_.erase({r.due_, r.exchange_});
    // After the end of a stop only the reply to a fence is awaited.
    r.due_ = stop_ && !r.expired_ ? std::min(due, stop_->end_) : due;
    due_.emplace(r.due_, r.exchange_);
}

} // namespace guavahaven::decide
