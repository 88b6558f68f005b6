#include "daemon/daemon.h"

#include <iostream>

#include "backend/connector.h"
#include "base/guards.h"
#include "base/log.h"
#include "base/mailbox.h"
#include "caller/listener.h"
#include "object_store/watcher.h"
#include "operator/rules.h"
#include "operator/samples.h"
#include "operator/status.h"
#include "peer/transit_times.h"
#include "peer/transport.h"

namespace guavahaven {

namespace {

constexpr duration control_interval = std::chrono::milliseconds(50);
constexpr duration one_second = std::chrono::seconds(1);
constexpr duration max_version_stats_lateness = std::chrono::milliseconds(150); // after a full second
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
constexpr duration leave_propagation_time =
    std::chrono::milliseconds(300); // for gossip to tell the others before the process ends
// At the end of a stop, for the replies to fences of open requests (100 ms) and for writing the last answers.
constexpr duration last_answers_time = std::chrono::milliseconds(200);
constexpr std::size_t max_problems = 16;

// Messages that the tasks post to each other through the mailbox.
struct to_gate {
    decide::gate_event event_;
};
struct to_entry {
    decide::entry_event event_;
};
struct to_control {
    decide::control_event event_;
};
using task_message = std::variant<to_gate, to_entry, to_control>;

incarnation new_incarnation()
{
    return incarnation(static_cast<std::uint64_t>(runtime_clock().wall().time_since_epoch().count()));
}

decide::member own_member(const operators::daemon_settings& s, incarnation started)
{
    decide::member m;
    m.name_ = daemon_name(http::to_string(s.advertised_));
    m.incarnation_ = started;
    m.data_center_ = s.data_center_;
    m.peer_ = s.advertised_;
    m.operator_ = s.operators_;
    return m;
}

// Owns all tasks of the daemon and routes messages between them.
class daemon {
public:
    daemon(const operators::daemon_settings& s, const daemon_parts& parts)
        : settings_(s), read_settings_(parts.read_settings_), started_(new_incarnation()),
          self_(http::to_string(settings_.advertised_)), seed_(hash(self_.str(), started_.value())),
          control_(own_member(settings_, started_), seed_, operators::parse_record, clock_.now()),
          mail_(loop_, [this](task_message&& m) { dispatch(std::move(m)); }),
          mesh_(loop_, metrics_, {peer::protocol_version, self_, started_},
                [this](const peer::event& e) { handle_peer_event(e); }),
          backend_(
              loop_, metrics_, {settings_.backend_, settings_.announcement_timeout_, parts.backend_},
              decide::gate(self_, started_, settings_.data_center_, clock_.now(),
                           settings_.link_bytes_per_second_),
              {[this](const daemon_name& to, decide::gate_to_entry m) { route_to_entry(to, std::move(m)); },
               [this](const daemon_name& to, const decide::gate_to_gate& m, bool fresh_connection) {
                   mesh_.send(to, m, fresh_connection);
               },
               [this](const decide::own_backend& b) { mail_.post(to_control{b}); }}),
          caller_(loop_, metrics_,
                  decide::entry(self_, started_, settings_.data_center_, seed_, parts.callers_),
                  [this](const daemon_name& to, const decide::entry_to_gate& m, bool fresh_connection) {
                      route_to_gate(to, m, fresh_connection);
                  }),
          platform_(parts.make_platform_task_(
              loop_, metrics_, {settings_.platform_, settings_.data_center_, seed_},
              [this](decide::control_event e) { mail_.post(to_control{std::move(e)}); })),
          operators_(loop_, {}, [this](const std::shared_ptr<http::exchange>& e) { serve_operator(*e); }),
          metrics_server_(loop_, {},
                          [this](const std::shared_ptr<http::exchange>& e) { serve_operator(*e); }),
          control_timer_(loop_, [this] { tick(); }), leave_timer_(loop_, [this] { leave(); }),
          notice_timer_(loop_, [this] { end_notice(); }), stop_timer_(loop_, [this] { finish_stop(); })
    {
    }

    status listen()
    {
        for (const status& s :
             {mesh_.listen(settings_.peers_), backend_.listen(), operators_.listen(settings_.operators_),
              listen_for_metrics(), caller_.listen(settings_.callers_)})
            if (!ok(s))
                return s;
        return std::monostate{};
    }

    // Metrics are served at the operators' address, and also at a port of their own if one is set.
    status listen_for_metrics()
    {
        if (settings_.metrics_port_ == 0)
            return std::monostate{};
        return metrics_server_.listen({settings_.operators_.ip_, settings_.metrics_port_});
    }

