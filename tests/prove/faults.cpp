#include "prove/faults.h"

namespace guavahaven::prove {

std::string_view name(fault_kind kind)
{
    switch (kind) {
    case fault_kind::kill:
        return "kill";
    case fault_kind::freeze:
        return "freeze";
    case fault_kind::cut:
        return "cut";
    case fault_kind::silence:
        return "silence";
    case fault_kind::drop_answers:
        return "dropped answers";
    case fault_kind::delay:
        return "delay";
    case fault_kind::platform_outage:
        return "platform outage";
    case fault_kind::platform_slow:
        return "slow platform";
    case fault_kind::platform_forgets:
        return "lost platform answers";
    }
    return "";
}

std::vector<fault_kind> path_faults()
{
    return {fault_kind::kill,    fault_kind::freeze,       fault_kind::cut,
            fault_kind::silence, fault_kind::drop_answers, fault_kind::delay};
}

std::vector<fault_kind> all_faults()
{
    std::vector<fault_kind> all = path_faults();
    all.insert(all.end(),
               {fault_kind::platform_outage, fault_kind::platform_slow, fault_kind::platform_forgets});
    return all;
}

std::vector<placed_fault> draw_pair(random_engine& random, const std::vector<fault_kind>& from,
                                    std::size_t nodes)
{
    const std::size_t first = random_index(random, from.size());
    const std::size_t second = (first + 1 + random_index(random, from.size() - 1)) % from.size();
    const std::size_t node = random_index(random, nodes);
    const std::size_t other = (node + 1 + random_index(random, nodes - 1)) % nodes;
    return {{from[first], node}, {from[second], other}};
}

std::string to_string(const std::vector<placed_fault>& faults)
{
    std::string text;
    for (const placed_fault& f : faults)
        text += (text.empty() ? "" : " + ") + std::string(name(f.kind_));
    return text;
}

void begin(support::mesh& mesh, const placed_fault& fault)
{
    support::node& n = mesh.at(fault.node_);
    switch (fault.kind_) {
    case fault_kind::kill:
        return n.daemon_->kill();
    case fault_kind::freeze:
        return n.daemon_->freeze();
    case fault_kind::cut:
        return mesh.set_fault(n, "mode=cut");
    case fault_kind::silence:
        return mesh.set_fault(n, "mode=silence");
    case fault_kind::drop_answers:
        return mesh.set_fault(n, "mode=drop_answers");
    case fault_kind::delay:
        return mesh.set_fault(n, "mode=pass&delay_ms=60");
    case fault_kind::platform_outage:
        mesh.set_platform("outage=1");
        return;
    case fault_kind::platform_slow:
        mesh.set_platform("slow_ms=400");
        return;
    case fault_kind::platform_forgets:
        mesh.set_platform("lose_answers=2");
        return;
    }
}

void heal(support::mesh& mesh, const placed_fault& fault)
{
    support::node& n = mesh.at(fault.node_);
    switch (fault.kind_) {
    case fault_kind::kill:
        return n.start_daemon();
    case fault_kind::freeze:
        return n.daemon_->thaw();
    case fault_kind::cut:
    case fault_kind::silence:
    case fault_kind::drop_answers:
    case fault_kind::delay:
        return mesh.set_fault(n, "mode=pass&delay_ms=0");
    case fault_kind::platform_outage:
    case fault_kind::platform_slow:
    case fault_kind::platform_forgets:
        mesh.set_platform("outage=0&slow_ms=0&lose_answers=0");
        return;
    }
}

} // namespace guavahaven::prove
