// The task that talks to the users' store: what it reads and writes, how often, and how it recovers from
// failures of the store.

#include "watcher.h"

#include <gtest/gtest.h>

#include "decide/configuration/order_set.h"
#include "support/users_store.h"

namespace guavahaven::platform {

namespace {

using nlohmann::json;

constexpr duration timeout = std::chrono::seconds(20);
constexpr duration poll_interval = std::chrono::milliseconds(10);
constexpr duration min_pause =
    std::chrono::milliseconds(100); // minimum between two watches of the configuration

json configuration(int number)
{
    return {
        {"version", "r" + std::to_string(number)},
        {"routes", json::object()},
        {"services", json::object()},
        {"limits",
         {{"maxHeaderBytes", 8192}, {"maxBodyBytes", 65536}, {"headerTimeoutS", 5}, {"idleTimeoutS", 10}}}};
}

class following : public testing::Test {
protected:
    following()
        : store_(loop_), watcher_(loop_, metrics_, {store_.address(), data_center_name("leon"), 7}, {},
                                  [this](const decide::control_event& e) { events_.push_back(e); })
    {
    }

    // Runs the loop until a condition holds; false if it doesn't within the time.
    template <class Condition>
    bool run_until(const Condition& holds, duration within = timeout)
    {
        const time_point until = clock_.now() + within;
        while (!holds() && clock_.now() < until) {
            timer pause(loop_, [this] { loop_.stop(); });
            pause.arm(poll_interval);
            loop_.run();
        }
        return holds();
    }
    void run_for(duration time)
    {
        const time_point until = clock_.now() + time;
        run_until([&] { return clock_.now() >= until; });
    }

    template <class Event>
    std::vector<Event> events_of() const
    {
        std::vector<Event> found;
        for (const decide::control_event& e : events_)
            if (const auto* one = std::get_if<Event>(&e))
                found.push_back(*one);
        return found;
    }
    // The rules of the orders passed to the control task so far, joined as it joins them.
    std::string orders_in_force() const
    {
        decide::order_set joined;
        for (const decide::platform_orders& o : events_of<decide::platform_orders>()) {
            if (o.subject_prefix_.empty())
                joined.merge(o.orders_);
            else
                joined.merge_snapshot(o.subject_prefix_, o.orders_, o.revision_);
        }
        return joined.rules();
    }
    bool is_out(const std::string& data_center) const
    {
        return orders_in_force().find("out " + data_center) != std::string::npos;
    }
    // The store is away until it is put back into service; returns once the daemon has noticed.
    bool take_store_down()
    {
        store_.faults_.down_ = true;
        store_.cut_watches();
        return run_until([&] {
            const auto asked = events_of<decide::platform_read_result>();
            return !asked.empty() && !asked.back().answered_;
        });
    }
    // Number of the last configuration passed to the control task; 0 if there was none.
    std::uint64_t last_number() const
    {
        const auto all = events_of<decide::platform_configuration>();
        return all.empty() ? 0 : all.back().record_.number_.value();
    }
    // Starts as one of the daemons that watch; returns once the store has received the first watch of
    // rollouts.
    bool start_watching()
    {
        store_.put("config", "main", configuration(1));
        watcher_.start();
        watcher_.watch(true);
        return run_until([&] { return store_.count("GET /objects/rollouts?watch") > 0; });
    }

