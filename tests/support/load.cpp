#include "support/load.h"

#include <algorithm>
#include <charconv>

#include "decide/caller_protocol.h"

namespace guavahaven::support {

namespace {

sent_request record(sent_request s, const result<http::response>& outcome)
{
    if (!ok(outcome))
        return s;
    s.status_ = value(outcome).status_;
    s.result_ = told_result(value(outcome), code::outcome_unknown);
    s.body_ = value(outcome).body_;
    s.echo_ = http::find_header(value(outcome).headers_, "Ran-Target");
    return s;
}

} // namespace

code told_result(const http::response& r, code otherwise)
{
    const std::string text = http::find_header(r.headers_, decide::caller_protocol().result_header_);
    int number = 0;
    const auto [stop, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failed == std::errc() ? static_cast<code>(number) : otherwise;
}

load::load(load_plan plan) : plan_(std::move(plan)), thread_([this] { run(); }) {}

load::~load()
{
    stop();
}

std::vector<sent_request> load::stop()
{
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
    return sent_;
}

void load::run()
{
    while (!stopping_) {
        send_batch();
        std::this_thread::sleep_for(plan_.pause_);
    }
}

void load::send_batch()
{
    std::vector<sent_request> batch;
    std::vector<http::request> requests;
    for (std::size_t i = 0; i < plan_.at_once_; ++i) {
        const request_kind& kind = plan_.kinds_[next_ % plan_.kinds_.size()];
        const std::string key = plan_.name_ + "-" + std::to_string(next_++);
        const std::string path = kind.path_.ends_with('/') ? kind.path_ + key : kind.path_;
        const std::string target = kind.query_.empty() ? path : path + "?" + kind.query_;
        for (std::size_t copy = 0; copy < plan_.repeats_; ++copy) {
            batch.push_back({key, kind.class_, kind.method_, target, 0, code::peer_unreachable, "", ""});
            requests.push_back({kind.method_, target, {}, ""});
            if (plan_.keyed_)
                requests.back().headers_.push_back({"Idempotency-Key", key});
        }
    }
    // The entry at which each request enters moves on by one from batch to batch.
    std::vector<http::address> entries = plan_.entries_;
    const std::size_t first = (next_ / plan_.at_once_) % entries.size();
    std::rotate(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(first), entries.end());
    for (const timed_response& t : fetch_all(entries, requests, requests.size(), plan_.timeout_))
        sent_.push_back(record(batch.at(t.index_), t.response_));
    count_ = sent_.size();
}

bool says_not_run(const sent_request& s)
{
    switch (s.result_) {
    case code::no_backend_server:
    case code::overloaded:
    case code::not_run:
    case code::draining:
    case code::data_center_out:
    case code::starting:
    case code::version_withdrawn:
    case code::limit_reached:
    case code::backend_unreachable:
        return s.status_ != 0;
    default:
        return false;
    }
}

} // namespace guavahaven::support
