#include "prove/story.h"

#include <algorithm>

namespace guavahaven::prove {

namespace {

constexpr std::chrono::milliseconds fault_time{1200}; // that a pair of faults lasts at least
constexpr duration requests_timeout = std::chrono::seconds(10);
constexpr std::size_t requests_around_faults = 40;

} // namespace

support::mesh_plan two_data_centers(const setup& s)
{
    support::mesh_plan plan;
    for (const char* place : {"leon", "celaya"})
        for (const char* service : {"board", "desk"})
            plan.nodes_.push_back({place, service, "v1", {}});
    plan.fault_proxy_ = true;
    plan.daemon_binary_ = s.daemon_binary_;
    if (!s.without_.empty())
        plan.more_settings_ = "[test]\nwithout = " + s.without_ + "\n";
    return plan;
}

outcome in_two_data_centers(const setup& s, const std::string& rules,
                            const std::function<void(support::mesh&, outcome&)>& story)
{
    outcome o;
    support::mesh mesh(two_data_centers(s));
    if (establish(mesh, rules, 1, o))
        story(mesh, o);
    return o;
}

bool establish(support::mesh& mesh, const std::string& rules, std::uint64_t number, outcome& o)
{
    const support::finished applied = mesh.apply(rules, "proof");
    if (applied.status_ != 0)
        o.broken_.push_back("rules not accepted: " + applied.output_);
    else if (!mesh.wait_ready(number))
        o.broken_.push_back("configuration " + std::to_string(number) + " is not in force everywhere");
    return o.broken_.empty();
}

support::load_plan callers(support::mesh& mesh, std::vector<support::request_kind> kinds)
{
    support::load_plan plan;
    for (const support::node& n : mesh.nodes())
        plan.entries_.push_back(n.callers());
    plan.kinds_ = std::move(kinds);
    return plan;
}

void wait_requests(const support::load& load, std::size_t count)
{
    const std::size_t until = load.sent_so_far() + count;
    support::wait_until([&] { return load.sent_so_far() >= until; }, requests_timeout);
}

std::vector<support::sent_request> under_faults(support::mesh& mesh, const support::load_plan& plan,
                                                const std::vector<fault_kind>& kinds, const setup& s,
                                                outcome& o)
{
    random_engine random(s.seed_);
    support::load load(plan);
    wait_requests(load, requests_around_faults);
    for (const bool drawn : {false, true}) {
        const std::vector<placed_fault> pair =
            drawn ? draw_pair(random, kinds, mesh.nodes().size()) : lost_answers();
        for (const placed_fault& f : pair)
            begin(mesh, f);
        std::this_thread::sleep_for(fault_time);
        for (const placed_fault& f : pair)
            heal(mesh, f);
        wait_requests(load, requests_around_faults);
        o.survived_.push_back(to_string(pair));
    }
    return load.stop();
}

std::vector<placed_fault> lost_answers()
{
    return {{fault_kind::drop_answers, 1}, {fault_kind::cut, 0}};
}

std::map<std::string, std::size_t> runs_by_path(const support::mesh& mesh)
{
    std::map<std::string, std::size_t> runs;
    for (const support::journal_entry& e : mesh.journal())
        if (e.event_ == "run")
            ++runs[e.path_];
    return runs;
}

std::map<std::string, std::size_t> runs_by_identity(const support::mesh& mesh)
{
    std::map<std::string, std::size_t> runs;
    for (const support::journal_entry& e : mesh.journal())
        if (e.event_ == "run")
            ++runs[e.identity_];
    return runs;
}

std::size_t runs_at(const support::node& n)
{
    const std::vector<support::journal_entry> all = n.journal();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [](const support::journal_entry& e) { return e.event_ == "run"; }));
}

void add_broken(outcome& o, std::size_t count, const std::string& what)
{
    if (count > 0)
        o.broken_.push_back(std::to_string(count) + " " + what);
}

void need_answers(const std::vector<support::sent_request>& sent, outcome& o)
{
    const bool some = std::any_of(sent.begin(), sent.end(),
                                  [](const support::sent_request& r) { return r.status_ == 200; });
    if (!some)
        o.broken_.push_back("none of " + std::to_string(sent.size()) + " requests was answered");
}

} // namespace guavahaven::prove
