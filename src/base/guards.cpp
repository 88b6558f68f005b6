#include "base/guards.h"

#ifdef GUAVAHAVEN_UNGUARDED

#include <array>
#include <optional>
#include <utility>

namespace guavahaven {

namespace {

constexpr std::array guard_names{
    std::pair{guard::once_memory, std::string_view("once_memory")},
    std::pair{guard::unknown_outcome, std::string_view("unknown_outcome")},
    std::pair{guard::fence, std::string_view("fence")},
    std::pair{guard::out_refusal, std::string_view("out_refusal")},
    std::pair{guard::drain_refusal, std::string_view("drain_refusal")},
    std::pair{guard::cold_limit, std::string_view("cold_limit")},
    std::pair{guard::withdrawn_refusal, std::string_view("withdrawn_refusal")},
    std::pair{guard::call_match, std::string_view("call_match")},
    std::pair{guard::graceful_stop, std::string_view("graceful_stop")},
    std::pair{guard::number_order, std::string_view("number_order")},
    std::pair{guard::spreading, std::string_view("spreading")},
    std::pair{guard::whole_configuration, std::string_view("whole_configuration")},
    std::pair{guard::known_names, std::string_view("known_names")},
};

std::optional<guard> switched_off;

} // namespace

bool guard_enabled(guard g)
{
    return switched_off != g;
}

bool disable_guard(std::string_view name)
{
    for (const auto& [g, known] : guard_names)
        if (known == name)
            switched_off = g;
    return switched_off.has_value();
}

} // namespace guavahaven

#endif
