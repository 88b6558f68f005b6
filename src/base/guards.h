#pragma once

// Switches that take a guarding mechanism away, so that a proof can be seen to
// fail without it. They exist only in the build that defines
// GUAVAHAVEN_UNGUARDED, which is never installed; elsewhere each guard is a
// constant, and the compiler leaves no trace of the switch.

#include <string_view>

namespace guavahaven {

enum class guard {
    once_memory,         // a gate remembers what must not run twice
    unknown_outcome,     // a broken call that must run once is not called 'not run'
    out_refusal,         // a data centre that is out takes nothing
    drain_refusal,       // a leaving backend server takes nothing
    cold_limit,          // a started backend server gets few calls at once
    withdrawn_refusal,   // a withdrawn version takes nothing
    call_match,          // an answer goes to the call whose id it carries
    graceful_stop,       // a stopping daemon waits for the work under way
    number_order,        // a lower configuration number is never adopted
    spreading,           // daemons pass configurations on
    whole_configuration, // a text with a fault is refused whole
    known_names,         // routes name known services
};

#ifdef GUAVAHAVEN_UNGUARDED
// False if the setting test.without names the guard.
bool guarded(guard g);
// Switches a guard off by its name; false if there is none of that name.
bool switch_off(std::string_view name);
#else
constexpr bool guarded(guard)
{
    return true;
}
#endif

} // namespace guavahaven
