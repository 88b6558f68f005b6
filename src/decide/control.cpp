#include "decide/control.h"

#include <algorithm>

namespace guavahaven::decide {

namespace {

constexpr duration digest_interval = std::chrono::seconds(1);

} // namespace

control::control(member self, std::uint64_t seed, configuration_parser parse, time_point now)
    : membership_(std::move(self), now), random_(seed), parse_(std::move(parse))
{
    refresh_view();
}

control_actions control::handle(const control_event& event, time_point now)
{
    std::visit([&](const auto& e) { on(e, now); }, event);
    return std::exchange(actions_, {});
}

void control::on(const control_received& e, time_point now)
{
    membership_.heard_from(e.from_, now);
    std::visit([&](const auto& m) { take(e.from_, m, now); }, e.message_);
}

void control::on(const platform_configuration& e, time_point)
{
    if (record_ && e.record_.number_ < record_->number_) {
        const std::string detail = "the platform has configuration " +
                                   std::to_string(e.record_.number_.value()) + ", in force is " +
                                   std::to_string(record_->number_.value());
        actions_.push_back(report_problem{{code::platform_older_state, detail}});
        return;
    }
    adopt(e.record_, daemon_name());
}

void control::on(const seeds_known& e, time_point)
{
    seeds_ = e.seeds_;
    for (const daemon_name& seed : seeds_) {
        if (seed == self().name_)
            continue;
        send(seed, announcements{{self()}});
        send(seed, own_digest(true));
    }
}

void control::on(const platform_moves& e, time_point)
{
    moves_.facts_read(e.service_);
    spread(moves_.merge(e.facts_), daemon_name());
}

void control::on(const own_backend& e, time_point)
{
    if (membership_.announce(e.service_, e.version_, e.slots_, e.draining_))
        spread(std::vector<member>{self()}, daemon_name());
}

void control::on(const own_evidence& e, time_point)
{
    if (!configuration_)
        return;
    for (evidence item : e.items_) {
        const auto rule = std::find_if(configuration_->moves_.begin(), configuration_->moves_.end(),
                                       [&](const move_rule& r) { return r.id() == item.move_; });
        const move_fact* fact = view_->find_move(item.move_);
        if (rule == configuration_->moves_.end() || !fact || fact->done_ || fact->withdrawn_)
            continue;
        item.gate_ = self().name_;
        item.incarnation_ = self().incarnation_;
        item.data_center_ = self().data_center_;
        item.second_ = e.second_;
        for (const daemon_name& judge : judges_of(*rule, view_->members_)) {
            if (judge == self().name_)
                moves_.merge(std::vector<evidence>{item});
            else
                send(judge, evidence_report{{item}});
        }
    }
}

void control::on(const control_tick& e, time_point now)
{
    wall_ = e.wall_;
    spread(membership_.tick(now), daemon_name());
    if (configuration_) {
        const std::vector<move_fact> changed =
            moves_.tick(*configuration_, view_->members_, self().name_, e.wall_);
        for (const move_fact& f : changed)
            actions_.push_back(store_move{f});
        spread(changed, daemon_name());
        if (view_->moves_ != effective_moves())
            refresh_view(); // a deadline has passed
    }
    if (now - last_digest_ >= digest_interval) {
        last_digest_ = now;
        tell_neighbours(own_digest(true), daemon_name());
        if (membership_.neighbours().empty())
            on(seeds_known{seeds_}, now);
    }
    update_watch();
}

void control::on(const leave_requested&, time_point)
{
    membership_.leave();
    spread(std::vector<member>{self()}, daemon_name());
}

void control::take(const daemon_name& from, const announcements& m, time_point now)
{
    spread(membership_.merge(m.members_, now), from);
}

void control::take(const daemon_name& from, const digest& m, time_point)
{
    const digest own = own_digest(false);
    if (m.configuration_ > own.configuration_)
        send(from, configuration_wanted{own.configuration_});
    else if (m.configuration_ < own.configuration_ && record_)
        send(from, configuration_whole{*record_});
    if (m.members_ != own.members_)
        send(from, announcements{membership_.members()});
    if (m.moves_ != own.moves_)
        send(from, move_facts{moves_.facts()});
    if (m.answer_wanted_)
        send(from, own);
}

void control::take(const daemon_name& from, const configuration_wanted& m, time_point)
{
    if (record_ && record_->number_ > m.above_)
        send(from, configuration_whole{*record_});
}

void control::take(const daemon_name& from, const configuration_whole& m, time_point)
{
    adopt(m.record_, from);
}

void control::take(const daemon_name& from, const move_facts& m, time_point)
{
    const std::vector<move_fact> news = moves_.merge(m.facts_);
    // The judges may be gone before the platform can be written.
    for (const move_fact& f : news)
        if (watching_)
            actions_.push_back(store_move{f});
    spread(news, from);
}

void control::take(const daemon_name&, const evidence_report& m, time_point)
{
    moves_.merge(m.items_);
}

void control::adopt(const configuration_record& record, const daemon_name& from)
{
    if (record_ && record.number_ <= record_->number_) {
        if (record.number_ == record_->number_ && record.text_ != record_->text_) {
            const std::string detail = "configuration " + std::to_string(record.number_.value()) +
                                       " has another content than the one in force";
            actions_.push_back(report_problem{{code::platform_older_state, detail}});
        }
        return;
    }
    result<configuration> parsed = parse_(record);
    if (!ok(parsed)) {
        actions_.push_back(report_problem{failure(parsed)});
        return;
    }
    record_ = record;
    configuration_ = std::make_shared<const configuration>(guavahaven::take(std::move(parsed)));
    moves_.set_configuration(*configuration_);
    refresh_view();
    tell_neighbours(configuration_whole{record}, from);
}

void control::spread(const std::vector<member>& news, const daemon_name& from)
{
    if (news.empty())
        return;
    refresh_view();
    tell_neighbours(announcements{news}, from);
}

void control::spread(const std::vector<move_fact>& news, const daemon_name& from)
{
    if (news.empty())
        return;
    refresh_view();
    tell_neighbours(move_facts{news}, from);
}

void control::tell_neighbours(const control_message& message, const daemon_name& except)
{
    for (const daemon_name& n : membership_.neighbours())
        if (n != except)
            send(n, message);
}

void control::send(const daemon_name& to, control_message message)
{
    actions_.push_back(send_control{to, std::move(message)});
}

digest control::own_digest(bool answer_wanted) const
{
    digest d;
    d.members_ = membership_.hash();
    d.moves_ = moves_.hash();
    if (record_) {
        d.configuration_ = record_->number_;
        d.configuration_hash_ = hash_of(record_->text_);
    }
    d.answer_wanted_ = answer_wanted;
    return d;
}

void control::refresh_view()
{
    view_ = std::make_shared<const view>(view{configuration_, membership_.members(), effective_moves()});
    actions_.push_back(publish_view{view_});
}

std::vector<move_fact> control::effective_moves() const
{
    return configuration_ ? moves_.effective_facts(*configuration_, wall_) : std::vector<move_fact>{};
}

void control::update_watch()
{
    const bool watch = membership_.watches_platform();
    if (watch == watching_)
        return;
    watching_ = watch;
    actions_.push_back(watch_platform{watch});
}

} // namespace guavahaven::decide