    void run()
    {
        log_info("daemon", "started", "name=" + self_.str() + " data_center=" + settings_.data_center_.str());
        loop_.on_stop_signal([this] { begin_stop(); });
        loop_.on_reload_signal([this] { reload(); });
        if (!settings_.seeds_.empty())
            mail_.post(to_control{decide::seeds_known{settings_.seeds_}});
        platform_->start();
        tick();
        loop_.run();
        log_info("daemon", "stopped");
    }

private:
    void dispatch(task_message&& m)
    {
        std::visit(guavahaven::overloaded{
                       [this](to_gate& g) { backend_.handle(g.event_); },
                       [this](to_entry& e) { caller_.handle(e.event_); },
                       [this](to_control& c) { apply(control_.handle(c.event_, clock_.now())); },
                   },
                   m);
    }

    // Sends a message of the local entry to a gate: the local one, or that of another daemon.
    void route_to_gate(const daemon_name& to, const decide::entry_to_gate& m, bool fresh_connection)
    {
        if (to == self_)
            mail_.post(to_gate{decide::call_message{self_, m}});
        else if (const auto* c = std::get_if<decide::call>(&m))
            mesh_.send(to, with_send_time(*c), fresh_connection);
        else
            mesh_.send(to, m, fresh_connection);
    }

    decide::entry_to_gate with_send_time(decide::call c) const
    {
        c.sent_ms_ = static_cast<std::uint64_t>(clock_.boot() / std::chrono::milliseconds(1));
        return c;
    }

    // Subtracts the time that a call was delayed on its way from its remaining time, since its caller has
    // waited for that long already. The gate refuses a call that has no time left.
    void subtract_transit_delay(const daemon_name& from, decide::call& c)
    {
        const duration late =
            transit_times_.lateness(from, c.id_.entry_, std::chrono::milliseconds(c.sent_ms_), clock_.boot());
        c.remaining_ -= late;
        if (c.remaining_ <= duration::zero())
            log_info("gate", "call_expired_on_its_way",
                     "id=" + c.identity_ + " call=" + decide::to_string(c.id_) +
                         " late_ms=" + std::to_string(late.count() / 1000));
    }

    // Sends a message of the local gate to an entry: the local one, or that of another daemon.
    void route_to_entry(const daemon_name& to, decide::gate_to_entry m)
    {
        if (to == self_)
            mail_.post(to_entry{decide::gate_message{self_, std::move(m)}});
        else
            mesh_.send(to, m);
    }

    void handle_peer_event(const peer::event& e)
    {
        if (const auto* lost_connection = std::get_if<peer::connection_lost>(&e)) {
            for (const decide::call_id id : lost_connection->unsent_)
                mail_.post(to_entry{decide::gate_message{
                    lost_connection->daemon_, decide::refusal{id, code::peer_unreachable, {}, 0}}});
            mail_.post(
                to_entry{decide::gate_disconnected{lost_connection->daemon_, lost_connection->replaced_}});
            mail_.post(to_gate{decide::peer_gate_disconnected{lost_connection->daemon_}});
            return;
        }
        const daemon_name& from = std::get<peer::message_received>(e).from_;
        const peer::message& m = std::get<peer::message_received>(e).message_;
        std::visit(guavahaven::overloaded{
                       [](const peer::hello&) {},
                       [&](decide::entry_to_gate x) {
                           if (auto* c = std::get_if<decide::call>(&x))
                               subtract_transit_delay(from, *c);
                           mail_.post(to_gate{decide::call_message{from, std::move(x)}});
                       },
                       [&](const decide::gate_to_entry& x) {
                           mail_.post(to_entry{decide::gate_message{from, x}});
                       },
                       [&](const decide::gate_to_gate& x) {
                           mail_.post(to_gate{decide::peer_gate_message{from, x}});
                       },
                       [&](const decide::control_message& x) {
                           mail_.post(to_control{decide::control_received{from, x}});
                       },
                   },
                   m);
    }

    void apply(const decide::control_actions& actions)
    {
        for (const decide::control_action& action : actions)
            std::visit([this](const auto& a) { apply(a); }, action);
    }

    void apply(const decide::send_control& a) { mesh_.send(a.to_, a.message_, a.fresh_connection_); }

