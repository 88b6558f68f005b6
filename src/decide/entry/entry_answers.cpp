// Handling of the gates' messages by the entry.

#include "decide/entry/entry.h"

namespace guavahaven::decide {

namespace {

constexpr int status_shed = 503; // the backend server, or one that it calls, had no capacity

// What a refusal says about the gate.
attempt_end end_of(code refused)
{
    if (refused == code::limit_reached)
        return attempt_end::neutral;
    if (refused == code::backend_refused)
        return attempt_end::failed;
    return refused == code::overloaded || refused == code::deadline_exceeded ? attempt_end::refused
                                                                             : attempt_end::unreachable;
}

} // namespace

void entry::receive(request_state& r, const call_ack&, time_point)
{
    if (r.expired_)
        return;
    r.received_ = true;
    schedule(r, r.deadline_);
}

void entry::receive(request_state& r, const body_grant& m, time_point)
{
    const std::string& body = r.call_.request_.body_;
    if (m.offset_ >= body.size() || m.bytes_ > body.size())
        return;
    actions_.push_back(
        send_to_gate{r.gate_, body_part{m.id_, m.offset_, body.substr(m.offset_, m.bytes_)}, false});
}

void entry::receive(request_state& r, const answer& m, time_point now)
{
    balancer_.reported(r.gate_, m.load_, now);
    if (r.answering_)
        return; // duplicate message
    const bool shed = m.response_.status_ == status_shed;
    const bool is_final = r.call_.once_ || !m.complete_ || !shed ||
                          !http::find_header(m.response_.headers_, protocol_.retried_header_).empty();
    if (!is_final && try_spend_retry(r, now)) {
        close_attempt(r, attempt_end::failed, now);
        r.maybe_ran_ = true;
        return attempt(r, now, code::backend_failed);
    }
    r.received_ = true;
    r.answering_ = true;
    r.bytes_passed_ = m.response_.body_.size();
    http::response whole = m.response_;
    set_header(whole.headers_, protocol_.result_header_, "0");
    if (failed(whole))
        set_header(whole.headers_, protocol_.retried_header_, "1");
    const attempt_end how = failed(whole) ? attempt_end::failed : attempt_end::answered;
    r.status_ = whole.status_;
    actions_.push_back(reply{r.exchange_, std::move(whole), m.complete_});
    if (!m.complete_)
        return schedule(r, r.deadline_);
    close_attempt(r, how, now);
    end(r, now, code::ok, r.status_);
}

void entry::receive(request_state& r, const answer_part& m, time_point now)
{
    if (!r.answering_ || m.offset_ < r.bytes_passed_)
        return; // duplicate message
    if (m.offset_ > r.bytes_passed_)
        return abort_reply(r, now); // a part in between was lost
    r.bytes_passed_ += m.bytes_.size();
    actions_.push_back(reply_part{r.exchange_, m.bytes_, m.complete_});
    if (!m.complete_)
        return;
    close_attempt(r, attempt_end::answered, now);
    end(r, now, code::ok, r.status_);
}

void entry::receive(request_state& r, const refusal& m, time_point now)
{
    if (m.code_ != code::peer_unreachable) // the gate itself sent it
        balancer_.reported(r.gate_, m.load_, now);
    if (r.answering_)
        return;
    if (m.code_ == code::duplicate_request || m.code_ == code::suspect_request) {
        close_attempt(r, attempt_end::neutral, now);
        return m.code_ == code::suspect_request ? fail(r, now, m.code_)
                                                : reply_duplicate(r, now, m.earlier_status_);
    }
    close_attempt(r, end_of(m.code_), now);
    if (m.code_ == code::deadline_exceeded) // it was only queued there
        return fail(r, now, code::not_run);
    try_elsewhere(r, now, m.code_);
}

void entry::receive(request_state& r, const run_failure& m, time_point now)
{
    balancer_.reported(r.gate_, m.load_, now);
    handle_unknown_outcome(r, now, m.code_);
}

void entry::receive(request_state& r, const fence_reply& m, time_point now)
{
    if (!r.fenced_)
        return; // duplicate message, or the attempt has been settled already
    switch (m.run_status_) {
    case run_status::never_ran:
        if (r.answering_)
            return;
        close_attempt(r, r.expired_ ? attempt_end::neutral : attempt_end::unreachable, now);
        return r.expired_ ? fail(r, now, code::not_run) : try_elsewhere(r, now, code::not_run);
    case run_status::ran:
        // The answer was sent before the reply, over the connection that was silent, and may still arrive.
        if (r.expired_ || r.connection_lost_ || !(r.call_.once_ || r.answering_))
            return handle_unknown_outcome(r, now, code::outcome_unknown);
        r.received_ = true;
        r.ran_ = true;
        return schedule(r, r.deadline_);
    case run_status::unknown:
        return handle_unknown_outcome(r, now, code::outcome_unknown);
    case run_status::running:
        if (r.expired_)
            return handle_unknown_outcome(r, now, code::outcome_unknown);
        r.received_ = true;
        r.fenced_ = false;
        return schedule(r, r.deadline_);
    }
}

} // namespace guavahaven::decide
