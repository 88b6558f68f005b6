#include "decide/control.h"

#include <algorithm>

#include "decide/configuration/first_configuration.h"

namespace guavahaven::decide {

namespace {

constexpr duration digest_interval = std::chrono::seconds(1);
constexpr duration judge_interval = std::chrono::milliseconds(200);
constexpr duration flush_interval = std::chrono::milliseconds(20);  // between two batches of member updates
constexpr duration sweep_interval = std::chrono::milliseconds(200); // between two checks of all members
// A longer gap between ticks means that this process was suspended.
constexpr duration min_pause = std::chrono::seconds(1);
// After the start, so that the stored seeds are read before they are replaced.
constexpr duration seed_read_delay = std::chrono::milliseconds(300);
// After the start, so that this daemon knows the others when it decides whether to watch
// the platform.
constexpr duration watch_start_delay = std::chrono::milliseconds(500);
constexpr duration seed_check_interval = std::chrono::seconds(30);
constexpr std::size_t max_seeds_contacted = 4; // contacted at the same time
constexpr std::ptrdiff_t max_seeds = 128;
constexpr std::size_t probe_helper_count = 2;
constexpr std::size_t suspect_probe_one_in = 2; // probed in one of this many digest intervals, on average

} // namespace

control::control(member self, std::uint64_t seed, configuration_parser parse, time_point now)
    : membership_(std::move(self), now), parse_(parse), configuration_replica_(std::move(parse)),
      readiness_(now), random_(seed), started_(now), last_tick_(now)
{
    publish(now);
}

control_actions control::handle(const control_event& event, time_point now)
{
    std::visit([&](const auto& e) { on(e, now); }, event);
    if (configuration_replica_.record() && !first_known_)
        first_known_ = now;
    flush_updates(now);
    return std::exchange(actions_, {});
}

void control::on(const control_received& e, time_point now)
{
    detector_.record_contact(e.from_, now);
    std::visit([&](const auto& m) { receive(e.from_, m, now); }, e.message_);
}

void control::on(const platform_configuration& e, time_point)
{
    handle_offer_outcome(configuration_replica_.offer(e.record_), daemon_name());
}

void control::on(const platform_orders& e, time_point)
{
    spread(e.subject_prefix_.empty() ? orders_.merge(e.orders_)
                                     : orders_.merge_snapshot(e.subject_prefix_, e.orders_, e.revision_),
           daemon_name());
}

void control::on(const platform_read_result& e, time_point now)
{
    readiness_.record_platform_read(e.answered_);
    update_watch(now);
}

void control::on(const seeds_known& e, time_point)
{
    for (const daemon_name& seed : e.seeds_)
        if (seed != self().name_ && std::find(seeds_.begin(), seeds_.end(), seed) == seeds_.end())
            seeds_.push_back(seed);
    if (std::ssize(seeds_) > max_seeds)
        seeds_.erase(seeds_.begin(), seeds_.end() - max_seeds);
    contact_seeds();
}

void control::contact_seeds()
{
    std::shuffle(seeds_.begin(), seeds_.end(), random_);
    for (std::size_t i = 0; i < std::min(max_seeds_contacted, seeds_.size()); ++i) {
        send(seeds_[i], member_updates{{self()}}, true);
        if (i == 0) // one seed's list of all members is enough
            send(seeds_[i], member_buckets{membership_.bucket_hashes()});
        send(seeds_[i], own_digest());
        readiness_.record_neighbours_queried();
    }
}

void control::on(const platform_moves& e, time_point)
{
    moves_.mark_facts_loaded(e.service_);
    spread(moves_.merge(e.facts_), daemon_name());
    // The platform may have been restored to an older state: the end of a move is stored again.
    for (const move_fact& stored : e.facts_) {
        const move_fact* known = moves_.find(stored.id_);
        if (known && (known->done_ != stored.done_ || known->withdrawn_ != stored.withdrawn_))
            actions_.push_back(store_move{*known});
        if (!stored.withdrawn_)
            reported_expired_.erase(stored.id_);
    }
}

void control::on(const own_backend& e, time_point)
{
    if (membership_.announce(e.service_, e.version_, e.slots_, e.draining_))
        spread(std::vector<member>{self()}, daemon_name());
}

void control::on(const own_version_stats& e, time_point)
{
    const configuration_ptr& c = rules_;
    if (!c)
        return;
    for (version_stats item : e.items_) {
        const auto rule = std::find_if(c->moves_.begin(), c->moves_.end(),
                                       [&](const move_rule& r) { return r.id() == item.move_; });
        const move_fact* fact = view_->find_move(item.move_);
        if (rule == c->moves_.end() || !fact || fact->done_ || fact->withdrawn_)
            continue;
        item.gate_ = self().name_;
        item.incarnation_ = self().incarnation_;
        item.data_center_ = self().data_center_;
        item.second_ = e.second_;
        for (const daemon_name& judge : judges_of(*rule, view_->members_)) {
            if (judge == self().name_)
                moves_.merge(std::vector<version_stats>{item});
            else
                send(judge, version_stats_report{{item}});
        }
    }
}

void control::on(const control_tick& e, time_point now)
{
    wall_ = e.wall_;
    detect_pause(now);
    const bool sweep = now - last_sweep_ >= sweep_interval;
    if (sweep) {
        last_sweep_ = now;
        spread(membership_.tick(now), daemon_name());
    }
    probe_silent(now);
    if (now - last_judged_ >= judge_interval) {
        last_judged_ = now;
        judge_moves();
    }
    if (now - last_digest_ >= digest_interval)
        exchange_digests(now);
    if (sweep) {
        update_watch(now);
        report_held_back(now);
    }
}

// After a suspension of this process, not having heard from others says nothing about them.
void control::detect_pause(time_point now)
{
    if (now - last_tick_ > min_pause) {
        membership_.resume(now);
        detector_.resume(now);
    }
    last_tick_ = now;
}

void control::on(const leave_requested&, time_point)
{
    membership_.leave();
    spread(std::vector<member>{self()}, daemon_name());
}

void control::exchange_digests(time_point now)
{
    last_digest_ = now;
    send_to_neighbours(own_digest(), daemon_name());
    const std::vector<daemon_name>& neighbours = membership_.neighbours();
    for (const daemon_name& name : std::exchange(digest_receivers_, neighbours)) {
        const member* known = membership_.find(name);
        const bool left = std::find(neighbours.begin(), neighbours.end(), name) == neighbours.end();
        if (left && known && known->state_ == member_state::alive)
            send(name, digests_stopped{});
    }
    probe_suspects();
    if (membership_.neighbours().empty())
        contact_seeds();
}

void control::probe_silent(time_point now)
{
    const std::vector<daemon_name>& neighbours = membership_.neighbours();
    const detector_step step = detector_.tick(neighbours, now);
    for (const daemon_name& name : step.probe_) {
        const member* target = membership_.find(name);
        if (!target)
            continue;
        probe_directly(*target);
        for (std::size_t i = 0; i < probe_helper_count && !neighbours.empty(); ++i) {
            const daemon_name& helper = neighbours[random_index(random_, neighbours.size())];
            if (helper != name)
                send(helper, probe_request{*target});
        }
    }
    for (const daemon_name& name : step.suspect_)
        spread(membership_.suspect(name, now), daemon_name());
}

// Probes suspects, so that a daemon that was cut off or suspended counts as alive again as
// soon as it answers.
void control::probe_suspects()
{
    if (random_index(random_, suspect_probe_one_in) == 0)
        if (const auto doubted = membership_.pick_suspect_or_dead(random_))
            probe_directly(*doubted);
    if (const auto silent = membership_.pick_unsuspected_in_cut_off(random_))
        detector_.request_probe(silent->name_, last_tick_);
}

void control::probe_directly(const member& target)
{
    send(target.name_, probe{target, daemon_name()}, true);
}

void control::spread(const std::vector<order>& updates, const daemon_name& from)
{
    if (updates.empty())
        return;
    send_to_neighbours(orders{updates}, from);
    combine_rules();
}

// A single rule that does not fit the rules file, such as a move of a service that the
// file does not name, is reported and left out; the others stay in force.
void control::combine_rules()
{
    rules_ = configuration_replica_.configuration();
    if (!rules_)
        return;
    configuration_record combined = *configuration_replica_.record();
    for (const order& o : orders_.orders()) {
        if (o.rule_.empty())
            continue;
        configuration_record extended = combined;
        extended.text_ += (extended.text_.ends_with('\n') ? "" : "\n") + o.rule_ + "\n";
        result<configuration> read = parse_(extended);
        if (!ok(read)) {
            actions_.push_back(report_problem{failure(read)});
            continue;
        }
        combined = std::move(extended);
        rules_ = std::make_shared<const configuration>(value(read));
    }
    moves_.set_configuration(*rules_);
    returns_.set_configuration(*rules_, last_tick_);
    removed_services_.set_configuration(*rules_);
    configuration_stale_ = true;
}

void control::handle_offer_outcome(const offer_outcome& outcome, const daemon_name& from)
{
    if (outcome.problem_)
        actions_.push_back(report_problem{*outcome.problem_});
    if (outcome.full_text_needed_ && !from.empty()) {
        // After an offer that could not be used, request the whole text, not a delta.
        const content_hash base = outcome.problem_ ? content_hash() : configuration_replica_.hash();
        send(from, configuration_request{configuration_replica_.number(), base});
    }
    if (!outcome.adopted_)
        return;
    combine_rules();
    if (const auto change = configuration_replica_.latest_delta())
        send_to_neighbours(*change, from);
    else
        send_to_neighbours(own_digest(), from);
}

void control::spread(const std::vector<member>& updates, const daemon_name& from)
{
    for (const member& m : updates)
        pending_updates_.insert_or_assign(m.name_, pending_update{m, from});
}

void control::spread(const std::vector<move_fact>& updates, const daemon_name& from)
{
    if (updates.empty())
        return;
    view_stale_ = true;
    send_to_neighbours(move_facts{updates}, from);
}

void control::flush_updates(time_point now)
{
    const bool due = now - last_flush_ >= flush_interval;
    if (!pending_updates_.empty() && due) {
        for (const daemon_name& n : membership_.neighbours()) {
            member_updates all;
            for (const auto& [name, updates] : pending_updates_)
                if (updates.from_ != n)
                    all.members_.push_back(updates.member_);
            if (!all.members_.empty())
                send(n, std::move(all));
        }
        pending_updates_.clear();
        view_stale_ = true;
        last_flush_ = now;
    }
    const bool show = configuration_stale_ && may_serve(now);
    if (show || (view_stale_ && due))
        publish(now);
}

void control::send_to_neighbours(const control_message& message, const daemon_name& except)
{
    for (const daemon_name& n : membership_.neighbours())
        if (n != except)
            send(n, message);
}

void control::send(const daemon_name& to, control_message message, bool fresh_connection)
{
    actions_.push_back(send_control{to, std::move(message), fresh_connection});
}

digest control::own_digest() const
{
    return {membership_.hash(), moves_.hash(), orders_.hash(), configuration_replica_.number(),
            configuration_replica_.hash()};
}

// Until the daemon may serve, the view has no configuration, so that entry and gate serve nothing.
void control::publish(time_point now)
{
    const configuration_ptr shown = may_serve(now) ? rules_ : nullptr;
    std::vector<member> members = membership_.members();
    std::vector<service_rule> removed = removed_services_.rules(members);
    view_ =
        std::make_shared<const view>(view{shown, std::move(members), effective_moves(),
                                          returns_.returning(now), moves_.abandoned(), std::move(removed)});
    view_stale_ = false;
    configuration_stale_ = shown != rules_;
    last_flush_ = now;
    actions_.push_back(publish_view{view_});
}

bool control::may_serve(time_point now) const
{
    if (view_ && view_->configuration_)
        return true;
    const std::optional<configuration_record>& record = configuration_replica_.record();
    return readiness_.ready() && first_known_ && !held_back(*record, wall_, now - *first_known_);
}

// The delay alone is no problem; an author's clock that is ahead adds to it.
void control::report_held_back(time_point now)
{
    if (held_back_reported_ || !first_known_ || now - *first_known_ < 2 * first_configuration_delay ||
        may_serve(now) || !readiness_.ready())
        return;
    held_back_reported_ = true;
    const configuration_record& record = *configuration_replica_.record();
    actions_.push_back(report_problem{
        {code::configuration_ahead_of_clock, "configuration " + std::to_string(record.number_.value()) +
                                                 " by " + record.author_ + " is not in force yet"}});
}

void control::judge_moves()
{
    const configuration_ptr& c = rules_;
    if (!c)
        return;
    const std::vector<move_fact> changed = moves_.tick(*c, view_->members_, self().name_, wall_);
    for (const move_fact& f : changed)
        actions_.push_back(store_move{f});
    spread(changed, daemon_name());
    const std::vector<move_fact> effective = effective_moves();
    if (view_->moves_ != effective)
        view_stale_ = true; // a deadline has passed
    report_expired_moves(effective);
}

void control::report_expired_moves(const std::vector<move_fact>& effective)
{
    const std::vector<move_fact> stated = moves_.facts();
    for (const move_fact& f : effective) {
        const bool is_stated = std::any_of(
            stated.begin(), stated.end(), [&](const move_fact& s) { return s.id_ == f.id_ && s.withdrawn_; });
        if (f.withdrawn_ && !is_stated && watching_ && reported_expired_.insert(f.id_).second)
            actions_.push_back(move_expired{f});
    }
}

std::vector<move_fact> control::effective_moves() const
{
    const configuration_ptr& c = rules_;
    return c ? moves_.effective_facts(*c, wall_) : std::vector<move_fact>{};
}

void control::update_watch(time_point now)
{
    const bool was_ready = readiness_.ready();
    if (!readiness_.update(now))
        return;
    if (!was_ready && readiness_.unconfirmed())
        actions_.push_back(
            report_problem{{code::started_unconfirmed, "neither the platform nor a daemon answered"}});
    if (now - started_ < seed_read_delay)
        return;
    const bool watch = membership_.watches_platform();
    if (watch && (last_seed_check_ == time_point() || now - last_seed_check_ >= seed_check_interval)) {
        last_seed_check_ = now;
        actions_.push_back(store_seeds{membership_.seed_candidates()});
    }
    if (now - started_ < watch_start_delay || watch == watching_)
        return;
    actions_.push_back(watch_platform{watch});
    watching_ = watch;
}

} // namespace guavahaven::decide
