#pragma once

// The twelve promises of the brief, each with its proof and the guards without
// which the proof must fail.

#include <span>
#include <string_view>

#include "prove/story.h"

namespace guavahaven::prove {

struct promise {
    std::string_view name_;
    std::string_view text_;
    std::string_view guard_; // name of base/guards.h
    outcome (*prove_)(const setup&);
};

std::span<const promise> promises();

// About requests.
outcome runs_at_most_once(const setup& s);
outcome not_run_is_true(const setup& s);
outcome answers_are_whole(const setup& s);
outcome cold_start_is_gentle(const setup& s);
outcome leaving_server_is_left_alone(const setup& s);
outcome graceful_stop_cuts_nothing(const setup& s);
outcome out_data_center_gets_no_work(const setup& s);

// About configurations.
outcome never_reverts(const setup& s);
outcome accepted_reaches_all(const setup& s);
outcome bad_configuration_is_refused_whole(const setup& s);
outcome routes_have_targets(const setup& s);

// About backend server versions.
outcome bad_version_is_withdrawn(const setup& s);

} // namespace guavahaven::prove
