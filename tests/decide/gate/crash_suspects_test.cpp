// Requests that crash backend servers. Guards against a request that callers or entries repeat until it has
// crashed one backend server after another.

#include <gtest/gtest.h>

#include "decide/gate/crash_suspects.h"
#include "support/gate_harness.h"

namespace guavahaven {

using decide::crash_report;
using support::gate_harness;

namespace {

// The backend server crashes during the last run, and another one takes its place.
void crash_backend(gate_harness& g, std::uint64_t next_start)
{
    g.handle(decide::run_broken{g.runs_.back()});
    g.handle(decide::backend_announced{service_name("desk"), version_name("v1"), 12, 120, false, next_start});
}

} // namespace

TEST(crash_causing_request_is_contained, after_two_deaths)
{
    gate_harness g;
    // When the same request crashes backend servers, whoever sends it
    g.send(g.make(1), "a");
    crash_backend(g, 2);
    g.send(g.make(2), "b");
    crash_backend(g, 3);
    ASSERT_EQ(g.runs_.size(), decide::crashes_before_refusal);

    // Then it is refused, under every identity
    g.send(g.make(3), "c");
    EXPECT_EQ(g.refused(), code::suspect_request);
    EXPECT_EQ(g.runs_.size(), decide::crashes_before_refusal);
    // But other requests are not
    decide::call other = g.make(4);
    other.request_.body_ = "rosa";
    g.send(other);
    EXPECT_EQ(g.runs_.size(), 3U);
}

TEST(crash_causing_request_is_contained, across_gates)
{
    gate_harness g;
    const std::uint64_t request_fingerprint = decide::fingerprint(g.make(1).request_);
    const auto report = [&](const std::string& gate, std::uint64_t death) {
        g.handle(decide::peer_gate_message{daemon_name(gate),
                                           crash_report{request_fingerprint, daemon_name(gate), death}});
    };
    // A crash that is reported twice counts once
    report("x", 1);
    report("x", 1);
    g.send(g.make(1));
    ASSERT_EQ(g.runs_.size(), 1U);
    // A suspected request runs once at a time
    g.send(g.make(2));
    EXPECT_EQ(g.refused(), code::overloaded);
    // After another crash it is refused
    report("y", 7);
    g.send(g.make(3));
    EXPECT_EQ(g.refused(), code::suspect_request);
}

TEST(crash_causing_request_is_contained, and_its_neighbours_are_not_blamed)
{
    gate_harness g;
    // Given a request that is answered here
    g.send(g.make(1));
    g.answer(g.runs_.back());
    // When it is running during two crashes
    g.send(g.make(2));
    crash_backend(g, 2);
    g.send(g.make(3));
    crash_backend(g, 3);
    // Then it is not refused
    g.send(g.make(4));
    EXPECT_EQ(g.refused(), code::ok);
    EXPECT_EQ(g.runs_.size(), 4U);

    // A request that was running during a crash and is answered later is cleared
    const auto rosa = [&](std::uint64_t sequence) {
        decide::call c = g.make(sequence);
        c.request_.body_ = "rosa";
        return c;
    };
    g.answer(g.runs_.back());
    g.send(rosa(5));
    crash_backend(g, 4);
    g.send(rosa(6));
    g.answer(g.runs_.back());
    g.send(rosa(7));
    crash_backend(g, 5);
    g.send(rosa(8));
    EXPECT_EQ(g.refused(), code::ok);
}

} // namespace guavahaven