    void apply(const decide::publish_view& a)
    {
        backend_.handle(decide::gate_view_changed{a.view_});
        caller_.handle(decide::entry_view_changed{a.view_});
        const auto alive = [](const decide::member& m) { return m.state_ == decide::member_state::alive; };
        metrics_.set_gauge(
            "guavahaven_members_alive",
            static_cast<double>(std::count_if(a.view_->members_.begin(), a.view_->members_.end(), alive)));
        const decide::configuration_ptr& c = a.view_->configuration_;
        if (!c || c == in_force_)
            return;
        in_force_ = c;
        metrics_.set_gauge("guavahaven_configuration_number", static_cast<double>(c->number_.value()));
        log_info(
            "control", "configuration_in_force",
            "number=" + std::to_string(c->number_.value()) + " hash=" + std::to_string(c->hash_.value()) +
                " routes=" + std::to_string(c->routes_.size()) +
                " moves=" + std::to_string(c->moves_.size()) + " outs=" + std::to_string(c->outs_.size()));
        if (c->callers_)
            caller_.apply_limits(*c->callers_);
        std::set<service_name> moving_services;
        for (const decide::move_rule& r : c->moves_)
            moving_services.insert(r.service_);
        if (moving_services != moving_services_)
            platform_->set_moving_services(moving_services);
        moving_services_ = std::move(moving_services);
    }

    void apply(const decide::watch_platform& a) { platform_->watch(a.watch_); }

    void apply(const decide::store_seeds& a) { platform_->store_seeds(a.candidates_); }

    void apply(const decide::store_move& a)
    {
        log_info("control", "move_changed",
                 "service=" + a.fact_.service_.str() + " version=" + a.fact_.version_.str() +
                     " stage=" + std::to_string(a.fact_.stage_) + (a.fact_.done_ ? " done" : "") +
                     (a.fact_.withdrawn_ ? " withdrawn reason=\"" + a.fact_.reason_ + "\"" : "") + " " +
                     control_.moves().evidence(a.fact_.id_));
        platform_->store_move(a.fact_);
    }

    void apply(const decide::move_expired& a) { platform_->expire_move(a.fact_); }

    void apply(const decide::report_problem& a)
    {
        const std::string text = to_string(a.error_);
        if (std::find(problems_.begin(), problems_.end(), text) != problems_.end())
            return;
        log_warning("control", "problem", text);
        problems_.push_back(text);
        if (problems_.size() > max_problems)
            problems_.erase(problems_.begin());
    }

    void serve_operator(http::exchange& e)
    {
        const std::string path = http::path_of(e.received().target_);
        if (path == "/metrics")
            return e.reply({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.exposition()});
        if (path == "/readyz")
            return e.reply(ready() ? http::response{200, {}, "ready\n"}
                                   : http::response{503, {}, "not ready\n"});
        if (path == "/samples")
            return e.reply(
                {200, {{"Content-Type", "application/json"}}, operators::to_json(samples_.samples())});
        if (path == "/status")
            return e.reply({200,
                            {{"Content-Type", "application/json"}},
                            to_json(operators::make_status(control_, backend_.state(), backend_.last_run(),
                                                           problems_))});
        e.reply({404, {}, "known are /metrics, /readyz, /status and /samples\n"});
    }

    // True if callers should send requests here: a configuration is in force, and no stop has begun.
    bool ready() const { return in_force_ && !stop_began_; }

    void tick()
    {
        publish_version_stats();
        apply(control_.handle(decide::control_tick{clock_.wall()}, clock_.now()));
        log_waiting_moves();
        samples_.tick(control_, metrics_, clock_.wall());
        // Aligns ticks with the wall clock, so that one falls on each full second: there all gates close
        // the interval of the run statistics by which a move is judged.
        control_timer_.arm(control_interval - clock_.wall().time_since_epoch() % control_interval);
    }

    // Logs why a move that this daemon judges does not advance, whenever the reason changes.
    void log_waiting_moves()
    {
        if (!in_force_)
            return;
        for (const decide::move_rule& r : in_force_->moves_) {
            const std::string why = control_.moves().waiting_for(r.id());
            std::string& logged = logged_wait_reasons_[r.id()];
            if (why == logged)
                continue;
            logged = why;
            log_info("control", "move_waits",
                     "service=" + r.service_.str() + " version=" + r.version_.str() + " reason=\"" + why +
                         "\"");
        }
    }

    // Publishes the gate's run statistics once per full second. If the tick comes too long after the full
    // second, the interval would not match those of the other gates: that second is skipped.
    void publish_version_stats()
    {
        const duration now = clock_.wall().time_since_epoch();
        const auto second = static_cast<std::uint64_t>(now / one_second) - 1;
        if (second <= version_stats_second_ || now % one_second > max_version_stats_lateness)
            return;
        version_stats_second_ = second;
        apply(control_.handle(decide::own_version_stats{second, backend_.collect_version_stats()},
                              clock_.now()));
    }

