// Guards against moves that are withdrawn although the version is good, are done although it is bad, or start
// again after a withdrawal. One judge sees simulated time and the reports of four gates of each version in
// two data centres; the runs are drawn by a seeded generator.

#include "decide/moves/move_tracker.h"

#include <gtest/gtest.h>

#include "base/random.h"

namespace guavahaven::decide {

namespace {

constexpr std::uint64_t start_second = 1'800'000'000;
constexpr std::uint64_t move_seconds = 120;
constexpr double runs_per_second = 120; // of the service, over all routes and data centres

// Shares of bad runs of a version.
struct quality {
    double failing_ = 0;
    double slow_ = 0;
};
// The quality of a version at a second of the move, on a route, in a data centre.
using behaviour = std::function<quality(std::uint64_t second, const std::string& route, int data_center)>;

quality healthy(std::uint64_t, const std::string&, int)
{
    return {};
}

wall_time wall_at(double second)
{
    return wall_time(std::chrono::seconds(start_second)) +
           duration(static_cast<std::int64_t>(second * 1'000'000));
}

class moving_service {
public:
    moving_service(std::uint64_t seed, behaviour of_new, behaviour of_old)
        : random_(seed), new_(std::move(of_new)), old_(std::move(of_old))
    {
        for (const char* route : {"GET /shifts", "POST /placements"})
            rules_.routes_.push_back(
                {"GET", route, false, "", {}, {{service_name("board"), 1}}, class_name("lookup"), {}});
        rule_.service_ = service_name("board");
        rule_.version_ = version_name("v2");
        rule_.deadline_ = wall_at(move_seconds);
        rule_.start_share_ = 0.05;
        rules_.moves_.push_back(rule_);
        for (int i = 0; i < 4; ++i) {
            for (const char* version : {"v1", "v2"}) {
                member m;
                m.name_ = daemon_name("10.0.0." + std::to_string(i) + ":" + version);
                m.data_center_ = data_center_name(i < 2 ? "leon" : "celaya");
                m.service_ = rule_.service_;
                m.version_ = version_name(version);
                members_.push_back(m);
                version_stats e;
                e.move_ = rule_.id();
                e.gate_ = m.name_;
                e.incarnation_ = incarnation(1);
                e.version_ = m.version_;
                e.data_center_ = m.data_center_;
                e.limit_ = 12;
                e.busy_ = std::chrono::milliseconds(500);
                for (const route_rule& r : rules_.routes_)
                    e.routes_.push_back({r.path_, r.class_, 0, 0, {0, 0, 0, 0}});
                counts_.push_back(e);
            }
        }
        self_ = judges_of(rule_, members_).front();
        tracker_.set_configuration(rules_);
        tracker_.mark_facts_loaded(rule_.service_);
    }

    move_fact fact() const
    {
        const std::vector<move_fact> all = tracker_.effective_facts(rules_, wall_at(now_));
        return all.empty() ? move_fact{} : all.front();
    }

    // Advances the time to this second, or until the move has ended.
    void run_until(std::uint64_t second)
    {
        for (; now_ < static_cast<double>(second) && !fact().withdrawn_ && !fact().done_; now_ += 1) {
            tracker_.tick(rules_, members_, self_, wall_at(now_));
            draw_second(static_cast<std::uint64_t>(now_));
            tracker_.merge(counts_);
        }
        tracker_.tick(rules_, members_, self_, wall_at(now_));
    }
    void run() { run_until(move_seconds + 1); }

    std::uint64_t new_runs() const { return new_runs_; }
    double ended_at() const { return now_; }
    std::set<double> shares_seen() const { return shares_; }
    move_tracker& tracker() { return tracker_; }
    const configuration& rules() const { return rules_; }
    const std::vector<member>& members() const { return members_; }
    std::uint32_t& limit_of(std::size_t i) { return counts_[i].limit_; }
    std::vector<version_stats>& counts() { return counts_; }
    double load_ = runs_per_second;
    double new_in_first_ = 0.5; // share of the new version's runs that fall into the first data centre

private:
    void draw_second(std::uint64_t second)
    {
        const double share = fact().id_ == rule_.id() ? share_of(rule_, fact()) : 0;
        shares_.insert(share);
        for (version_stats& e : counts_) {
            const bool is_new = e.version_ == rule_.version_;
            const int place = e.data_center_ == data_center_name("leon") ? 0 : 1;
            const double here = is_new ? (place == 0 ? new_in_first_ : 1 - new_in_first_) : 0.5;
            const double expected = load_ / 4 * here * (is_new ? share : 1 - share);
            e.second_ = start_second + second;
            for (route_counts& r : e.routes_) {
                const quality q = (is_new ? new_ : old_)(second, r.route_, place);
                const std::uint64_t runs = std::poisson_distribution<std::uint64_t>(expected)(random_);
                new_runs_ += is_new ? runs : 0;
                r.ran_ += runs;
                for (std::uint64_t i = 0; i < runs; ++i) {
                    r.failed_ += random_share(random_) < q.failing_ ? 1 : 0;
                    const std::uint64_t slow = random_share(random_) < q.slow_ ? 1 : 0;
                    for (std::uint64_t& level : r.slower_than_level_)
                        level += slow;
                }
            }
        }
    }

