// Bad input of every kind, a bounded count from a seed: each is taken or gets an
// error with a code, and nothing is kept of a bad one. The sanitizers watch.

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "fuzz/mutator.h"
#include "object_store/objects.h"
#include "operator/daemon_settings.h"
#include "operator/rules.h"
#include "operator/status.h"
#include "peer/message.h"

namespace guavahaven::fuzz {

namespace {

constexpr std::uint64_t seed = 20'261'204;
constexpr int inputs = 4'000;

std::string example(const std::string& name)
{
    std::ifstream in(std::string(SOURCE_DIR "/examples/") + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::vector<std::string> frames()
{
    const decide::call_id id{incarnation(7), 8};
    decide::call call;
    call.id_ = id;
    call.request_ = {"POST", "/placements", {{"Idempotency-Key", "k"}}, "maria"};
    decide::member m;
    m.name_ = daemon_name("10.0.0.1:7100");
    return {peer::to_frame(peer::hello{peer::protocol_version, m.name_, incarnation(7)}),
            peer::to_frame(decide::entry_to_gate(call)),
            peer::to_frame(decide::gate_to_entry(decide::answer{id, {}, {200, {}, "v1"}, true})),
            peer::to_frame(decide::control_message(decide::member_updates{{m, m}})),
            peer::to_frame(decide::control_message(decide::move_facts{{decide::move_fact{}}}))};
}

} // namespace

TEST(fuzz, rules_are_taken_whole_or_every_fault_has_a_code)
{
    mutator random(seed);
    const std::vector<std::string> samples{
        example("bajio.rules"), example("sicilia.rules"),
        "move board to v2 by 2030-01-01T00:00Z from 5% # x\n"
        "split board v1 50% v2 50% # x\nlimit board 5 at once # x\nout a # x\n"};
    for (int i = 0; i < inputs; ++i) {
        const std::string text = random.next(samples);
        const operators::parsed_rules parsed = operators::parse_rules(text);
        if (const auto* whole = std::get_if<decide::configuration>(&parsed)) {
            EXPECT_EQ(whole->text_, text);
            continue;
        }
        const auto& faults = std::get<std::vector<operators::rules_fault>>(parsed);
        ASSERT_FALSE(faults.empty());
        for (const operators::rules_fault& f : faults)
            EXPECT_FALSE(remedy(f.error_.code_).empty()) << to_string("fuzz", f);
    }
}

TEST(fuzz, settings_are_taken_or_every_fault_has_a_code)
{
    mutator random(seed);
    const std::vector<std::string> samples{example("bajio-leon.ini"), example("sicilia-messina.ini")};
    for (int i = 0; i < inputs; ++i) {
        const result<settings_file> file = settings_file::parse("fuzz", random.next(samples));
        if (!ok(file)) {
            EXPECT_EQ(failure(file).code_, code::settings_unreadable);
            continue;
        }
        const operators::parsed_settings parsed = operators::read_daemon_settings(value(file));
        if (const auto* faults = std::get_if<std::vector<error>>(&parsed)) {
            EXPECT_FALSE(faults->empty());
        }
    }
}

TEST(fuzz, peer_frames_are_read_or_end_the_stream_with_a_code)
{
    mutator random(seed);
    const std::vector<std::string> samples = frames();
    std::size_t refused = 0;
    for (int i = 0; i < inputs; ++i) {
        peer::frame_reader reader;
        reader.append(random.next(samples));
        while (const auto next = reader.next()) {
            if (ok(*next))
                continue;
            const code c = failure(*next).code_;
            EXPECT_TRUE(c == code::frame_malformed || c == code::frame_too_large ||
                        c == code::frame_protocol_version);
            ++refused;
            break;
        }
    }
    EXPECT_GT(refused, 0U);
}

TEST(fuzz, platform_objects_are_read_or_refused_with_a_code)
{
    mutator random(seed);
    const std::vector<std::string> samples{
        object_store::to_bytes(
            decide::configuration_record{configuration_number(3), "ana", 5, "out leon # x\n"}),
        object_store::to_bytes(std::vector<decide::move_fact>{decide::move_fact{}}),
        object_store::to_bytes(
            std::vector<decide::seed>{{data_center_name("leon"), daemon_name("10.0.0.1:7100")}})};
    for (int i = 0; i < inputs; ++i) {
        const std::string bytes = random.next(samples);
        const auto record = object_store::to_record(bytes);
        if (!ok(record)) {
            EXPECT_EQ(failure(record).code_, code::platform_malformed);
        }
        const auto facts = object_store::to_facts(bytes);
        if (!ok(facts)) {
            EXPECT_EQ(failure(facts).code_, code::platform_malformed);
        }
        const auto seeds = object_store::to_seeds(bytes);
        if (!ok(seeds)) {
            EXPECT_EQ(failure(seeds).code_, code::platform_malformed);
        }
    }
}

TEST(fuzz, a_daemons_status_is_read_or_refused_with_a_code)
{
    mutator random(seed);
    operators::daemon_status s;
    s.name_ = "10.0.0.1:7100";
    s.members_.push_back({});
    s.moves_.push_back({});
    for (int i = 0; i < inputs; ++i) {
        const auto read = operators::parse_status(random.next({operators::to_json(s)}));
        if (!ok(read)) {
            EXPECT_EQ(failure(read).code_, code::frame_malformed);
        }
    }
}

} // namespace guavahaven::fuzz
