#include "prove/promises.h"

namespace guavahaven::prove {

namespace {

constexpr promise all[] = {
    {"once", "a request that must not run twice runs at most once", "once_memory", runs_at_most_once},
    {"out", "a data centre that is out receives no new work", "out_refusal", out_data_center_gets_no_work},
    {"never-reverts", "no proxy returns to an older configuration", "number_order", never_reverts},
    {"not-run", "a refusal that says 'not run' is true", "unknown_outcome", not_run_is_true},
    {"bad-version", "a bad version gets a small share, and none once withdrawn", "withdrawn_refusal",
     bad_version_is_withdrawn},
    {"whole-answer", "a caller gets the whole answer to its own request", "call_match", answers_are_whole},
    {"cold", "a cold backend server receives no more than it can bear", "cold_limit", cold_start_is_gentle},
    {"leaving", "a leaving backend server receives no new work", "drain_refusal",
     leaving_server_is_left_alone},
    {"graceful", "a graceful stop cuts off no request", "graceful_stop", graceful_stop_cuts_nothing},
    {"accepted", "an accepted configuration comes into force everywhere", "spreading", accepted_reaches_all},
    {"whole-configuration", "a bad configuration is never applied in part", "whole_configuration",
     bad_configuration_is_refused_whole},
    {"targets", "no route points at what the proxy does not have", "known_names", routes_have_targets},
};

} // namespace

std::span<const promise> promises()
{
    return all;
}

} // namespace guavahaven::prove