    random_engine random_;
    behaviour new_;
    behaviour old_;
    configuration rules_;
    move_rule rule_;
    std::vector<member> members_;
    std::vector<version_stats> counts_;
    daemon_name self_;
    move_tracker tracker_;
    double now_ = 0;
    std::uint64_t new_runs_ = 0;
    std::set<double> shares_;
};

behaviour bad_from(std::uint64_t second, quality q)
{
    return [=](std::uint64_t now, const std::string&, int) { return now >= second ? q : quality{}; };
}

struct outcomes {
    int done_ = 0;
    int withdrawn_ = 0; // by a test, not by the deadline
    std::uint64_t most_new_runs_ = 0;
    double latest_end_ = 0;
};

outcomes run_seeds(std::uint64_t seeds, const behaviour& of_new, const behaviour& of_old,
                   double new_in_first = 0.5)
{
    outcomes o;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        moving_service s(seed, of_new, of_old);
        s.new_in_first_ = new_in_first;
        s.run();
        o.done_ += s.fact().done_ ? 1 : 0;
        o.withdrawn_ += s.fact().withdrawn_ && s.fact().reason_.starts_with("route") ? 1 : 0;
        o.most_new_runs_ = std::max(o.most_new_runs_, s.new_runs());
        o.latest_end_ = std::max(o.latest_end_, s.ended_at());
    }
    return o;
}

} // namespace

TEST(move_tracker, good_versions_are_done_by_their_deadline)
{
    constexpr int seeds = 200;
    {
        SCOPED_TRACE("Given versions that both never fail");
        const outcomes o = run_seeds(seeds, healthy, healthy);
        EXPECT_EQ(o.done_, seeds);
        EXPECT_LT(o.latest_end_, move_seconds);
    }
    {
        SCOPED_TRACE("Given versions that both sometimes fail and sometimes are slow");
        const auto ordinary = bad_from(0, {0.02, 0.02});
        const outcomes o = run_seeds(seeds, ordinary, ordinary);
        EXPECT_EQ(o.withdrawn_, 0); // expected for at most 0.001 of the moves
        EXPECT_GE(o.done_, seeds * 99 / 100);
    }
    {
        SCOPED_TRACE("Given a data centre in which both versions are slow and failing for 30 s");
        const auto one_data_center = [](std::uint64_t second, const std::string&, int place) {
            return place == 0 && second >= 30 && second < 60 ? quality{0.5, 0.9} : quality{};
        };
        for (const double new_in_first : {0.5, 0.95}) {
            const outcomes o = run_seeds(seeds, one_data_center, one_data_center, new_in_first);
            EXPECT_EQ(o.withdrawn_, 0);
            EXPECT_GE(o.done_, seeds * 99 / 100);
        }
    }
}

TEST(move_tracker, bad_versions_are_withdrawn_soon)
{
    constexpr int seeds = 100;
    {
        SCOPED_TRACE("Given a version that always fails");
        const outcomes o = run_seeds(seeds, bad_from(0, {1.0, 0}), healthy);
        EXPECT_EQ(o.withdrawn_, seeds);
        EXPECT_LT(o.most_new_runs_, 60U); // as many as in ten seconds at the first share
    }
    {
        SCOPED_TRACE("Given a version that fails in a fifth of its runs");
        const outcomes o = run_seeds(seeds, bad_from(0, {0.2, 0}), healthy);
        EXPECT_EQ(o.withdrawn_, seeds);
    }
    {
        SCOPED_TRACE(
            "Given a version that is slow in half of its runs, and an old one that sometimes is slow");
        const outcomes o = run_seeds(seeds, bad_from(0, {0, 0.5}), bad_from(0, {0, 0.02}));
        EXPECT_EQ(o.withdrawn_, seeds);
    }
    {
        SCOPED_TRACE("Given a version that fails on one route only");
        const auto one_route = [](std::uint64_t, const std::string& route, int) {
            return route == "POST /placements" ? quality{0.5, 0} : quality{};
        };
        const outcomes o = run_seeds(seeds, one_route, healthy);
        EXPECT_EQ(o.withdrawn_, seeds);
    }
    {
        SCOPED_TRACE("Given a version that turns bad at the last stage");
        const outcomes o = run_seeds(seeds, bad_from(95, {0.5, 0}), healthy);
        EXPECT_EQ(o.withdrawn_, seeds);
        EXPECT_LT(o.latest_end_, 107); // within a few seconds
    }
    {
        SCOPED_TRACE(
            "Given a version that turns bad at the last stage, and both versions fail sometimes before");
        const auto late = [](std::uint64_t second, const std::string&, int) {
            return second < 85 ? quality{0.04, 0} : quality{0.4, 0};
        };
        const outcomes o = run_seeds(seeds, late, bad_from(0, {0.06, 0}));
        EXPECT_EQ(o.withdrawn_, seeds);
        EXPECT_LT(o.latest_end_, 107);
    }
}

