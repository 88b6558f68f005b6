// Proofs about requests.

#include <algorithm>

#include "prove/promises.h"

namespace guavahaven::prove {

namespace {

using support::request_kind;
using support::sent_request;

const request_kind confirm{"confirm", "POST", "/placements", ""};
const request_kind lookup{"lookup", "GET", "/shifts/", ""};

} // namespace

outcome runs_at_most_once(const setup& s)
{
    return in_two_data_centers(s, board_and_desk, [&](support::mesh& mesh, outcome& o) {
        // Each confirmation is sent twice at a time, under one key through two daemons.
        support::load_plan plan = callers(mesh, {confirm});
        plan.repeats_ = 2;
        plan.at_once_ = 5;
        const std::vector<sent_request> sent = under_faults(mesh, plan, path_faults(), s, o);
        need_answers(sent, o);
        std::size_t twice = 0;
        for (const auto& [identity, runs] : runs_by_identity(mesh))
            twice += runs > 1 ? 1 : 0;
        add_broken(o, twice, "confirmations ran more than once");
    });
}

outcome not_run_is_true(const setup& s)
{
    return in_two_data_centers(s, board_and_desk, [&](support::mesh& mesh, outcome& o) {
        // Runs last long enough for faults to fall into them.
        for (const support::node& n : mesh.nodes())
            n.set_backend("slow_ms=20");
        // Without a key, no daemon but the entry can know the request again.
        support::load_plan plan = callers(mesh, {{"confirm", "POST", "/orders/", ""}});
        plan.keyed_ = false;
        const std::vector<sent_request> sent = under_faults(mesh, plan, path_faults(), s, o);
        need_answers(sent, o);
        const auto runs = runs_by_path(mesh);
        const auto untrue = [&](const sent_request& r) {
            return says_not_run(r) && runs.contains(r.target_);
        };
        const auto again = [&](const sent_request& r) {
            const auto at = runs.find(r.target_);
            return at != runs.end() && at->second > 1; // a daemon was told 'not run', and sent it elsewhere
        };
        const auto lost = [&](const sent_request& r) {
            return r.status_ == 200 && !runs.contains(r.target_);
        };
        add_broken(o, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), untrue)),
                   "requests were refused as not run, yet ran");
        add_broken(o, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), again)),
                   "requests ran again after a 'not run'");
        add_broken(o, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), lost)),
                   "requests were confirmed, yet did not run");
    });
}

outcome answers_are_whole(const setup& s)
{
    return in_two_data_centers(s, board_and_desk, [&](support::mesh& mesh, outcome& o) {
        // Answers to quick requests come after their deadline, as they are long on
        // the way, while other requests wait for theirs.
        for (const support::node& n : mesh.nodes()) {
            n.set_backend("slow_ms=50");
            mesh.set_fault(n, "mode=pass&delay_ms=20");
        }
        constexpr std::size_t body_bytes = 20'000;
        const std::string query = "bytes=" + std::to_string(body_bytes);
        const request_kind large{"lookup", "GET", "/shifts/", query};
        const request_kind quick{"quick", "GET", "/quick/", query};
        support::load_plan plan = callers(mesh, {large, quick, quick});
        plan.at_once_ = 12;
        const std::vector<sent_request> sent = under_faults(mesh, plan, path_faults(), s, o);
        need_answers(sent, o);
        const auto expected = [](const sent_request& r) {
            std::string body;
            while (body.size() < body_bytes)
                body += r.target_;
            return body;
        };
        const auto wrong = [&](const sent_request& r) {
            return r.status_ == 200 && (r.echo_ != r.target_ || r.body_ != expected(r));
        };
        const auto first = std::find_if(sent.begin(), sent.end(), wrong);
        if (first != sent.end())
            o.broken_.push_back("asked " + first->target_ + ", got that of '" + first->echo_ + "', " +
                                std::to_string(first->body_.size()) + " bytes");
        add_broken(o, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), wrong)),
                   "answers were cut short or belong to another request");
    });
}

outcome cold_start_is_gentle(const setup& s)
{
    outcome o;
    support::mesh_plan plan = two_data_centers(s);
    for (support::node_plan& n : plan.nodes_)
        n.backend_options_ = {"--cold-slots=2", "--cold-ms=1500", "--work-ms=15"};
    support::mesh mesh(plan);
    if (!establish(mesh, board_and_desk, 1, o))
        return o;
    support::load_plan busy = callers(mesh, {lookup});
    busy.at_once_ = 24;
    support::load load(busy);
    wait_requests(load, 100);
    // A backend server starts anew, then its daemon does.
    support::node& n = mesh.at(s.seed_ % 2 == 0 ? 0 : 2);
    n.backend_->kill();
    n.start_backend();
    o.survived_.emplace_back("backend server killed");
    wait_requests(load, 150);
    const std::vector<sent_request> sent = load.stop();
    need_answers(sent, o);
    const std::vector<support::journal_entry> all = mesh.journal();
    const auto over = [](const support::journal_entry& e) { return e.event_ == "over"; };
    add_broken(o, static_cast<std::size_t>(std::count_if(all.begin(), all.end(), over)),
               "requests came above what a cold backend server bears");
    return o;
}

