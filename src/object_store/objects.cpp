#include "object_store/objects.h"

#include "peer/layouts.h"

namespace guavahaven::object_store {

namespace {

template <class T>
result<T> read(const std::string& bytes)
{
    result<T> found = deserialize<T>(bytes);
    if (!ok(found))
        return error{code::platform_malformed, failure(found).detail_};
    return found;
}

} // namespace

std::string to_bytes(const decide::configuration_record& r)
{
    return serialize(r);
}
std::string to_bytes(const std::vector<decide::move_fact>& facts)
{
    return serialize(facts);
}
std::string to_bytes(const std::vector<decide::seed>& seeds)
{
    return serialize(seeds);
}

result<decide::configuration_record> to_record(const std::string& bytes)
{
    return read<decide::configuration_record>(bytes);
}
result<std::vector<decide::move_fact>> to_facts(const std::string& bytes)
{
    return read<std::vector<decide::move_fact>>(bytes);
}
result<std::vector<decide::seed>> to_seeds(const std::string& bytes)
{
    return read<std::vector<decide::seed>>(bytes);
}

} // namespace guavahaven::object_store
