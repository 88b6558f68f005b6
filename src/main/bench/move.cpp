// move: good and bad versions moved under load, against the plain baseline of a
// fixed ramp by time, which runs beside it on a mesh of its own.

#include <algorithm>
#include <ctime>
#include <future>
#include <iostream>
#include <thread>

#include "base/random.h"
#include "main/bench/experiment.h"
#include "support/mesh.h"
#include "support/paced_load.h"

namespace guavahaven::bench {

namespace {

constexpr std::chrono::seconds move_length{18};
constexpr std::chrono::seconds seen_after_end{2}; // for requests that still reach a withdrawn version
constexpr double requests_per_second = 160;
constexpr std::uint64_t second_us = 1'000'000;
constexpr std::uint64_t bad_runs_shown = 10;     // after which its badness has shown
constexpr std::uint64_t soon_us = 3 * second_us; // after which it should get nothing
constexpr std::uint64_t share_window_us = 2 * second_us;
constexpr std::uint64_t seeds_by_default = 2;
constexpr const char* bad_path = "/board/week";

// What happens in one run. Times are parts of the move's length.
struct scenario {
    const char* name_;
    bool bad_ = false;
    const char* fault_ = ""; // of the new version's backend servers
    double fault_at_ = 0;
    bool platform_down_ = false;
    bool slow_data_center_ = false; // for both versions
    bool cold_ = false;             // the new version's backend servers start cold
};

constexpr scenario scenarios[] = {
    {"good"},
    {"good_platform_down", false, "", 0, true, false, false},
    {"good_data_center_slow", false, "", 0, false, true, false},
    {"good_cold", false, "", 0, false, false, true},
    {"failing", true, "fail=100", 0, false, false, false},
    {"failing_some", true, "fail=40", 0, false, false, false},
    {"slow", true, "slow_ms=600", 0, false, false, false},
    {"failing_later", true, "fail=100", 0.6, false, false, false},
    {"slow_later", true, "slow_ms=600", 0.6, false, false, false},
    {"failing_under_load", true, "fail=100&only_above=1", 0, false, false, false},
    {"failing_one_route", true, "fail=100&fail_path=/board/week", 0, false, false, false},
    {"failing_platform_down", true, "fail=100", 0.3, true, false, false},
    {"failing_data_center_slow", true, "fail=60", 0.3, false, true, false},
};

struct outcome {
    std::string state_;
    std::string reason_;
    double ended_s_ = -1;        // after acceptance; -1 if the move did not end
    std::uint64_t requests_ = 0; // runs of both versions
    std::uint64_t new_runs_ = 0;
    double share_max_ = 0; // of the new version within a window
    double after_shown_share_ = 0;
    std::uint64_t over_capacity_ = 0; // runs above what cold backend servers bear
    std::uint64_t caller_failures_ = 0;
};

std::uint64_t now()
{
    return static_cast<std::uint64_t>(runtime_clock().wall().time_since_epoch().count());
}

std::string base_rules()
{
    return "class   lookup deadline 2s            # bench\n"
           "service board  version v1             # bench\n"
           "route GET /board/* to board as lookup # bench\n"
           "route GET /board/week to board as lookup # bench\n";
}

std::string move_rules()
{
    const std::time_t at =
        std::chrono::system_clock::to_time_t(std::chrono::system_clock::now() + move_length);
    std::tm fields{};
    gmtime_r(&at, &fields);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &fields);
    return base_rules() + "move board to v2 by " + std::string(text, length) + " from 5% # bench\n";
}

std::string split_rules(int percent)
{
    return base_rules() + "split board v1 " + std::to_string(100 - percent) + "% v2 " +
           std::to_string(percent) + "% # bench\n";
}

// Four data centres with both versions in each.
support::mesh_plan plan(const scenario& s, std::uint64_t seed)
{
    support::mesh_plan p;
    for (const char* data_center : {"leon", "queretaro", "celaya", "irapuato"}) {
        for (const char* version : {"v1", "v2"}) {
            std::vector<std::string> options{"--work-ms=20", "--seed=" + std::to_string(seed)};
            if (s.cold_ && std::string(version) == "v2")
                options.insert(options.end(), {"--cold-ms=4000", "--cold-slots=2"});
            p.nodes_.push_back({data_center, "board", version, options});
        }
    }
    return p;
}

void set_version(support::mesh& mesh, const std::string& version, const std::string& fault)
{
    for (const support::node& n : mesh.nodes())
        if (n.plan().version_ == version)
            n.set_backend(fault);
}

void set_data_center(support::mesh& mesh, const std::string& fault)
{
    for (const support::node& n : mesh.nodes())
        if (n.plan().data_center_ == "celaya")
            n.set_backend(fault);
}

operators::move_report report_of(support::mesh& mesh, std::size_t node)
{
    const auto s = mesh.at(node).status();
    return ok(s) && !value(s).moves_.empty() ? value(s).moves_.front() : operators::move_report{};
}

// Fixed shares by time, whatever the version does.
void ramp_by_time(support::mesh& mesh, double part, int& applied)
{
    constexpr std::pair<double, int> ramp[] = {{0.2, 15}, {0.4, 40}, {0.6, 90}, {0.9, 100}};
    int due = 5;
    for (const auto& [from, percent] : ramp)
        if (part >= from)
            due = percent;
    if (due == applied)
        return;
    applied = due;
    mesh.apply(split_rules(due));
}

void count(outcome& o, const std::vector<support::journal_entry>& journal, const scenario& s,
           std::uint64_t from, std::uint64_t fault_at)
{
    const bool slow = std::string(s.fault_).starts_with("slow");
    std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> windows; // runs, of these new
    std::uint64_t bad = 0;
    std::uint64_t shown = 0;
    std::uint64_t after = 0;
    std::uint64_t after_new = 0;
    for (const support::journal_entry& e : journal) {
        if (e.at_ < from)
            continue;
        const bool is_new = e.version_ == "v2";
        o.over_capacity_ += e.event_ == "over" ? 1 : 0;
        const bool is_bad = is_new && e.at_ >= fault_at && e.event_ == (slow ? "run" : "failed");
        if (s.bad_ && is_bad && ++bad == bad_runs_shown)
            shown = e.at_;
        if (e.event_ != "run")
            continue;
        ++o.requests_;
        o.new_runs_ += is_new ? 1 : 0;
        auto& [runs, of_new] = windows[(e.at_ - from) / share_window_us];
        ++runs;
        of_new += is_new ? 1 : 0;
        if (shown != 0 && e.at_ > shown + soon_us) {
            ++after;
            after_new += is_new ? 1 : 0;
        }
    }
    for (const auto& [window, runs] : windows)
        o.share_max_ =
            std::max(o.share_max_, static_cast<double>(runs.second) / static_cast<double>(runs.first));
    if (after > 0)
        o.after_shown_share_ = static_cast<double>(after_new) / static_cast<double>(after);
}

outcome run(const scenario& s, std::uint64_t seed, bool judged)
{
    support::mesh mesh(plan(s, seed));
    mesh.apply(base_rules());
    mesh.wait_ready(1);
    support::paced_plan load;
    for (const support::node& n : mesh.nodes())
        load.entries_.push_back(n.callers());
    for (const char* path : {"/board/today", bad_path})
        load.kinds_.push_back({"lookup", {"GET", path, {}, ""}, std::chrono::seconds(2)});
    load.per_second_ = requests_per_second;
    load.keys_ = std::to_string(seed);
    support::paced_load callers(load);

    random_engine random(seed);
    const double jitter = 0.05 * random_share(random);
    const std::uint64_t began = now();
    const auto length = static_cast<double>(std::chrono::microseconds(move_length).count());
    const std::uint64_t fault_at = began + static_cast<std::uint64_t>((s.fault_at_ + jitter) * length);
    if (judged)
        mesh.apply(move_rules());
    int applied = 0;
    bool faulty = false;
    bool disturbed = false;
    outcome o;
    const std::uint64_t last = began + static_cast<std::uint64_t>(length) + 2 * second_us;
    while (now() < last) {
        const double part = static_cast<double>(now() - began) / length;
        if (!judged)
            ramp_by_time(mesh, part, applied);
        if (s.bad_ && !faulty && now() >= fault_at) {
            faulty = true;
            set_version(mesh, "v2", s.fault_);
        }
        const bool disturb = part > 0.25 && part < 0.6;
        if (disturb != disturbed && s.platform_down_)
            mesh.set_platform(disturb ? "outage=1" : "outage=0");
        if (disturb != disturbed && s.slow_data_center_)
            set_data_center(mesh, disturb ? "slow_ms=600" : "slow_ms=0");
        disturbed = disturb;
        const operators::move_report report = judged ? report_of(mesh, 0) : operators::move_report{};
        if (report.state_ == "done" || report.state_ == "taken back") {
            o.state_ = report.state_;
            o.reason_ = report.reason_;
            o.ended_s_ = static_cast<double>(now() - began) / second_us;
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    std::this_thread::sleep_for(seen_after_end);
    for (const support::paced_outcome& c : callers.stop())
        o.caller_failures_ += c.status_ != 200 ? 1 : 0;
    count(o, mesh.journal(), s, began, fault_at);
    return o;
}

nlohmann::json to_json(const outcome& o)
{
    return {{"state", o.state_},
            {"reason", o.reason_},
            {"ended_s", o.ended_s_},
            {"requests", o.requests_},
            {"new_runs", o.new_runs_},
            {"share_max", o.share_max_},
            {"after_shown_share", o.after_shown_share_},
            {"over_capacity", o.over_capacity_},
            {"caller_failures", o.caller_failures_}};
}

nlohmann::json move(const options& o)
{
    const std::uint64_t seeds = o.size_ == 0 ? seeds_by_default : o.size_;
    std::uint64_t good = 0;
    std::uint64_t good_done = 0;
    std::uint64_t bad = 0;
    std::uint64_t bad_withdrawn = 0;
    std::uint64_t requests = 0;
    std::uint64_t bad_runs = 0;
    std::uint64_t bad_runs_plain = 0;
    double share_max = 0;
    double share_max_plain = 0;
    double after_shown = 0;
    double after_shown_plain = 0;
    nlohmann::json runs = nlohmann::json::array();
    for (std::uint64_t seed = o.seed_; seed < o.seed_ + seeds; ++seed) {
        for (const scenario& s : scenarios) {
            // Baseline only where versions are bad: a good one is always done by it.
            auto plain =
                std::async(std::launch::async, [&] { return s.bad_ ? run(s, seed, false) : outcome{}; });
            const outcome judged = run(s, seed, true);
            const outcome by_time = plain.get();
            requests += judged.requests_;
            (s.bad_ ? bad : good) += 1;
            good_done += !s.bad_ && judged.state_ == "done" ? 1 : 0;
            bad_withdrawn += s.bad_ && judged.state_ == "taken back" ? 1 : 0;
            if (s.bad_) {
                bad_runs += judged.new_runs_;
                bad_runs_plain += by_time.new_runs_;
                share_max = std::max(share_max, judged.share_max_);
                share_max_plain = std::max(share_max_plain, by_time.share_max_);
                after_shown = std::max(after_shown, judged.after_shown_share_);
                after_shown_plain = std::max(after_shown_plain, by_time.after_shown_share_);
            }
            nlohmann::json line{{"scenario", s.name_}, {"seed", seed}, {"judged", to_json(judged)}};
            if (s.bad_)
                line["by_time"] = to_json(by_time);
            std::cerr << line.dump() << std::endl;
            runs.push_back(line);
        }
    }
    return {{"good_total", good},
            {"good_done", good_done},
            {"bad_total", bad},
            {"bad_withdrawn", bad_withdrawn},
            {"bad_share_max", share_max},
            {"bad_share_max_plain", share_max_plain},
            {"bad_runs", bad_runs},
            {"bad_runs_plain", bad_runs_plain},
            {"bad_after_shown_share", after_shown},
            {"bad_after_shown_share_plain", after_shown_plain},
            {"requests", requests},
            {"runs", runs}};
}

const registration registered{"move", "good and bad versions, judged and by a fixed ramp", move};

} // namespace

} // namespace guavahaven::bench
