#include "decide/gate/crash_suspects.h"

#include "base/hash.h"

namespace guavahaven::decide {

namespace {

constexpr duration remember_deaths = std::chrono::minutes(30);
constexpr duration remember_answers = std::chrono::minutes(10);
constexpr duration forget_interval = std::chrono::seconds(10);
constexpr std::size_t suspects_most = 1'024;
constexpr std::size_t answers_most = 8'192; // fingerprints that were answered lately

} // namespace

std::uint64_t fingerprint(const http::request& r)
{
    return hash(r.body_, hash(r.target_, hash(r.method_)));
}

bool suspects::note(const crash_report& report, time_point now)
{
    const bool full = deaths_.size() >= suspects_most && !deaths_.contains(report.fingerprint_);
    if (full || answered_.contains(report.fingerprint_))
        return false;
    known& k = deaths_[report.fingerprint_];
    k.latest_ = now;
    return k.deaths_.insert(report).second;
}

void suspects::answered(std::uint64_t fingerprint, time_point now)
{
    deaths_.erase(fingerprint);
    if (answered_.size() < answers_most || answered_.contains(fingerprint))
        answered_[fingerprint] = now;
}

bool suspects::refused(std::uint64_t fingerprint) const
{
    const auto at = deaths_.find(fingerprint);
    return at != deaths_.end() && at->second.deaths_.size() >= deaths_to_refuse;
}

void suspects::forget(time_point now)
{
    if (now < next_forget_)
        return;
    next_forget_ = now + forget_interval;
    std::erase_if(deaths_, [now](const auto& d) { return d.second.latest_ + remember_deaths <= now; });
    std::erase_if(answered_, [now](const auto& a) { return a.second + remember_answers <= now; });
}

} // namespace guavahaven::decide