TEST(move_tracker, too_few_runs_end_in_withdrawal_at_the_deadline)
{
    // Given a service that hardly anybody calls
    moving_service s(1, healthy, healthy);
    s.load_ = 0.05;

    // When its deadline passes
    s.run();

    // Then the move is shown as withdrawn, with the deadline as its reason
    EXPECT_TRUE(s.fact().withdrawn_);
    EXPECT_EQ(s.fact().reason_, "not done by its deadline");
    // And the withdrawal is not a fact: a late report that the move was done would still count
    EXPECT_FALSE(s.tracker().facts().front().withdrawn_);
}

TEST(move_tracker, cold_backend_servers_hold_back_the_next_share)
{
    // Given gates of the new version that admit one run at a time, and busy gates of the old version
    moving_service s(1, healthy, healthy);
    for (version_stats& e : s.counts()) {
        const bool is_new = e.version_ == version_name("v2");
        e.limit_ = is_new ? 1 : 12;
        e.busy_ = std::chrono::seconds(is_new ? 1 : 8);
    }
    s.run_until(60);
    EXPECT_LE(*s.shares_seen().rbegin(), 0.05);
    EXPECT_EQ(s.tracker().waiting_for(s.rules().moves_.front().id()),
              "its backend servers are not yet warm enough for the next share");

    // When they have warmed up
    for (version_stats& e : s.counts())
        e.limit_ = 12;

    // Then the move is done in the time that is left
    s.run();
    EXPECT_TRUE(s.fact().done_) << s.fact().reason_;
}

TEST(move_tracker, a_withdrawal_is_final_until_a_new_rule_comes)
{
    moving_service s(1, bad_from(0, {1.0, 0}), healthy);
    s.run();
    ASSERT_TRUE(s.fact().withdrawn_);
    const move_fact withdrawn = s.fact();
    {
        SCOPED_TRACE("When late facts of the same move come in, even that it was done");
        move_fact late = withdrawn;
        late.withdrawn_ = false;
        late.done_ = true;
        late.stage_ = 4;
        s.tracker().merge(std::vector<move_fact>{late});
        EXPECT_TRUE(s.fact().withdrawn_);
        EXPECT_EQ(share_of(s.rules().moves_.front(), s.fact()), 0);
    }
    {
        SCOPED_TRACE("When the rule is removed and the same rule comes back");
        s.tracker().set_configuration(configuration{});
        EXPECT_TRUE(s.tracker().facts().empty());
        s.tracker().set_configuration(s.rules());
        EXPECT_TRUE(s.fact().withdrawn_);
    }
    {
        SCOPED_TRACE("When a rule with another deadline moves the same version");
        configuration again = s.rules();
        again.moves_.front().deadline_ += std::chrono::hours(1);
        s.tracker().set_configuration(again);
        EXPECT_TRUE(s.tracker().facts().empty());
        // And late facts and reports of the older move have no effect on the new one
        s.tracker().merge(std::vector<move_fact>{withdrawn});
        s.tracker().merge(s.counts());
        EXPECT_TRUE(s.tracker().facts().empty());
        EXPECT_TRUE(s.tracker().known_version_stats().empty());
    }
}

TEST(move_tracker, does_not_begin_a_move_that_may_have_been_withdrawn)
{
    // Given a daemon that has just started and not yet read the platform's facts
    moving_service s(1, healthy, healthy);
    move_tracker fresh;
    fresh.set_configuration(s.rules());
    const daemon_name judge = judges_of(s.rules().moves_.front(), s.members()).front();
    EXPECT_TRUE(fresh.tick(s.rules(), s.members(), judge, wall_at(10)).empty());

    // When they are read, and there is a withdrawal among them
    move_fact withdrawn;
    withdrawn.id_ = s.rules().moves_.front().id();
    withdrawn.withdrawn_ = true;
    fresh.mark_facts_loaded(service_name("board"));
    fresh.merge(std::vector<move_fact>{withdrawn});

    // Then the move stays withdrawn
    EXPECT_TRUE(fresh.tick(s.rules(), s.members(), judge, wall_at(11)).empty());
    EXPECT_TRUE(fresh.facts().front().withdrawn_);
}

TEST(move_tracker, reports_merge_in_any_order)
{
    // Given the reports of a failing version, once in order and once repeated and out of order
    const auto reports = [] {
        moving_service s(7, bad_from(0, {1.0, 0}), healthy);
        s.run_until(8);
        return s.counts();
    }();
    move_judge in_order(version_name("v2"), 2, 100);
    move_judge crossed(version_name("v2"), 2, 100);
    for (const version_stats& e : reports) {
        in_order.add_report(e);
        crossed.add_report(e);
        version_stats older = e;
        --older.second_;
        older.routes_.clear();
        crossed.add_report(older);
        crossed.add_report(e);
    }

    // Then both judges hold the same counts
    EXPECT_EQ(in_order.totals(), crossed.totals());
    EXPECT_EQ(in_order.latest_reports(), crossed.latest_reports());
}

} // namespace guavahaven::decide
