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
constexpr duration evidence_lateness = std::chrono::milliseconds(150); // after the turn of the second
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
constexpr duration leave_notice = std::chrono::milliseconds(300); // for the news to spread before the end
constexpr std::size_t problems_most = 16;

// What the tasks post to each other.
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

// All tasks of the daemon, and the paths of messages between them.
class daemon {
public:
    daemon(const operators::daemon_settings& s, const daemon_parts& parts)
        : settings_(s), read_settings_(parts.read_settings_), started_(new_incarnation()),
          self_(http::to_string(settings_.advertised_)), seed_(hash(self_.str(), started_.value())),
          control_(own_member(settings_, started_), seed_, operators::parse_record, clock_.now()),
          mail_(loop_, [this](task_message&& m) { deliver(std::move(m)); }),
          mesh_(loop_, metrics_, {peer::protocol_version, self_, started_},
                [this](const peer::event& e) { take(e); }),
          backend_(loop_, metrics_, {settings_.backend_, settings_.announcement_timeout_, parts.backend_},
                   decide::gate(self_, started_, settings_.data_center_, clock_.now()),
                   {[this](const daemon_name& to, decide::gate_to_entry m) { answer(to, std::move(m)); },
                    [this](const daemon_name& to, const decide::gate_to_gate& m, bool fresh) {
                        mesh_.send(to, m, fresh);
                    },
                    [this](const decide::own_backend& b) { mail_.post(to_control{b}); }}),
          caller_(loop_, metrics_,
                  decide::entry(self_, started_, settings_.data_center_, seed_, parts.callers_),
                  [this](const daemon_name& to, const decide::entry_to_gate& m, bool fresh) {
                      ask(to, m, fresh);
                  }),
          platform_(parts.make_platform_task_(
              loop_, metrics_, {settings_.platform_, settings_.data_center_, seed_},
              [this](decide::control_event e) { mail_.post(to_control{std::move(e)}); })),
          operators_(loop_, {}, [this](const std::shared_ptr<http::exchange>& e) { serve_operator(*e); }),
          metrics_server_(loop_, {},
                          [this](const std::shared_ptr<http::exchange>& e) { serve_operator(*e); }),
          control_timer_(loop_, [this] { tick(); }), leave_timer_(loop_, [this] { leave(); }),
          stop_timer_(loop_, [this] { finish_stop(); })
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

    // Metrics may have a port of their own beside the operators' address.
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
    void deliver(task_message&& m)
    {
        std::visit(guavahaven::overloaded{
                       [this](to_gate& g) { backend_.handle(g.event_); },
                       [this](to_entry& e) { caller_.handle(e.event_); },
                       [this](to_control& c) { apply(control_.handle(c.event_, clock_.now())); },
                   },
                   m);
    }

    // From the entry here to a gate, here or elsewhere.
    void ask(const daemon_name& to, const decide::entry_to_gate& m, bool fresh)
    {
        if (to == self_)
            mail_.post(to_gate{decide::call_message{self_, m}});
        else if (const auto* c = std::get_if<decide::call>(&m))
            mesh_.send(to, stamped(*c), fresh);
        else
            mesh_.send(to, m, fresh);
    }

    decide::entry_to_gate stamped(decide::call c) const
    {
        c.sent_ms_ = static_cast<std::uint64_t>(clock_.boot() / std::chrono::milliseconds(1));
        return c;
    }

    // What a call lost on its way, its caller no longer waits.
    void shorten(const daemon_name& from, decide::call& c)
    {
        const duration late =
            transit_times_.lateness(from, c.id_.entry_, std::chrono::milliseconds(c.sent_ms_), clock_.boot());
        c.remaining_ -= late;
        if (c.remaining_ <= duration::zero())
            log_info("gate", "call_expired_on_its_way",
                     "id=" + c.identity_ + " call=" + decide::to_string(c.id_) +
                         " late_ms=" + std::to_string(late.count() / 1000));
    }

    // From the gate here to an entry, here or elsewhere.
    void answer(const daemon_name& to, decide::gate_to_entry m)
    {
        if (to == self_)
            mail_.post(to_entry{decide::gate_message{self_, std::move(m)}});
        else
            mesh_.send(to, m);
    }

