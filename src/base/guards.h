#pragma once

// Switches that turn off one safety mechanism, so that the test that checks it can
// be seen to fail without it. They exist only in the build that defines
// GUAVAHAVEN_UNGUARDED, which is never installed; in other builds all mechanisms
// are on, and the check is a constant that the compiler removes.

#include <string_view>

namespace guavahaven {

enum class guard {
    once_memory,       // a gate remembers the requests that must not run twice
    unknown_outcome,   // a call that must not run twice and broke off ends as outcome_unknown, not as not_run
    fence,             // when a connection falls silent, the entry asks the gate whether its call ran
    out_refusal,       // a data centre that is out gets and accepts no calls
    drain_refusal,     // a backend server that is leaving gets and accepts no calls
    cold_limit,        // a backend server that has just started gets only a few calls at once
    withdrawn_refusal, // a withdrawn version gets and accepts no calls
    call_match,        // an answer is used only for the call whose id it carries
    graceful_stop,     // a stopping daemon waits for the requests in progress
    number_order,      // a configuration with a lower number than the current one is never adopted
    spreading,         // daemons adopt configurations that other daemons pass on
    whole_configuration, // a rules text with any fault is refused as a whole
    known_names,         // routes may name only known services
};

#ifdef GUAVAHAVEN_UNGUARDED
// True if the mechanism is on; false if the setting test.without names it.
bool guard_enabled(guard g);
// Turns a mechanism off by its name; false if no mechanism has that name.
bool disable_guard(std::string_view name);
#else
constexpr bool guard_enabled(guard)
{
    return true;
}
#endif

} // namespace guavahaven