    // Applies the settings that can change while the daemon runs (log level, stop and drain times, seeds).
    // All others, such as addresses and names, keep their values until the daemon is restarted.
    void reload()
    {
        const operators::parsed_settings read = read_settings_();
        if (const auto* errors = std::get_if<std::vector<error>>(&read))
            return log_warning("daemon", "reload_refused", "error=" + to_string(errors->front()));
        const auto& reread = std::get<operators::daemon_settings>(read);
        start_logging(reread.log_level_);
        settings_.log_level_ = reread.log_level_;
        settings_.stop_notice_ = reread.stop_notice_;
        settings_.drain_timeout_ = reread.drain_timeout_;
        if (!reread.seeds_.empty() && reread.seeds_ != settings_.seeds_)
            mail_.post(to_control{decide::seeds_known{reread.seeds_}});
        settings_.seeds_ = reread.seeds_;
        log_info("daemon", "reloaded", reread == settings_ ? "" : "needs_restart=yes");
    }

    // Begins a graceful stop: /readyz fails and connections of callers are closed after their next response,
    // so that callers move to other daemons. All requests are still accepted until the stop notice is over;
    // then those that end before the process does, since the backend server beside this daemon goes on
    // running and has no other outbound proxy for the calls that its requests make.
    void begin_stop()
    {
        if (stop_began_)
            return;
        stop_began_ = clock_.now();
        const duration notice = std::max(settings_.stop_notice_, leave_propagation_time);
        stop_end_ = *stop_began_ + std::max(settings_.drain_timeout_, notice);
        log_info("daemon", "stopping");
        caller_.begin_stop({*stop_began_ + settings_.stop_notice_, stop_end_ - last_answers_time});
        leave_timer_.arm(std::max(duration::zero(), settings_.stop_notice_ - leave_propagation_time));
    }

    // Refuses new work at the gate and announces that this daemon leaves. The process ends once work in
    // flight has completed (see finish_stop()).
    void leave()
    {
        log_info("daemon", "leaving");
        backend_.handle(decide::stop_requested{});
        apply(control_.handle(decide::leave_requested{}, clock_.now()));
        notice_timer_.arm(leave_propagation_time);
    }

    // Callers that have not moved yet open their next connection elsewhere.
    void end_notice()
    {
        caller_.close_idle_connections();
        finish_stop();
    }

    void finish_stop()
    {
        const bool busy = (backend_.busy() || caller_.busy()) && guard_enabled(guard::graceful_stop);
        if (!busy || clock_.now() >= stop_end_)
            return loop_.stop();
        stop_timer_.arm(stop_check_interval);
    }

    operators::daemon_settings settings_;
    std::function<operators::parsed_settings()> read_settings_;
    incarnation started_;
    daemon_name self_;
    std::uint64_t seed_;
    runtime_clock clock_;
    event_loop loop_;
    metrics metrics_;
    decide::control control_;
    peer::transit_times transit_times_;
    mailbox<task_message> mail_;
    peer::transport mesh_;
    backend::connector backend_;
    caller::listener caller_;
    std::unique_ptr<platform_task> platform_;
    http::server operators_;
    http::server metrics_server_;
    timer control_timer_;
    timer leave_timer_;
    timer notice_timer_;
    timer stop_timer_;
    decide::configuration_ptr in_force_;
    std::set<service_name> moving_services_;
    std::map<move_id, std::string> logged_wait_reasons_; // as last logged
    std::uint64_t version_stats_second_ = 0;
    operators::sample_ring samples_;
    std::vector<std::string> problems_;
    std::optional<time_point> stop_began_;
    time_point stop_end_; // when the process ends even if work is in flight; valid once a stop has begun
};

} // namespace

daemon_parts own_parts(const std::string& path)
{
    daemon_parts parts;
    parts.read_settings_ = [path]() -> operators::parsed_settings {
        const result<settings_file> file = settings_file::read(path);
        return ok(file) ? operators::read_daemon_settings(value(file))
                        : operators::parsed_settings(std::vector<error>{failure(file)});
    };
    parts.backend_ = backend::default_protocol();
    parts.make_platform_task_ = [](event_loop& loop, metrics& counts, const platform_task_settings& own,
                                   std::function<void(decide::control_event)> notify_control) {
        return std::make_unique<object_store::watcher>(loop, counts, own, std::move(notify_control));
    };
    return parts;
}

int run_daemon(const operators::daemon_settings& settings, const daemon_parts& parts)
{
    start_logging(settings.log_level_);
    daemon d(settings, parts);
    if (const status s = d.listen(); !ok(s)) {
        std::cerr << to_string(failure(s)) << "\n";
        return exit_cannot_listen;
    }
    d.run();
    return exit_stopped;
}

int print_faults(const std::vector<error>& errors)
{
    for (const error& e : errors)
        std::cerr << to_string(e) << " (" << remedy(e.code_) << ")\n";
    return exit_faulty_settings;
}

} // namespace guavahaven
