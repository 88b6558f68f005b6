// Handling of messages from other daemons.

#include "decide/control.h"

namespace guavahaven::decide {

namespace {

constexpr duration repair_interval = std::chrono::milliseconds(900); // between two comparisons of members

} // namespace

void control::receive(const daemon_name& from, const member_updates& m, time_point now)
{
    const merge_outcome outcome = membership_.merge(m.members_, now);
    spread(outcome.news_, from);
    if (!outcome.corrections_.empty())
        send(from, member_updates{outcome.corrections_});
}

void control::receive(const daemon_name& from, const digest& m, time_point now)
{
    detector_.start_watching(from, now);
    const member* held = membership_.find(from);
    if (held && held->state_ != member_state::alive && held->state_ != member_state::draining)
        send(from, member_updates{{*held}}); // so that it can refute it
    handle_offer_outcome(configuration_replica_.on_advertised(m.configuration_, m.configuration_hash_), from);
    if (const auto update = configuration_replica_.update_for(m.configuration_, m.configuration_hash_))
        send(from, *update);
    if (m.members_ != membership_.hash() && now - last_repair_ >= repair_interval) {
        last_repair_ = now;
        send(from, member_buckets{membership_.bucket_hashes()});
    }
    if (m.moves_ != moves_.hash())
        send(from, move_facts{moves_.facts()});
    if (m.orders_ != orders_.hash())
        send(from, orders{orders_.orders()});
    send(from, digest_ack{});
}

void control::receive(const daemon_name&, const digest_ack&, time_point)
{
    readiness_.record_neighbour_answer();
}

void control::receive(const daemon_name& from, const digests_stopped&, time_point now)
{
    detector_.stop_watching(from, now);
}

void control::receive(const daemon_name& from, const member_buckets& m, time_point)
{
    const std::vector<std::uint64_t> own = membership_.bucket_hashes();
    members_request wanted;
    for (std::uint32_t b = 0; b < own.size() && b < m.hashes_.size(); ++b)
        if (m.hashes_[b] != own[b])
            wanted.buckets_.push_back(b);
    if (wanted.buckets_.empty())
        return;
    send(from, wanted);
    send(from, member_updates{membership_.members_in(wanted.buckets_)});
}

void control::receive(const daemon_name& from, const members_request& m, time_point)
{
    send(from, member_updates{membership_.members_in(m.buckets_)});
}

void control::receive(const daemon_name& from, const probe& m, time_point now)
{
    spread(membership_.merge({m.held_}, now).news_, from);
    send(from, probe_answer{self(), m.requester_});
}

void control::receive(const daemon_name& from, const probe_answer& m, time_point now)
{
    if (!m.requester_.empty() && m.requester_ != self().name_) {
        send(m.requester_, m);
        return;
    }
    detector_.record_contact(m.self_.name_, now);
    receive(from, member_updates{{m.self_}}, now);
}

void control::receive(const daemon_name& from, const probe_request& m, time_point)
{
    send(m.held_.name_, probe{m.held_, from}, true);
}

void control::receive(const daemon_name& from, const configuration_request& m, time_point)
{
    if (const auto update = configuration_replica_.update_for(m.above_, m.hash_))
        send(from, *update);
}

void control::receive(const daemon_name& from, const full_configuration& m, time_point)
{
    handle_offer_outcome(configuration_replica_.offer(m), from);
}

void control::receive(const daemon_name& from, const configuration_delta& m, time_point)
{
    handle_offer_outcome(configuration_replica_.offer(m), from);
}

void control::receive(const daemon_name& from, const move_facts& m, time_point)
{
    const std::vector<move_fact> updates = moves_.merge(m.facts_);
    // The judge that decided this may be gone before it has written to the platform.
    for (const move_fact& f : updates)
        if (watching_)
            actions_.push_back(store_move{f});
    spread(updates, from);
}

void control::receive(const daemon_name&, const version_stats_report& m, time_point)
{
    moves_.merge(m.items_);
}

void control::receive(const daemon_name& from, const orders& m, time_point)
{
    spread(orders_.merge(m.orders_), from);
}

} // namespace guavahaven::decide
