// zone: a data centre taken out and brought back under load, also while it is
// cut off from the others, against dropping it at once.

#include <algorithm>
#include <iostream>
#include <map>
#include <thread>

#include "main/bench/experiment.h"
#include "support/mesh.h"
#include "support/paced_load.h"

namespace guavahaven::bench {

namespace {

constexpr const char* taken = "leon";
constexpr std::chrono::seconds before{4};
constexpr std::chrono::seconds away{8};
constexpr std::chrono::seconds after{12};
constexpr double requests_per_second = 160;
constexpr std::uint64_t second_us = 1'000'000;
constexpr std::uint64_t seeds_by_default = 3;

enum class way { out, out_cut_off, dropped };

constexpr std::pair<way, const char*> ways[] = {
    {way::out, "out"}, {way::out_cut_off, "out_cut_off"}, {way::dropped, "dropped"}};

struct class_counts {
    std::uint64_t in_time_ = 0;
    std::uint64_t late_ = 0;
    std::uint64_t refused_ = 0; // surely not run
    std::uint64_t unknown_ = 0; // no answer, or one that can't tell whether it ran
    std::uint64_t failed_ = 0;  // any other answer
};

struct outcome {
    std::uint64_t requests_ = 0;
    std::uint64_t lost_ = 0;     // confirmed, but not run to its end
    std::uint64_t doubled_ = 0;  // of the class that must run once
    double last_new_work_s_ = 0; // after acceptance, until the return; 0 if none
    std::map<std::string, class_counts> classes_;
};

std::string rules(bool out)
{
    return std::string("class   lookup  deadline 1s      # bench\n"
                       "class   confirm deadline 2s once # bench\n"
                       "service board version v1         # bench\n"
                       "service desk  version v1         # bench\n"
                       "route GET  /board/*    to board as lookup  # bench\n"
                       "route POST /placements to desk  as confirm # bench\n") +
           (out ? std::string("out ") + taken + " # bench\n" : "");
}

std::uint64_t now()
{
    return static_cast<std::uint64_t>(runtime_clock().wall().time_since_epoch().count());
}

bool there(const support::node& n)
{
    return n.plan().data_center_ == taken;
}

void cut_off(support::mesh& mesh, const std::string& mode)
{
    for (const support::node& a : mesh.nodes()) {
        for (const support::node& b : mesh.nodes()) {
            if (there(a) == there(b))
                continue;
            mesh.set_fault(a, "mode=" + mode + "&source=" + b.name());
        }
    }
}

void drop(support::mesh& mesh)
{
    for (support::node& n : mesh.nodes()) {
        if (!there(n))
            continue;
        n.daemon_->kill();
        n.backend_->kill();
    }
}

void start_again(support::mesh& mesh)
{
    for (support::node& n : mesh.nodes()) {
        if (!there(n))
            continue;
        n.start_daemon();
        n.start_backend();
    }
}

void count_callers(outcome& o, const std::vector<support::paced_outcome>& sent,
                   const support::paced_plan& plan)
{
    for (const support::paced_outcome& s : sent) {
        const support::paced_kind& kind = plan.kinds_[s.kind_];
        class_counts& c = o.classes_[kind.class_];
        ++o.requests_;
        const bool unknown = s.status_ == 0 || s.result_ == code::outcome_unknown ||
                             s.result_ == code::answer_incomplete || s.result_ == code::deadline_exceeded;
        if (s.status_ == 200)
            ++(s.took_ <= kind.deadline_ ? c.in_time_ : c.late_);
        else if (unknown)
            ++c.unknown_;
        else if (s.status_ == 503 || s.status_ == 429)
            ++c.refused_;
        else
            ++c.failed_;
    }
}

void count_journals(outcome& o, const support::mesh& mesh, const std::vector<support::paced_outcome>& sent,
                    const support::paced_plan& plan)
{
    std::map<std::string, std::uint64_t> runs;
    std::map<std::string, std::uint64_t> ends;
    for (const support::journal_entry& e : mesh.journal()) {
        runs[e.identity_] += e.event_ == "run" ? 1 : 0;
        ends[e.identity_] += e.event_ == "done" ? 1 : 0;
    }
    for (const support::paced_outcome& s : sent) {
        if (plan.kinds_[s.kind_].class_ != "confirm")
            continue;
        o.doubled_ += runs[s.key_] > 1 ? 1 : 0;
        o.lost_ += s.status_ == 200 && ends[s.key_] == 0 ? 1 : 0;
    }
}

outcome run(way how, std::uint64_t seed)
{
    support::mesh_plan plan;
    plan.fault_proxy_ = true;
    const std::string seeded = "--seed=" + std::to_string(seed);
    for (const char* data_center : {"leon", "queretaro", "celaya", "irapuato"})
        for (const char* service : {"board", "desk"})
            plan.nodes_.push_back({data_center, service, "v1", {"--work-ms=20", seeded}});
    support::mesh mesh(plan);
    mesh.apply(rules(false));
    mesh.wait_ready(1);

    // Callers of a data centre that is dropped go to the others, as those of its daemons would.
    support::paced_plan load;
    for (const support::node& n : mesh.nodes())
        if (how != way::dropped || !there(n))
            load.entries_.push_back(n.callers());
    load.kinds_ = {{"lookup", {"GET", "/board/today", {}, ""}, std::chrono::seconds(1)},
                   {"lookup", {"GET", "/board/week", {}, ""}, std::chrono::seconds(1)},
                   {"confirm", {"POST", "/placements", {}, "maria"}, std::chrono::seconds(2)}};
    load.per_second_ = requests_per_second;
    load.keys_ = "zone" + std::to_string(seed);
    support::paced_load callers(load);

    std::this_thread::sleep_for(before + std::chrono::milliseconds(37 * seed));
    if (how == way::dropped)
        drop(mesh);
    else
        mesh.apply(rules(true));
    const std::uint64_t accepted = now();
    std::this_thread::sleep_for(away / 2);
    if (how == way::out_cut_off)
        cut_off(mesh, "cut");
    std::this_thread::sleep_for(away / 4);
    if (how == way::out_cut_off)
        cut_off(mesh, "pass");
    std::this_thread::sleep_for(away / 4);
    const std::uint64_t back = now();
    if (how == way::dropped)
        start_again(mesh);
    else
        mesh.apply(rules(false));
    std::this_thread::sleep_for(after);

    const std::vector<support::paced_outcome> sent = callers.stop();
    outcome o;
    count_callers(o, sent, load);
    count_journals(o, mesh, sent, load);
    for (const support::node& n : mesh.nodes()) {
        if (!there(n))
            continue;
        for (const support::journal_entry& e : n.journal())
            if (e.event_ == "run" && e.at_ > accepted && e.at_ < back)
                o.last_new_work_s_ =
                    std::max(o.last_new_work_s_, static_cast<double>(e.at_ - accepted) / second_us);
    }
    return o;
}

void add(outcome& sum, const outcome& o)
{
    sum.requests_ += o.requests_;
    sum.lost_ += o.lost_;
    sum.doubled_ += o.doubled_;
    sum.last_new_work_s_ = std::max(sum.last_new_work_s_, o.last_new_work_s_);
    for (const auto& [name, c] : o.classes_) {
        class_counts& all = sum.classes_[name];
        all.in_time_ += c.in_time_;
        all.late_ += c.late_;
        all.refused_ += c.refused_;
        all.unknown_ += c.unknown_;
        all.failed_ += c.failed_;
    }
}

nlohmann::json to_json(const outcome& o)
{
    nlohmann::json classes;
    for (const auto& [name, c] : o.classes_)
        classes[name] = {{"in_time", c.in_time_},
                         {"late", c.late_},
                         {"refused", c.refused_},
                         {"unknown", c.unknown_},
                         {"failed", c.failed_}};
    return {{"requests", o.requests_},
            {"lost", o.lost_},
            {"doubled", o.doubled_},
            {"last_new_work_s", o.last_new_work_s_},
            {"classes", classes}};
}

nlohmann::json zone(const options& o)
{
    const std::uint64_t seeds = o.size_ == 0 ? seeds_by_default : o.size_;
    std::map<way, outcome> sums;
    for (std::uint64_t seed = o.seed_; seed < o.seed_ + seeds; ++seed) {
        for (const auto& [how, name] : ways) {
            const outcome one = run(how, seed);
            std::cerr << nlohmann::json{{"way", name}, {"seed", seed}, {"outcome", to_json(one)}}.dump()
                      << std::endl;
            add(sums[how], one);
        }
    }
    outcome ours = sums[way::out];
    add(ours, sums[way::out_cut_off]);
    nlohmann::json line = to_json(ours);
    for (const auto& [how, name] : ways)
        line[name] = to_json(sums[how]);
    return line;
}

const registration registered{"zone", "a data centre out and back under load", zone};

} // namespace

} // namespace guavahaven::bench
