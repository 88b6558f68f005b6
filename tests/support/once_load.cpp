#include "support/once_load.h"

#include <map>

#include "decide/entry/entry.h"

namespace guavahaven::support {

namespace {

constexpr duration answer_timeout = std::chrono::seconds(4);
constexpr duration pause_before_repeat = std::chrono::milliseconds(150);
constexpr duration pause_between_requests = std::chrono::milliseconds(4);
constexpr std::size_t blind_attempts = 3;
constexpr int first_code_of_calls = 400; // result codes below are no refusals of calls

told judge(const result<http::response>& r)
{
    if (!ok(r))
        return told::unknown;
    const http::headers& headers = value(r).headers_;
    const std::string text = http::find_header(headers, decide::caller_protocol().result_header_);
    const int number = text.empty() ? 0 : std::stoi(text);
    if (number == 0)
        return value(r).status_ == 200 ? told::done : told::unknown;
    const auto why = static_cast<code>(number);
    if (why == code::duplicate_request)
        return http::find_header(headers, decide::caller_protocol().earlier_status_header_) == "200"
                   ? told::done
                   : told::unknown;
    if (why == code::outcome_unknown || why == code::answer_incomplete || why == code::backend_failed)
        return told::unknown;
    return number >= first_code_of_calls ? told::not_run : told::unknown;
}

// A number of callers on one event loop, each with one request at a time.
class once_load {
public:
    once_load(once_plan plan, duration time)
        : plan_(std::move(plan)), random_(plan_.seed_), end_(clock_.now() + time)
    {
        for (const http::address& at : plan_.entries_)
            entries_.push_back(std::make_unique<http::client>(loop_, at, plan_.at_once_ * 2,
                                                              error{code::peer_unreachable, ""}));
        for (std::size_t i = 0; i < plan_.at_once_; ++i)
            callers_.push_back(std::make_unique<caller>(*this));
    }

    std::vector<once_request> run()
    {
        for (const auto& c : callers_)
            begin(*c);
        loop_.run();
        return requests_;
    }

private:
    struct caller {
        explicit caller(once_load& load) : timer_(load.loop_, [this, &load] { load.send(*this); }) {}
        once_request request_;
        std::string key_;
        timer timer_;
    };

    void begin(caller& c)
    {
        if (clock_.now() >= end_) {
            if (++finished_ == callers_.size())
                loop_.stop();
            return;
        }
        const std::string number = std::to_string(plan_.seed_) + "-" + std::to_string(++last_);
        c.request_ = {plan_.path_ + number, random_index(random_, 2) == 0, told::unknown, 0, false};
        c.key_ = "key-" + number;
        c.timer_.arm(pause_between_requests);
    }

    void send(caller& c)
    {
        http::request r{"POST", c.request_.path_, {}, "maria"};
        if (c.request_.keyed_)
            r.headers_.push_back({decide::caller_protocol().key_header_, c.key_});
        ++c.request_.attempts_;
        http::client& entry = *entries_[random_index(random_, entries_.size())];
        entry.send(r, answer_timeout, [this, &c](const result<http::response>& answer) { take(c, answer); });
    }

    void take(caller& c, const result<http::response>& answer)
    {
        once_request& r = c.request_;
        r.last_ = judge(answer);
        r.ever_unknown_ = r.ever_unknown_ || r.last_ == told::unknown;
        if (may_repeat(r))
            return c.timer_.arm(pause_before_repeat);
        requests_.push_back(r);
        begin(c);
    }

    // Without a key only what has surely not run may be sent again.
    bool may_repeat(const once_request& r) const
    {
        if (r.last_ == told::done)
            return false;
        if (plan_.repeat_blindly_)
            return r.attempts_ < blind_attempts;
        return r.attempts_ <= plan_.repeats_ && (r.keyed_ || r.last_ == told::not_run);
    }

    once_plan plan_;
    random_engine random_;
    event_loop loop_;
    runtime_clock clock_;
    time_point end_;
    std::vector<std::unique_ptr<http::client>> entries_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<once_request> requests_;
    std::uint64_t last_ = 0;
    std::size_t finished_ = 0;
};

} // namespace

std::vector<once_request> send_once_load(const once_plan& plan, duration time)
{
    return once_load(plan, time).run();
}

once_counts count_once(const std::vector<once_request>& requests, const std::vector<journal_entry>& journal)
{
    std::map<std::string, std::size_t> runs;
    for (const journal_entry& e : journal)
        if (e.event_ == "run")
            ++runs[e.path_];
    once_counts counts;
    for (const once_request& r : requests) {
        const std::size_t times = runs.contains(r.path_) ? runs.at(r.path_) : 0;
        ++counts.requests_;
        counts.run_twice_ += times > 1 ? 1 : 0;
        counts.lost_ += r.last_ == told::done && times == 0 ? 1 : 0;
        counts.false_not_run_ += r.last_ == told::not_run && !r.ever_unknown_ && times > 0 ? 1 : 0;
        counts.unknown_ += r.last_ == told::unknown ? 1 : 0;
        counts.refused_ += r.last_ == told::not_run ? 1 : 0;
        counts.done_ += r.last_ == told::done ? 1 : 0;
    }
    return counts;
}

} // namespace guavahaven::support
