#pragma once

// The objects that guavahaven keeps in the platform's store: their kinds and names, and their serialization.

#include <string>
#include <vector>

#include "decide/gossip.h"

namespace guavahaven::object_store {

// Kinds and names of objects.
inline constexpr const char* configuration_kind = "configuration"; // one object: "current"
inline constexpr const char* history_kind = "history";             // one object per configuration number
inline constexpr const char* moves_kind = "moves";                 // one object per service
inline constexpr const char* seeds_kind = "seeds";                 // one object: "current"
inline constexpr const char* current_name = "current";

std::string to_bytes(const decide::configuration_record& r);
std::string to_bytes(const std::vector<decide::move_fact>& facts);
std::string to_bytes(const std::vector<decide::seed>& seeds);

// The error is platform_malformed if the bytes are not such an object.
result<decide::configuration_record> to_record(const std::string& bytes);
result<std::vector<decide::move_fact>> to_facts(const std::string& bytes);
result<std::vector<decide::seed>> to_seeds(const std::string& bytes);

} // namespace guavahaven::object_store