    void take(const peer::event& e)
    {
        if (const auto* gone = std::get_if<peer::lost>(&e)) {
            for (const decide::call_id id : gone->unsent_)
                mail_.post(to_entry{
                    decide::gate_message{gone->daemon_, decide::refusal{id, code::peer_unreachable, {}, 0}}});
            mail_.post(to_entry{decide::gate_lost{gone->daemon_}});
            mail_.post(to_gate{decide::peer_gate_lost{gone->daemon_}});
            return;
        }
        const daemon_name& from = std::get<peer::received>(e).from_;
        const peer::message& m = std::get<peer::received>(e).message_;
        std::visit(guavahaven::overloaded{
                       [](const peer::hello&) {},
                       [&](decide::entry_to_gate x) {
                           if (auto* c = std::get_if<decide::call>(&x))
                               shorten(from, *c);
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
            caller_.limit(*c->callers_);
        std::set<service_name> moving;
        for (const decide::move_rule& r : c->moves_)
            moving.insert(r.service_);
        if (moving != moving_)
            platform_->set_moving(moving);
        moving_ = std::move(moving);
    }

    void apply(const decide::watch_platform& a) { platform_->watch(a.watch_); }

    void apply(const decide::keep_seeds& a) { platform_->keep_seeds(a.candidates_); }

    void apply(const decide::store_move& a)
    {
        log_info("control", "move_changed",
                 "service=" + a.fact_.service_.str() + " version=" + a.fact_.version_.str() +
                     " stage=" + std::to_string(a.fact_.stage_) + (a.fact_.done_ ? " done" : "") +
                     (a.fact_.withdrawn_ ? " withdrawn" : ""));
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
        if (problems_.size() > problems_most)
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

    // Callers may send their requests here.
    bool ready() const { return in_force_ && !stop_began_; }

    void tick()
    {
        publish_evidence();
        apply(control_.handle(decide::control_tick{clock_.wall()}, clock_.now()));
        log_waiting_moves();
        samples_.tick(control_, metrics_, clock_.wall());
        // Ticks fall on the turn of the second, at which all gates cut their evidence.
        control_timer_.arm(control_interval - clock_.wall().time_since_epoch() % control_interval);
    }

    // Why a move that is judged here goes no further.
    void log_waiting_moves()
    {
        if (!in_force_)
            return;
        for (const decide::move_rule& r : in_force_->moves_) {
            const std::string why = control_.moves().waiting_for(r.id());
            std::string& logged = waiting_for_[r.id()];
            if (why == logged)
                continue;
            logged = why;
            log_info("control", "move_waits",
                     "service=" + r.service_.str() + " version=" + r.version_.str() + " reason=\"" + why +
                         "\"");
        }
    }

    // Once a second, at its turn; a daemon that comes late waits for the next one.
    void publish_evidence()
    {
        const duration now = clock_.wall().time_since_epoch();
        const auto second = static_cast<std::uint64_t>(now / one_second) - 1;
        if (second <= evidence_second_ || now % one_second > evidence_lateness)
            return;
        evidence_second_ = second;
        apply(control_.handle(decide::own_evidence{second, backend_.collect_evidence()}, clock_.now()));
    }

    // What addresses and names a daemon has stays until it is started again.
    void reload()
    {
        const operators::parsed_settings read = read_settings_();
        if (const auto* faults = std::get_if<std::vector<error>>(&read))
            return log_warning("daemon", "reload_refused", "error=" + to_string(faults->front()));
        const auto& fresh = std::get<operators::daemon_settings>(read);
        start_logging(fresh.log_level_);
        settings_.log_level_ = fresh.log_level_;
        settings_.stop_notice_ = fresh.stop_notice_;
        settings_.drain_timeout_ = fresh.drain_timeout_;
        if (!fresh.seeds_.empty() && fresh.seeds_ != settings_.seeds_)
            mail_.post(to_control{decide::seeds_known{fresh.seeds_}});
        settings_.seeds_ = fresh.seeds_;
        log_info("daemon", "reloaded", fresh == settings_ ? "" : "needs_restart=yes");
    }

    // Callers are told to go elsewhere. The backend server beside this daemon
    // stays, and has no other door: it is served for as long as the notice lasts.
    void begin_stop()
    {
        if (stop_began_)
            return;
        stop_began_ = clock_.now();
        log_info("daemon", "stopping");
        caller_.say_last();
        leave_timer_.arm(std::max(duration::zero(), settings_.stop_notice_ - leave_notice));
    }

    // New work stops, work in flight ends, then the process does.
    void leave()
    {
        log_info("daemon", "leaving");
        backend_.handle(decide::stop_requested{});
        apply(control_.handle(decide::leave_requested{}, clock_.now()));
        stop_timer_.arm(leave_notice);
    }

    void finish_stop()
    {
        caller_.stop();
        const bool busy = (backend_.busy() || caller_.busy()) && guarded(guard::graceful_stop);
        if (!busy || clock_.now() - *stop_began_ > settings_.drain_timeout_)
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
    peer::mesh mesh_;
    backend::door backend_;
    caller::door caller_;
    std::unique_ptr<platform_task> platform_;
    http::server operators_;
    http::server metrics_server_;
    timer control_timer_;
    timer leave_timer_;
    timer stop_timer_;
    decide::configuration_ptr in_force_;
    std::set<service_name> moving_;
    std::map<move_id, std::string> waiting_for_; // as logged last
    std::uint64_t evidence_second_ = 0;
    operators::sample_ring samples_;
    std::vector<std::string> problems_;
    std::optional<time_point> stop_began_;
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
    parts.backend_ = backend::own_protocol();
    parts.make_platform_task_ = [](event_loop& loop, metrics& counts, const platform_task_settings& own,
                                   std::function<void(decide::control_event)> tell) {
        return std::make_unique<object_store::watcher>(loop, counts, own, std::move(tell));
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

int print_faults(const std::vector<error>& faults)
{
    for (const error& e : faults)
        std::cerr << to_string(e) << " (" << remedy(e.code_) << ")\n";
    return exit_faulty_settings;
}

} // namespace guavahaven
