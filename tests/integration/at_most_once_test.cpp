// Requests that must run at most once, with real daemons, while processes die
// and connections between them fall silent or lose answers.

#include <gtest/gtest.h>

#include <thread>

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

} // namespace

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
