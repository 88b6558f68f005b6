// The entry's decisions on what gates answer.

#include "decide/entry/entry.h"

namespace guavahaven::decide {

namespace {

constexpr int status_shed = 503; // the backend server had no room, or none of its own

// What a refusal says of the gate.
attempt_end end_of(code refused)
{
    if (refused == code::limit_reached)
        return attempt_end::dropped;
    if (refused == code::backend_refused)
        return attempt_end::failed;
    return refused == code::overloaded || refused == code::deadline_exceeded ? attempt_end::refused
                                                                             : attempt_end::unreachable;
}

} // namespace

void entry::take(request_state& r, const receipt&, time_point)
{
    if (r.expired_)
        return;
    r.received_ = true;
    wake_at(r, r.deadline_);
}

void entry::take(request_state& r, const answer& m, time_point now)
{
    balancer_.reported(r.gate_, m.load_, now);
    if (r.answering_)
        return; // doubled
    const bool shed = m.response_.status_ == status_shed;
    const bool settled = r.call_.once_ || !m.complete_ || !shed ||
                         !http::find_header(m.response_.headers_, protocol_.retried_header_).empty();
    if (!settled && may_retry(r, now)) {
        close_attempt(r, attempt_end::failed, now);
        r.maybe_ran_ = true;
        return attempt(r, now, code::backend_failed);
    }
    r.received_ = true;
    r.answering_ = true;
    r.passed_ = m.response_.body_.size();
    http::response whole = m.response_;
    set_header(whole.headers_, protocol_.result_header_, "0");
    if (failed(whole))
        set_header(whole.headers_, protocol_.retried_header_, "1");
    const attempt_end how = failed(whole) ? attempt_end::failed : attempt_end::answered;
    r.status_ = whole.status_;
    actions_.push_back(reply{r.exchange_, std::move(whole), m.complete_});
    if (!m.complete_)
        return wake_at(r, r.deadline_);
    close_attempt(r, how, now);
    end(r, now, code::ok, r.status_);
}

void entry::take(request_state& r, const answer_part& m, time_point now)
{
    if (!r.answering_ || m.offset_ < r.passed_)
        return; // doubled
    if (m.offset_ > r.passed_)
        return cut(r, now); // a part between was lost
    r.passed_ += m.bytes_.size();
    actions_.push_back(reply_part{r.exchange_, m.bytes_, m.complete_});
    if (!m.complete_)
        return;
    close_attempt(r, attempt_end::answered, now);
    end(r, now, code::ok, r.status_);
}

void entry::take(request_state& r, const refusal& m, time_point now)
{
    if (m.code_ != code::peer_unreachable) // it has come from the gate itself
        balancer_.reported(r.gate_, m.load_, now);
    if (r.answering_)
        return;
    if (m.code_ == code::duplicate_request || m.code_ == code::suspect_request) {
        close_attempt(r, attempt_end::dropped, now);
        return m.code_ == code::suspect_request ? fail(r, now, m.code_)
                                                : tell_duplicate(r, now, m.earlier_status_);
    }
    close_attempt(r, end_of(m.code_), now);
    if (m.code_ == code::deadline_exceeded) // it has only waited there
        return fail(r, now, code::not_run);
    try_elsewhere(r, now, m.code_);
}

void entry::take(request_state& r, const broken& m, time_point now)
{
    balancer_.reported(r.gate_, m.load_, now);
    settle_broken(r, now, m.code_);
}

void entry::take(request_state& r, const fence_verdict& m, time_point now)
{
    if (!r.fenced_)
        return; // doubled, or settled otherwise
    switch (m.fate_) {
    case fate::never_ran:
        if (r.answering_)
            return;
        close_attempt(r, r.expired_ ? attempt_end::dropped : attempt_end::unreachable, now);
        return r.expired_ ? fail(r, now, code::not_run) : try_elsewhere(r, now, code::not_run);
    case fate::ran:
    case fate::unknown:
        return settle_broken(r, now, code::outcome_unknown);
    case fate::running:
        if (r.expired_)
            return settle_broken(r, now, code::outcome_unknown);
        r.received_ = true;
        r.fenced_ = false;
        return wake_at(r, r.deadline_);
    }
}

} // namespace guavahaven::decide
