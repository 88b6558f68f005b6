#include "decide/membership/failure_detector.h"

namespace guavahaven::decide {

namespace {

constexpr duration silent_before_probe = std::chrono::milliseconds(2500); // more than two heartbeats
constexpr duration probe_timeout = std::chrono::milliseconds(1500);
constexpr duration keep_choice = std::chrono::seconds(6); // more than the silence and the probe together

} // namespace

void failure_detector::heard_from(const daemon_name& name, time_point now)
{
    const auto at = watched_.find(name);
    if (at == watched_.end())
        return;
    at->second.heard_ = now;
    at->second.probing_ = false;
}

void failure_detector::chosen_by(const daemon_name& name, time_point now)
{
    const auto [at, fresh] = watched_.try_emplace(name);
    if (fresh)
        at->second.heard_ = now;
    at->second.until_ = now + keep_choice;
}

void failure_detector::no_longer_chosen_by(const daemon_name& name, time_point now)
{
    const auto at = watched_.find(name);
    if (at != watched_.end())
        at->second.until_ = now;
}

void failure_detector::doubt(const daemon_name& name, time_point now)
{
    const auto [at, fresh] = watched_.try_emplace(name);
    if (fresh)
        at->second.heard_ = now - silent_before_probe;
    at->second.until_ = now + keep_choice;
}

detector_step failure_detector::tick(const std::vector<daemon_name>& neighbours, time_point now)
{
    for (auto& [name, w] : watched_)
        w.neighbour_ = false;
    for (const daemon_name& name : neighbours) {
        const auto [at, fresh] = watched_.try_emplace(name);
        if (fresh)
            at->second.heard_ = now;
        at->second.neighbour_ = true;
    }
    detector_step step;
    for (auto at = watched_.begin(); at != watched_.end();) {
        watched& w = at->second;
        const bool unanswered = w.probing_ && now - w.probed_ > probe_timeout;
        if (unanswered)
            step.suspect_.push_back(at->first);
        if (unanswered || (!w.neighbour_ && !w.probing_ && w.until_ < now)) {
            at = watched_.erase(at);
            continue;
        }
        if (!w.probing_ && now - w.heard_ >= silent_before_probe) {
            w.probing_ = true;
            w.probed_ = now;
            step.probe_.push_back(at->first);
        }
        ++at;
    }
    return step;
}

void failure_detector::resume(time_point now)
{
    for (auto& [name, w] : watched_) {
        w.heard_ = now;
        w.probing_ = false;
    }
}

} // namespace guavahaven::decide
