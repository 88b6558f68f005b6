// The short form of the proofs: each promise with one seed.

#include <gtest/gtest.h>

#include <algorithm>

#include "prove/promises.h"

namespace guavahaven::prove {

namespace {

void expect_holds(std::string_view name)
{
    const auto at = std::find_if(promises().begin(), promises().end(),
                                 [name](const promise& p) { return p.name_ == name; });
    ASSERT_NE(at, promises().end()) << name;
    const outcome o = at->prove_({});
    for (const std::string& broken : o.broken_)
        ADD_FAILURE() << broken;
}

} // namespace

TEST(promise, runs_at_most_once)
{
    expect_holds("once");
}

TEST(promise, out_data_center_gets_no_work)
{
    expect_holds("out");
}

TEST(promise, never_reverts)
{
    expect_holds("never-reverts");
}

TEST(promise, not_run_is_true)
{
    expect_holds("not-run");
}

TEST(promise, bad_version_is_withdrawn)
{
    expect_holds("bad-version");
}

TEST(promise, answers_are_whole)
{
    expect_holds("whole-answer");
}

TEST(promise, cold_start_is_gentle)
{
    expect_holds("cold");
}

TEST(promise, leaving_server_is_left_alone)
{
    expect_holds("leaving");
}

TEST(promise, graceful_stop_cuts_nothing)
{
    expect_holds("graceful");
}

TEST(promise, accepted_reaches_all)
{
    expect_holds("accepted");
}

TEST(promise, bad_configuration_is_refused_whole)
{
    expect_holds("whole-configuration");
}

TEST(promise, routes_have_targets)
{
    expect_holds("targets");
}

} // namespace guavahaven::prove
