// Requests that must run at most once, with real daemons, while processes die
// and connections between them fall silent or lose answers.

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "decide/entry/entry.h"
#include "operator/publisher.h"
#include "support/once_load.h"
#include "support/rules_text.h"

namespace guavahaven {

namespace {

constexpr std::chrono::milliseconds fault_lasts{250};

support::mesh_plan four_nodes()
{
    support::mesh_plan plan;
    plan.fault_proxy_ = true;
    for (int i = 0; i < 4; ++i)
        plan.nodes_.push_back({i % 2 == 0 ? "leon" : "celaya", "desk", "v1", {"--work-ms=20"}});
    return plan;
}

// Callers that repeat their keys at all entries, while the faults take place.
support::once_counts counts_under(support::mesh& mesh, const std::function<void()>& faults)
{
    support::once_plan load;
    for (const support::node& n : mesh.nodes())
        load.entries_.push_back(n.callers());
    std::vector<support::once_request> requests;
    std::thread callers([&] { requests = support::send_once_load(load, std::chrono::seconds(3)); });
    faults();
    callers.join();
    return support::count_once(requests, mesh.journal());
}

void expect_kept(const support::once_counts& counts)
{
    EXPECT_EQ(counts.run_twice_, 0U);
    EXPECT_EQ(counts.lost_, 0U);
    EXPECT_EQ(counts.false_not_run_, 0U);
    EXPECT_GT(counts.done_, 0U);
}

// Results of one keyed request through each entry, with keys that begin so.
std::vector<code> send_keyed(support::mesh& mesh, const std::string& key)
{
    std::vector<code> results;
    for (std::size_t i = 0; i < mesh.nodes().size(); ++i) {
        const std::string name = key + std::to_string(i);
        const auto r = support::fetch(
            mesh.at(i).callers(),
            {"POST", "/placements/" + name, {{decide::caller_protocol().key_header_, name}}, "maria"});
        if (!ok(r)) {
            results.push_back(failure(r).code_);
            continue;
        }
        const std::string text =
            http::find_header(value(r).headers_, decide::caller_protocol().result_header_);
        results.push_back(text.empty() ? code::ok : static_cast<code>(std::stoi(text)));
    }
    return results;
}

// Writes the configuration as an author whose clock shows this time.
void write_first_configuration(const support::mesh& mesh, const std::string& rules, wall_time at)
{
    event_loop loop;
    object_store::store store(loop, mesh.platform());
    operators::publisher publisher(store);
    publisher.publish({}, configuration_number(), "tests", rules, at,
                      [&](const result<operators::publish_outcome>& r) {
                          EXPECT_TRUE(ok(r));
                          loop.stop();
                      });
    loop.run();
}

std::size_t count(const std::vector<code>& results, code c)
{
    return static_cast<std::size_t>(std::count(results.begin(), results.end(), c));
}

} // namespace

// Guards against refusing keyed requests for two minutes: daemons that start just after the first
// configuration of their mesh was written counted as restarted ones, which may have lost records.
TEST(fresh_fleet, serves_keyed_requests_though_its_daemons_start_after_the_configuration)
{
    // Given daemons that have started
    support::mesh mesh(four_nodes());
    const auto all_answer = [&] {
        return std::all_of(mesh.nodes().begin(), mesh.nodes().end(),
                           [](const support::node& n) { return ok(n.status()); });
    };
    ASSERT_TRUE(support::wait_until(all_answer));

    // When the first configuration says that it was written 0.9 s ago, when none of them may have run
    const wall_time written = runtime_clock().wall() - std::chrono::milliseconds(900);
    write_first_configuration(mesh, support::confirmation_rules(), written);
    ASSERT_TRUE(mesh.wait_ready(1));

    // Then keyed requests run
    const std::vector<code> results = send_keyed(mesh, "k");
    EXPECT_EQ(count(results, code::ok), results.size()) << to_string(error{results.front(), ""});
}

// Guards against a second run by replicas that have lost their records together: all daemons die.
TEST(non_idempotent_request_runs_at_most_once, when_all_daemons_are_restarted)
{
    // Given requests that ran
    support::mesh mesh(four_nodes());
    ASSERT_EQ(mesh.apply(support::confirmation_rules()).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));
    send_keyed(mesh, "k");

