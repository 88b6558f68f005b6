#include "decide/membership/failure_detector.h"

namespace guavahaven::decide {

namespace {

constexpr duration max_silence = std::chrono::milliseconds(2500); // more than two heartbeats
constexpr duration probe_timeout = std::chrono::milliseconds(1500);
constexpr duration watch_timeout =
    std::chrono::seconds(6); // more than max_silence and probe_timeout together

} // namespace

void failure_detector::record_contact(const daemon_name& name, time_point now)
{
    const auto at = watched_.find(name);
    if (at == watched_.end())
        return;
    at->second.last_contact_ = now;
    at->second.probe_pending_ = false;
}

void failure_detector::start_watching(const daemon_name& name, time_point now)
{
    const auto [at, inserted] = watched_.try_emplace(name);
    if (inserted)
        at->second.last_contact_ = now;
    at->second.watched_until_ = now + watch_timeout;
}

void failure_detector::stop_watching(const daemon_name& name, time_point now)
{
    const auto at = watched_.find(name);
    if (at != watched_.end())
        at->second.watched_until_ = now;
}

void failure_detector::request_probe(const daemon_name& name, time_point now)
{
    const auto [at, inserted] = watched_.try_emplace(name);
    if (inserted)
        at->second.last_contact_ = now - max_silence;
    at->second.watched_until_ = now + watch_timeout;
}

detector_step failure_detector::tick(const std::vector<daemon_name>& neighbours, time_point now)
{
    for (auto& [name, w] : watched_)
        w.neighbour_ = false;
    for (const daemon_name& name : neighbours) {
        const auto [at, inserted] = watched_.try_emplace(name);
        if (inserted)
            at->second.last_contact_ = now;
        at->second.neighbour_ = true;
    }
    detector_step step;
    for (auto at = watched_.begin(); at != watched_.end();) {
        watched& w = at->second;
        const bool unanswered = w.probe_pending_ && now - w.probe_sent_ > probe_timeout;
        if (unanswered)
            step.suspect_.push_back(at->first);
        if (unanswered || (!w.neighbour_ && !w.probe_pending_ && w.watched_until_ < now)) {
            at = watched_.erase(at);
            continue;
        }
        if (!w.probe_pending_ && now - w.last_contact_ >= max_silence) {
            w.probe_pending_ = true;
            w.probe_sent_ = now;
            step.probe_.push_back(at->first);
        }
        ++at;
    }
    return step;
}

void failure_detector::resume(time_point now)
{
    for (auto& [name, w] : watched_) {
        w.last_contact_ = now;
        w.probe_pending_ = false;
    }
}

} // namespace guavahaven::decide
