#include "main/demo/tally.h"

namespace guavahaven::demo {

namespace {

void add_wrong(tally& t, std::size_t count, const std::string& what)
{
    if (count > 0)
        t.wrong_.push_back(std::to_string(count) + " " + what);
}

} // namespace

tally count(const std::vector<support::sent_request>& sent,
            const std::vector<support::journal_entry>& journal)
{
    std::map<std::string, std::size_t> runs;
    for (const support::journal_entry& e : journal)
        runs[e.identity_] += e.event_ == "run" ? 1 : 0;
    tally t;
    std::map<std::string, std::size_t> failed; // by result
    std::size_t unrun = 0;
    std::size_t crossed = 0;
    std::size_t doubled = 0;
    for (const support::sent_request& s : sent) {
        class_tally& of_class = t.classes_[s.class_];
        ++of_class.sent_;
        doubled += s.method_ == "POST" && runs[s.key_] > 1 ? 1 : 0;
        if (s.status_ == 200) {
            ++of_class.answered_;
            unrun += runs[s.key_] == 0 ? 1 : 0;
            crossed += s.echo_ == s.target_ ? 0 : 1;
        }
        else if (s.result_ == code::deadline_exceeded)
            ++of_class.late_;
        else
            ++failed[std::string(name(s.result_))];
    }
    add_wrong(t, unrun, "requests were answered, yet lost: no backend server has run them");
    add_wrong(t, crossed, "requests got the answer to another request");
    add_wrong(t, doubled, "confirmations ran more than once");
    for (const auto& [result, times] : failed)
        add_wrong(t, times, "requests failed: " + result);
    return t;
}

} // namespace guavahaven::demo