    event_loop loop_;
    runtime_clock clock_;
    metrics metrics_;
    support::users_store store_;
    std::vector<decide::control_event> events_;
    watcher watcher_;
};

} // namespace

TEST_F(following, by_a_daemon_that_leaves_the_watching_to_others_costs_two_reads)
{
    store_.put("config", "main", configuration(4));
    // When a daemon starts that doesn't watch
    watcher_.start();
    ASSERT_TRUE(run_until([&] { return last_number() == 4; }));
    // Then it has read the seeds (a cheaper, possibly stale read) and the configuration, and nothing else
    EXPECT_EQ(store_.calls().size(), 2U);
    EXPECT_EQ(store_.count("GET /objects/guavahaven-seeds/current?staleOk"), 1U);
    EXPECT_EQ(store_.count("GET /objects/config"), 1U);
    // And it has reported that the store answered
    ASSERT_FALSE(events_of<decide::platform_read_result>().empty());
    EXPECT_TRUE(events_of<decide::platform_read_result>().back().answered_);
}

TEST_F(following, begins_once_the_mesh_had_time_to_say_who_watches)
{
    store_.put("config", "main", configuration(1));
    // Given a whole fleet that starts at once, with no stored seeds: no daemon knows another one yet, so each
    // assumes that it must watch
    watcher_.start();
    watcher_.watch(true);
    ASSERT_TRUE(run_until([&] { return last_number() == 1; }));
    // When this one learns that others watch, then it has sent no watch itself
    watcher_.watch(false);
    run_for(std::chrono::seconds(3));
    EXPECT_EQ(store_.calls().size(), 2U);
}

TEST_F(following, a_storm_of_configurations_costs_few_calls_and_ends_at_the_last)
{
    ASSERT_TRUE(start_watching());
    store_.forget_calls();
    // When many configurations follow each other
    const time_point began = clock_.now();
    constexpr int last = 40;
    for (int number = 2; number <= last; ++number) {
        store_.put("config", "main", configuration(number));
        run_for(poll_interval);
    }
    ASSERT_TRUE(run_until([&] { return last_number() == last; }));
    // Then the number of calls depends on the time that passed, not on the number of changes
    const auto pauses = static_cast<std::size_t>((clock_.now() - began) / min_pause);
    EXPECT_LE(store_.count("GET /objects/config?watch"), pauses + 1);
}

TEST_F(following, goes_on_from_the_whole_after_history_was_lost)
{
    ASSERT_TRUE(start_watching());
    ASSERT_TRUE(run_until([&] { return store_.count("GET /objects/config?watch") > 0; }));
    // When the store discards its history, including a change that the daemon hasn't seen
    store_.forget_history();
    store_.put("config", "main", configuration(9));
    // Then the daemon lists all objects again and finds the change
    EXPECT_TRUE(run_until([&] { return last_number() == 9; }));
}

// Guards against daemons that learn of no configuration for half a minute after the store has lost the answer
// of a watch: its connection stays open, and nothing comes over it any more.
TEST_F(following, learns_of_changes_soon_after_the_answer_of_a_watch_was_lost)
{
    constexpr duration noticed_within = std::chrono::seconds(3);
    ASSERT_TRUE(start_watching());
    ASSERT_TRUE(run_until([&] { return store_.count("GET /objects/config?watch") > 0; }));
    run_for(std::chrono::milliseconds(100));
    // When a change is answered while answers are lost, and another one follows
    store_.faults_.loses_watch_answers_ = true;
    store_.put("config", "main", configuration(7));
    store_.put("evacuations", "leon", json::object());
    store_.faults_.loses_watch_answers_ = false;
    store_.put("config", "main", configuration(8));
    // Then the daemon has the last one within seconds, and the order soon after
    EXPECT_TRUE(run_until([&] { return last_number() == 8; }, noticed_within));
    EXPECT_TRUE(run_until([&] { return is_out("leon"); }, noticed_within));
}

TEST_F(following, survives_an_outage_and_says_so)
{
    ASSERT_TRUE(start_watching());
    // When the store refuses every call, and objects change meanwhile
    store_.faults_.down_ = true;
    store_.forget_history();
    ASSERT_TRUE(run_until([&] {
        const auto asked = events_of<decide::platform_read_result>();
        return !asked.empty() && !asked.back().answered_;
    }));
    store_.put("config", "main", configuration(5));
    store_.put("evacuations", "leon", json::object());
    // Then both changes are reported once the store has recovered
    store_.faults_.down_ = false;
    EXPECT_TRUE(run_until([&] { return last_number() == 5; }));
    EXPECT_TRUE(run_until([&] {
        const auto orders = events_of<decide::platform_orders>();
        return std::any_of(orders.begin(), orders.end(), [](const decide::platform_orders& o) {
            return !o.orders_.empty() && o.orders_.front().subject_ == "evacuations/leon" &&
                   !o.orders_.front().rule_.empty();
        });
    }));
}

TEST_F(following, tells_of_the_end_of_an_evacuation)
{
    ASSERT_TRUE(start_watching());
    store_.put("evacuations", "leon", json::object());
    ASSERT_TRUE(run_until([&] { return events_of<decide::platform_orders>().size() > 2; }));
    // When the operators delete the evacuation
    store_.remove("evacuations", "leon");
    // Then an order without a rule is reported, which replaces the earlier order of the same subject
    EXPECT_TRUE(run_until([&] {
        const auto orders = events_of<decide::platform_orders>().back().orders_;
        return orders.size() == 1 && orders.front().subject_ == "evacuations/leon" &&
               orders.front().rule_.empty();
    }));
}

TEST_F(following, writes_the_status_of_a_roll_out_until_it_is_there)
{
    ASSERT_TRUE(start_watching());
    // Given a store that applies writes but whose responses to them are lost
    store_.faults_.loses_writes_ = true;
    // When a rollout is created
    store_.put("rollouts", "board", {{"service", "board"}, {"targetVersion", "v2"}, {"durationS", 10}});
    // Then its status says that it is active
    ASSERT_TRUE(run_until([&] { return !store_.status("rollouts", "board").is_null(); }));
    EXPECT_EQ(store_.status("rollouts", "board").at("state"), "active");
    // And when the version is withdrawn, the status says that it was rolled back
    ASSERT_TRUE(run_until([&] { return !events_of<decide::platform_moves>().empty(); }));
    decide::move_fact fact = events_of<decide::platform_moves>().front().facts_.front();
    fact.withdrawn_ = true;
    watcher_.store_move(fact);
    EXPECT_TRUE(run_until([&] { return store_.status("rollouts", "board").at("state") == "rolled_back"; }));
}

TEST_F(following, keeps_a_status_for_the_store_s_return)
{
    ASSERT_TRUE(start_watching());
    store_.put("rollouts", "board", {{"service", "board"}, {"targetVersion", "v2"}, {"durationS", 10}});
    ASSERT_TRUE(run_until([&] { return !store_.status("rollouts", "board").is_null(); }));
    // Given a store that refuses every call
    store_.faults_.down_ = true;
    store_.forget_history();
    ASSERT_TRUE(run_until([&] {
        const auto asked = events_of<decide::platform_read_result>();
        return !asked.empty() && !asked.back().answered_;
    }));
    // When the version is withdrawn, then no write is attempted while the store is unreachable
    decide::move_fact fact = events_of<decide::platform_moves>().front().facts_.front();
    fact.withdrawn_ = true;
    store_.forget_calls();
    watcher_.store_move(fact);
    run_for(std::chrono::seconds(2));
    EXPECT_EQ(store_.count("PUT /objects/rollouts/board/status"), 0U);
    // But the status is written once the store has recovered
    store_.faults_.down_ = false;
    EXPECT_TRUE(run_until([&] { return store_.status("rollouts", "board").at("state") == "rolled_back"; }));
}

// Guards against orders that are read only once something of the configuration has changed after an outage.
TEST_F(following, reads_orders_after_an_outage_though_nothing_else_changes)
{
    ASSERT_TRUE(start_watching());
    ASSERT_TRUE(take_store_down());
    // When the store is back with all its history, and a data centre is to be evacuated
    store_.faults_.down_ = false;
    store_.put("evacuations", "leon", json::object());
    // Then the daemon reads that within the 5 s that the users allow
    EXPECT_TRUE(run_until([&] { return is_out("leon"); }, std::chrono::seconds(5)));
}

// Guards against watches that go on from a revision that a restored store has given out again: what differs
// below it would never be read.
TEST_F(following, reads_all_again_from_a_restored_store_that_knows_its_revision)
{
    ASSERT_TRUE(start_watching());
    store_.keep_copy();
    for (int number = 2; number <= 4; ++number)
        store_.put("config", "main", configuration(number));
    ASSERT_TRUE(run_until([&] { return last_number() == 4; }));
    ASSERT_TRUE(take_store_down());
    // Given a store that lost these configurations, and in which the revisions after the copy belong to other
    // changes, the last one later than any that the daemon has seen
    store_.restore_copy();
    store_.put("config", "main", configuration(5));
    store_.put("evacuations", "leon", json::object());
    while (store_.revision() < 20)
        store_.put("evacuations", "celaya", {{"note", store_.revision()}});
    // When it is back, then the daemon learns of all of them
    store_.faults_.down_ = false;
    EXPECT_TRUE(run_until([&] { return last_number() == 5; }, std::chrono::seconds(5)));
    EXPECT_TRUE(run_until([&] { return is_out("leon"); }, std::chrono::seconds(5)));
}

// Guards against new orders that are taken for old ones, since a restored store gives out lower revisions.
TEST_F(following, takes_an_order_of_a_restored_store_for_newer_than_any_before)
{
    ASSERT_TRUE(start_watching());
    store_.keep_copy();
    // Given a data centre that was out and is back, both in what the store has lost
    store_.put("evacuations", "leon", json::object());
    ASSERT_TRUE(run_until([&] { return is_out("leon"); }));
    for (int number = 2; number <= 4; ++number)
        store_.put("config", "main", configuration(number));
    store_.remove("evacuations", "leon");
    ASSERT_TRUE(run_until([&] { return !is_out("leon"); }));
    ASSERT_TRUE(take_store_down());
    store_.restore_copy();
    store_.faults_.down_ = false;
    run_for(std::chrono::seconds(3));
    // When it is to be evacuated once more
    store_.put("evacuations", "leon", json::object());
    // Then the daemon knows that within the 5 s that the users allow
    EXPECT_TRUE(run_until([&] { return is_out("leon"); }, std::chrono::seconds(5)));
}

// Guards against a data centre that takes requests again, since the store has lost its evacuation and the
// operators have not written it again yet.
TEST_F(following, keeps_an_order_that_a_restored_store_has_lost_until_operators_had_time_to_write_it_again)
{
    ASSERT_TRUE(start_watching());
    store_.keep_copy();
    store_.put("evacuations", "leon", json::object());
    ASSERT_TRUE(run_until([&] { return is_out("leon"); }));
    ASSERT_TRUE(take_store_down());
    // When the store is back without the evacuation
    store_.restore_copy();
    store_.faults_.down_ = false;
    ASSERT_TRUE(run_until([&] { return events_of<decide::platform_read_result>().back().answered_; }));
    run_for(std::chrono::milliseconds(700));
    // Then the data centre stays out, and also once the operators have written the evacuation again
    EXPECT_TRUE(is_out("leon"));
    store_.put("evacuations", "leon", json::object());
    run_for(std::chrono::seconds(3));
    EXPECT_TRUE(is_out("leon"));
    // And when they end it, the data centre is back
    store_.remove("evacuations", "leon");
    EXPECT_TRUE(run_until([&] { return !is_out("leon"); }));
}

// Guards against a roll-out that begins anew, since operators have written its lost order again: its version
// may have been withdrawn, or be the only one that still runs.
TEST_F(following, takes_a_roll_out_that_operators_wrote_again_for_the_same)
{
    const json spec{{"service", "board"}, {"targetVersion", "v2"}, {"durationS", 10}};
    const auto last_move = [this] { return events_of<decide::platform_moves>().back().facts_.front().id_; };
    ASSERT_TRUE(start_watching());
    store_.keep_copy();
    store_.put("config", "main", configuration(2));
    store_.put("rollouts", "board", spec);
    ASSERT_TRUE(run_until([&] { return !store_.status("rollouts", "board").is_null(); }));
    const move_id ordered = last_move();
    const std::string rule = orders_in_force();
    ASSERT_TRUE(take_store_down());
    // When the store has lost the order, and the operators write it again
    store_.restore_copy();
    store_.put("rollouts", "board", spec);
    store_.faults_.down_ = false;
    ASSERT_TRUE(run_until([&] { return !store_.status("rollouts", "board").is_null(); }));
    run_for(std::chrono::milliseconds(100));
    // Then the move and its deadline are the same
    EXPECT_EQ(last_move(), ordered);
    EXPECT_EQ(orders_in_force(), rule);
    // But an order that follows its deletion is another one
    store_.remove("rollouts", "board");
    store_.put("rollouts", "board", spec);
    ASSERT_TRUE(run_until([&] { return last_move() != ordered; }));
}

// Guards against taking back a lost order at once where the restored store is met by a list, and not by a
// watch.
TEST_F(following, gives_operators_time_also_if_the_first_answer_of_a_restored_store_is_a_list)
{
    ASSERT_TRUE(start_watching());
    store_.keep_copy();
    store_.put("evacuations", "leon", json::object());
    ASSERT_TRUE(run_until([&] { return is_out("leon"); }));
    // When the store is restored in a moment, and says only that the history of a watch is gone
    store_.restore_copy();
    store_.forget_history();
    run_for(std::chrono::milliseconds(1500));
    // Then the data centre stays out
    EXPECT_TRUE(is_out("leon"));
    // Until the operators have had time to write the evacuation again
    EXPECT_TRUE(run_until([&] { return !is_out("leon"); }));
}

// Guards against an order that is taken for one of the same content that was taken back long ago.
TEST_F(following, takes_a_roll_out_for_a_new_one_if_the_restored_store_had_none)
{
    const json spec{{"service", "board"}, {"targetVersion", "v2"}, {"durationS", 10}};
    const auto last_move = [this] { return events_of<decide::platform_moves>().back().facts_.front().id_; };
    ASSERT_TRUE(start_watching());
    store_.keep_copy();
    store_.put("rollouts", "board", spec);
    ASSERT_TRUE(run_until([&] { return !store_.status("rollouts", "board").is_null(); }));
    const move_id ordered = last_move();
    ASSERT_TRUE(take_store_down());
    // Given a restored store without the roll-out, which the operators have not written again in time
    store_.restore_copy();
    store_.put("config", "main", configuration(2));
    store_.faults_.down_ = false;
    ASSERT_TRUE(run_until([&] { return orders_in_force().empty(); }));
    // When they order one of the same content, then it is another move
    store_.put("rollouts", "board", spec);
    EXPECT_TRUE(run_until([&] { return last_move() != ordered; }));
}

// Guards against a status that is written over another order, which has the revision that was known of
// before.
TEST_F(following, writes_no_status_before_it_has_read_the_orders_of_a_restored_store)
{
    ASSERT_TRUE(start_watching());
    store_.keep_copy();
    store_.put("rollouts", "board", {{"service", "board"}, {"targetVersion", "v2"}, {"durationS", 10}});
    ASSERT_TRUE(run_until([&] { return !store_.status("rollouts", "board").is_null(); }));
    decide::move_fact fact = events_of<decide::platform_moves>().front().facts_.front();
    fact.withdrawn_ = true;
    ASSERT_TRUE(take_store_down());
    watcher_.store_move(fact);
    store_.restore_copy();
    store_.forget_calls();
    store_.faults_.down_ = false;
    ASSERT_TRUE(run_until([&] { return store_.count("GET /objects/rollouts") > 0; }));
    EXPECT_EQ(store_.count("PUT /objects/rollouts/board/status"), 0U);
}

TEST_F(following, passes_over_what_another_writer_spoilt)
{
    ASSERT_TRUE(start_watching());
    // When objects arrive that can't be decoded
    store_.put("config", "main", {{"version", 7}});
    store_.put("rollouts", "board", "later");
    // Then the objects after them are handled as usual
    store_.put("rollouts", "desk", {{"service", "desk"}, {"targetVersion", "v2"}, {"durationS", 10}});
    store_.put("config", "main", configuration(8));
    EXPECT_TRUE(run_until([&] { return last_number() == 8; }));
    EXPECT_TRUE(run_until([&] {
        const auto moves = events_of<decide::platform_moves>();
        return !moves.empty() && moves.back().service_ == service_name("desk");
    }));
}

} // namespace guavahaven::platform