outcome leaving_server_is_left_alone(const setup& s)
{
    return in_two_data_centers(s, board_and_desk, [&](support::mesh& mesh, outcome& o) {
        support::load load(callers(mesh, {lookup, confirm}));
        wait_requests(load, 40);
        // A backend server announces that it leaves, while another daemon falls silent.
        support::node& leaving = mesh.at(0);
        const placed_fault silence{fault_kind::silence, 2};
        begin(mesh, silence);
        leaving.set_backend("draining=1");
        const auto refuses = [&] {
            const auto status = leaving.status();
            return ok(status) && !value(status).serving_;
        };
        if (!support::wait_until(refuses, std::chrono::seconds(10)))
            o.broken_.emplace_back("the daemon does not take note of the announcement");
        heal(mesh, silence);
        const std::size_t before = runs_at(leaving);
        wait_requests(load, 80);
        add_broken(o, runs_at(leaving) - before, "requests ran on a leaving backend server");
        o.survived_.emplace_back("silence");
        need_answers(load.stop(), o);
    });
}

outcome graceful_stop_cuts_nothing(const setup& s)
{
    return in_two_data_centers(s, board_and_desk, [&](support::mesh& mesh, outcome& o) {
        // Each request lasts long, so that all are under way when the daemon is told to stop.
        for (const support::node& n : mesh.nodes())
            n.set_backend("slow_ms=700");
        support::node& stopped = mesh.at(s.seed_ % mesh.nodes().size());
        support::load_plan plan = callers(mesh, {lookup});
        plan.entries_ = {stopped.callers()};
        plan.at_once_ = 2;
        support::load load(plan);
        const auto under_way = [&] { return runs_by_identity(mesh).size() >= 2; };
        support::wait_until(under_way, std::chrono::seconds(5));
        if (stopped.daemon_->stop() != 0)
            o.broken_.emplace_back("the daemon did not end by itself");
        o.survived_.emplace_back("stop under requests");
        std::vector<sent_request> sent = load.stop();
        // Requests sent after the stop found nobody listening; only the first batch counts.
        sent.resize(std::min(sent.size(), plan.at_once_));
        const auto cut = [](const sent_request& r) { return r.status_ != 200; };
        add_broken(o, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), cut)),
                   "requests under way were cut off");
    });
}

outcome out_data_center_gets_no_work(const setup& s)
{
    return in_two_data_centers(s, board_and_desk, [&](support::mesh& mesh, outcome& o) {
        random_engine random(s.seed_);
        support::load load(callers(mesh, {lookup, confirm}));
        wait_requests(load, 40);
        // The data centre is taken out; the platform fails right after, and so does a
        // daemon that is out.
        const support::finished applied = mesh.apply(std::string(board_and_desk) + "out celaya # proof\n");
        if (applied.status_ != 0)
            o.broken_.push_back("rules not accepted: " + applied.output_);
        const placed_fault outage{fault_kind::platform_outage, 0};
        const std::vector<fault_kind> kinds{fault_kind::freeze, fault_kind::silence, fault_kind::cut};
        const placed_fault second{kinds[random_index(random, kinds.size())], 2 + random_index(random, 2)};
        begin(mesh, outage);
        begin(mesh, second);
        wait_requests(load, 40);
        heal(mesh, second);
        if (!mesh.wait_configuration(2))
            o.broken_.emplace_back("the rule is not in force everywhere");
        // From here on there is no new work, whatever fails.
        const auto celaya = [&] { return runs_at(mesh.at(2)) + runs_at(mesh.at(3)); };
        const std::size_t before = celaya();
        const placed_fault third{fault_kind::freeze, random_index(random, 2)};
        begin(mesh, third);
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        heal(mesh, third);
        wait_requests(load, 100);
        add_broken(o, celaya() - before, "requests ran in the data centre after it was out");
        heal(mesh, outage);
        o.survived_.push_back(to_string({outage, second, third}));
        need_answers(load.stop(), o);
    });
}

} // namespace guavahaven::prove
