// The command line as operators and scripts see it: exit statuses and JSON.

#include <gtest/gtest.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "support/mesh.h"

namespace guavahaven::operators {

namespace {

using nlohmann::json;
using support::finished;

constexpr const char* good = "class lookup deadline 2s # office\n"
                             "service board version v1 # office\n"
                             "route GET /shifts/* to board as lookup # office\n";

std::string file_of(const std::string& text)
{
    const std::string path = support::scratch_folder() + "/a.rules";
    std::ofstream(path) << text;
    return path;
}

finished guavahaven_with(const std::vector<std::string>& arguments)
{
    return support::run("guavahaven", arguments);
}

} // namespace

TEST(command_line, check_tells_a_good_file_from_a_faulty_one)
{
    // A good file
    const finished valid = guavahaven_with({"check", file_of(good)});
    EXPECT_EQ(valid.status_, 0);
    EXPECT_NE(valid.output_.find("valid: 1 services, 1 routes"), std::string::npos) << valid.output_;
    EXPECT_TRUE(
        json::parse(guavahaven_with({"check", file_of(good), "--json"}).output_).at("valid").get<bool>());

    // A faulty one, with the place and code of its fault
    const std::string faulty = file_of(std::string(good) + "out # office\n");
    const finished refused = guavahaven_with({"check", faulty});
    EXPECT_EQ(refused.status_, 2);
    EXPECT_NE(refused.output_.find(faulty + ":4:4: E110 rules_syntax"), std::string::npos) << refused.output_;
    const finished scripted = guavahaven_with({"check", faulty, "--json"});
    EXPECT_EQ(scripted.status_, 2);
    const json told = json::parse(scripted.output_);
    EXPECT_FALSE(told.at("valid").get<bool>());
    EXPECT_EQ(told.at("faults").at(0).at("line"), 4);
    EXPECT_EQ(told.at("faults").at(0).at("code"), 110);

    // One that is not there
    const finished absent = guavahaven_with({"check", "/nowhere/a.rules"});
    EXPECT_EQ(absent.status_, 2);
    EXPECT_NE(absent.output_.find("E118 rules_unreadable"), std::string::npos) << absent.output_;
}

TEST(command_line, wrong_usage_has_a_status_of_its_own)
{
    EXPECT_EQ(guavahaven_with({}).status_, 1);
    EXPECT_EQ(guavahaven_with({"dance"}).status_, 1);
    EXPECT_EQ(guavahaven_with({"diff", file_of(good), "--platform=nowhere"}).status_, 1);
    EXPECT_EQ(guavahaven_with({"status", "--daemon=nowhere"}).status_, 1);
    EXPECT_EQ(guavahaven_with({"history", "--platform=127.0.0.1:1", "--count=some"}).status_, 1);
    EXPECT_EQ(guavahaven_with({"--help"}).status_, 0);
    EXPECT_EQ(guavahaven_with({"--version"}).status_, 0);
}

TEST(command_line, says_that_nobody_answers)
{
    const std::string nobody = "127.0.0.1:" + std::to_string(support::free_port());
    EXPECT_EQ(guavahaven_with({"diff", file_of(good), "--platform=" + nobody}).status_, 3);
    EXPECT_EQ(guavahaven_with({"apply", file_of(good), "--platform=" + nobody}).status_, 3);
    EXPECT_EQ(guavahaven_with({"history", "--platform=" + nobody}).status_, 3);
    EXPECT_EQ(guavahaven_with({"explain", "GET", "/x", "--platform=" + nobody}).status_, 3);
    const finished status = guavahaven_with({"status", "--daemon=" + nobody});
    EXPECT_EQ(status.status_, 3);
    EXPECT_NE(status.output_.find("E303 peer_unreachable"), std::string::npos) << status.output_;
}

TEST(command_line, follows_a_file_from_diff_to_status)
{
    // Given two daemons
    support::mesh mesh({{{"leon", "board", "v1", {}}, {"celaya", "board", "v1", {}}}, false});
    const std::string platform = "--platform=" + http::to_string(mesh.platform());
    const std::string path = file_of(good);

    // When the file is compared with nothing, all of it is new
    const json changes = json::parse(guavahaven_with({"diff", path, platform, "--json"}).output_);
    EXPECT_EQ(changes.at("configuration"), 0);
    EXPECT_EQ(changes.at("changes").size(), 3U);

    // And once applied, it is configuration 1, on both
    const finished applied = guavahaven_with({"apply", path, platform, "--author=ana", "--json"});
    EXPECT_EQ(applied.status_, 0);
    EXPECT_EQ(json::parse(applied.output_).at("configuration"), 1);
    ASSERT_TRUE(mesh.wait_ready(1));
    const finished status =
        guavahaven_with({"status", "--daemon=" + http::to_string(mesh.at(0).operators()), "--json"});
    EXPECT_EQ(status.status_, 0) << status.output_;
    EXPECT_EQ(json::parse(status.output_).at("daemons_current"), 2);

    // A frozen daemon is told as silent, and the mesh as not yet as the file says
    mesh.at(1).daemon_->freeze();
    const finished frozen =
        guavahaven_with({"status", "--daemon=" + http::to_string(mesh.at(0).operators()), "--json"});
    mesh.at(1).daemon_->thaw();
    EXPECT_EQ(frozen.status_, 5) << frozen.output_;
    EXPECT_EQ(json::parse(frozen.output_).at("silent").size(), 1U);

    // The history names number and author, and explain reads the file in force
    const finished history = guavahaven_with({"history", platform, "--json"});
    EXPECT_EQ(json::parse(history.output_).at(0).at("author"), "ana");
    const finished explained = guavahaven_with({"explain", "GET", "/shifts/today", platform});
    EXPECT_EQ(explained.status_, 0);
    EXPECT_NE(explained.output_.find("# office"), std::string::npos) << explained.output_;
    EXPECT_EQ(guavahaven_with({"explain", "GET", "/elsewhere", platform}).status_, 2);
}

TEST(command_line, of_two_racing_operators_one_is_told_that_the_other_was_first)
{
    // Given a platform that answers so slowly that both have read before either writes
    support::mesh mesh(support::mesh_plan{});
    mesh.set_platform("slow_ms=500");
    const std::string platform = "--platform=" + http::to_string(mesh.platform());

    // When both apply at the same time
    finished eva;
    std::thread rival([&] { eva = guavahaven_with({"apply", file_of(good), platform, "--author=eva"}); });
    const finished ana = guavahaven_with(
        {"apply", file_of(std::string(good) + "out leon # night\n"), platform, "--author=ana"});
    rival.join();

    // Then one wins, and the other gets its own status, the name, and what differs
    const bool ana_won = ana.status_ == 0;
    const finished& lost = ana_won ? eva : ana;
    EXPECT_EQ((ana_won ? ana : eva).status_, 0);
    EXPECT_EQ(lost.status_, 4);
    EXPECT_NE(lost.output_.find(ana_won ? "ana applied configuration 1 first"
                                        : "eva applied configuration 1 first"),
              std::string::npos)
        << lost.output_;
    EXPECT_NE(lost.output_.find("out leon"), std::string::npos) << lost.output_;
}

TEST(command_line, the_daemon_names_faulty_settings_by_its_status)
{
    const std::string path = support::scratch_folder() + "/d.ini";
    std::ofstream(path) << "[daemon]\ndata_center = leon\nip = 127.0.0.1\ncaller_port = 0\n";
    const finished refused = support::run("guavahaven-daemon", {path});
    EXPECT_EQ(refused.status_, 2);
    EXPECT_NE(refused.output_.find("d.ini:4: daemon.caller_port"), std::string::npos) << refused.output_;
    EXPECT_NE(refused.output_.find("E103 settings_missing_key"), std::string::npos) << refused.output_;
    EXPECT_EQ(support::run("guavahaven-daemon", {}).status_, 1);
    EXPECT_EQ(support::run("guavahaven-daemon", {"--help"}).status_, 0);
}

} // namespace guavahaven::operators
