#include "decide/gate/crash_suspects.h"

#include "base/hash.h"

namespace guavahaven::decide {

namespace {

constexpr duration suspect_retention = std::chrono::minutes(30);
constexpr duration answer_retention = std::chrono::minutes(10);
constexpr duration cleanup_interval = std::chrono::seconds(10);
constexpr std::size_t max_suspects = 1'024;
constexpr std::size_t max_answered = 8'192; // fingerprints answered recently

} // namespace

std::uint64_t fingerprint(const http::request& r)
{
    return hash(r.body_, hash(r.target_, hash(r.method_)));
}

bool crash_suspects::record(const crash_report& report, time_point now)
{
    const bool full = suspects_.size() >= max_suspects && !suspects_.contains(report.fingerprint_);
    if (full || answered_.contains(report.fingerprint_))
        return false;
    suspect& entry = suspects_[report.fingerprint_];
    entry.last_crash_ = now;
    return entry.crashes_.insert(report).second;
}

void crash_suspects::answered(std::uint64_t fingerprint, time_point now)
{
    suspects_.erase(fingerprint);
    if (answered_.size() < max_answered || answered_.contains(fingerprint))
        answered_[fingerprint] = now;
}

bool crash_suspects::refused(std::uint64_t fingerprint) const
{
    const auto at = suspects_.find(fingerprint);
    return at != suspects_.end() && at->second.crashes_.size() >= crashes_before_refusal;
}

void crash_suspects::forget_expired(time_point now)
{
    if (now < next_cleanup_)
        return;
    next_cleanup_ = now + cleanup_interval;
    std::erase_if(suspects_,
                  [now](const auto& d) { return d.second.last_crash_ + suspect_retention <= now; });
    std::erase_if(answered_, [now](const auto& a) { return a.second + answer_retention <= now; });
}

} // namespace guavahaven::decide