    // When all daemons die and start again, and callers repeat the keys and send others
    for (support::node& n : mesh.nodes())
        n.daemon_->kill();
    for (support::node& n : mesh.nodes())
        n.start_daemon();
    ASSERT_TRUE(mesh.wait_ready(1));
    const std::size_t runs_before = mesh.journal().size();
    std::vector<code> results = send_keyed(mesh, "k");
    const std::vector<code> others = send_keyed(mesh, "other");
    results.insert(results.end(), others.begin(), others.end());

    // Then none of them runs, since nobody can tell whether it has run
    EXPECT_EQ(count(results, code::outcome_unknown), results.size());
    EXPECT_EQ(mesh.journal().size(), runs_before);
}

TEST(non_idempotent_request_runs_at_most_once, while_connections_are_silent_and_answers_lost)
{
    support::mesh mesh(four_nodes());
    ASSERT_EQ(mesh.apply(support::confirmation_rules()).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));

    const support::once_counts counts = counts_under(mesh, [&] {
        for (const char* fault : {"mode=silence", "mode=drop_answers", "mode=silence", "mode=drop_answers"})
            for (std::size_t i : {1U, 2U}) {
                mesh.set_fault(mesh.at(i), fault);
                std::this_thread::sleep_for(fault_lasts);
                mesh.set_fault(mesh.at(i), "mode=pass");
            }
    });
    expect_kept(counts);
}

TEST(non_idempotent_request_runs_at_most_once, while_daemons_and_backend_servers_die)
{
    support::mesh mesh(four_nodes());
    ASSERT_EQ(mesh.apply(support::confirmation_rules()).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));

    const support::once_counts counts = counts_under(mesh, [&] {
        for (int round = 0; round < 3; ++round) {
            mesh.at(1).daemon_->kill();
            std::this_thread::sleep_for(fault_lasts);
            mesh.at(1).start_daemon();
            mesh.at(2).backend_->kill();
            std::this_thread::sleep_for(fault_lasts);
            mesh.at(2).start_backend();
        }
    });
    expect_kept(counts);
}

TEST(shutdown_cuts_off_no_request, at_the_gate_or_the_entry)
{
    support::mesh_plan plan = four_nodes();
    plan.fault_proxy_ = false;
    for (support::node_plan& n : plan.nodes_)
        n.backend_options_ = {"--work-ms=300"};
    support::mesh mesh(plan);
    ASSERT_EQ(mesh.apply(support::confirmation_rules()).status_, 0);
    ASSERT_TRUE(mesh.wait_ready(1));

    // Given requests under way through two entries, at all gates
    std::vector<http::request> requests;
    for (int i = 0; i < 16; ++i)
        requests.push_back({"POST", "/placements/" + std::to_string(i), {}, "maria"});
    std::vector<support::timed_response> responses;
    std::thread callers([&] {
        responses = support::fetch_all({mesh.at(0).callers(), mesh.at(1).callers()}, requests, 16);
    });
    const auto under_way = [&] { return !mesh.journal().empty(); };
    ASSERT_TRUE(support::wait_until(under_way));

    // When one of the daemons is told to stop
    EXPECT_EQ(mesh.at(1).daemon_->stop(), 0);
    callers.join();

    // Then each request has run once, and each caller has its whole answer
    for (const support::timed_response& r : responses) {
        ASSERT_TRUE(ok(r.response_)) << requests[r.index_].target_;
        EXPECT_EQ(value(r.response_).status_, 200) << value(r.response_).body_;
    }
    std::map<std::string, int> runs;
    for (const support::journal_entry& e : mesh.journal())
        runs[e.path_] += e.event_ == "run" ? 1 : 0;
    for (const http::request& r : requests)
        EXPECT_EQ(runs[r.target_], 1) << r.target_;
}

} // namespace guavahaven
