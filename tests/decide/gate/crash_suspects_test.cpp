// Requests that crash backend servers.

#include <gtest/gtest.h>

#include "decide/gate/crash_suspects.h"
#include "support/gate_harness.h"

namespace guavahaven {

using decide::crash_report;
using support::gate_harness;

namespace {

// The backend server dies while the call runs, and another takes its place.
void die(gate_harness& g, std::uint64_t next_start)
{
    g.handle(decide::run_broken{g.runs_.back()});
    g.handle(decide::backend_announced{service_name("desk"), version_name("v1"), 12, 120, false, next_start});
}

} // namespace

TEST(crash_causing_request_is_contained, after_two_deaths)
{
    gate_harness g;
    // When backend servers die of the same request, whoever sends it
    g.send(g.make(1), "a");
    die(g, 2);
    g.send(g.make(2), "b");
    die(g, 3);
    ASSERT_EQ(g.runs_.size(), decide::deaths_to_refuse);

    // Then it is refused, under every identity
    g.send(g.make(3), "c");
    EXPECT_EQ(g.refused(), code::suspect_request);
    EXPECT_EQ(g.runs_.size(), decide::deaths_to_refuse);
    // But other requests are not
    decide::call other = g.make(4);
    other.request_.body_ = "rosa";
    g.send(other);
    EXPECT_EQ(g.runs_.size(), 3U);
}

TEST(crash_causing_request_is_contained, across_gates)
{
    gate_harness g;
    const std::uint64_t print = decide::fingerprint(g.make(1).request_);
    const auto report = [&](const std::string& gate, std::uint64_t death) {
        g.handle(decide::peer_gate_message{daemon_name(gate), crash_report{print, daemon_name(gate), death}});
    };
    // One death that is told twice is one
    report("x", 1);
    report("x", 1);
    g.send(g.make(1));
    ASSERT_EQ(g.runs_.size(), 1U);
    // A suspect runs once at a time
    g.send(g.make(2));
    EXPECT_EQ(g.refused(), code::overloaded);
    // With another death it is refused
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
    // When it is under way at two deaths
    g.send(g.make(2));
    die(g, 2);
    g.send(g.make(3));
    die(g, 3);
    // Then it is not refused
    g.send(g.make(4));
    EXPECT_EQ(g.refused(), code::ok);
    EXPECT_EQ(g.runs_.size(), 4U);

    // One that was under way at a death and is answered later is cleared
    const auto rosa = [&](std::uint64_t sequence) {
        decide::call c = g.make(sequence);
        c.request_.body_ = "rosa";
        return c;
    };
    g.answer(g.runs_.back());
    g.send(rosa(5));
    die(g, 4);
    g.send(rosa(6));
    g.answer(g.runs_.back());
    g.send(rosa(7));
    die(g, 5);
    g.send(rosa(8));
    EXPECT_EQ(g.refused(), code::ok);
}

} // namespace guavahaven
