#include <gtest/gtest.h>

#include <filesystem>

#include "operator/daemon_settings.h"

namespace guavahaven::operators {

namespace {

const std::string good = "[daemon]\n"
                         "data_center = leon\n"
                         "ip = 127.0.0.1\n"
                         "caller_port = 8080\n"
                         "peer_port = 7100\n"
                         "backend_port = 7200\n"
                         "operator_port = 7300\n"
                         "[platform]\n"
                         "address = 127.0.0.1:9000\n";

std::vector<error> faults_of(const std::string& text)
{
    const result<settings_file> file = settings_file::parse("d.ini", text);
    if (!ok(file))
        return {failure(file)};
    const parsed_settings parsed = read_daemon_settings(value(file));
    const auto* faults = std::get_if<std::vector<error>>(&parsed);
    return faults ? *faults : std::vector<error>{};
}

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST(daemon_settings, names_each_fault_with_file_line_and_code)
{
    // Given settings that are good
    ASSERT_TRUE(faults_of(good).empty());

    // When one line is spoilt, then its fault is told
    struct spoilt {
        std::string text_;
        code code_;
        std::string place_;
    };
    const std::vector<spoilt> cases{
        {replaced("peer_port = 7100", "peer_port = 70000"), code::settings_bad_value,
         "d.ini:5: daemon.peer_port"},
        {replaced("peer_port = 7100", "peer_port = x"), code::settings_bad_value,
         "d.ini:5: daemon.peer_port"},
        {replaced("peer_port", "pear_port"), code::settings_missing_key, "daemon.peer_port"},
        {replaced("127.0.0.1:9000", "somewhere"), code::settings_bad_value, "platform.address"},
        {replaced("ip = 127.0.0.1", "ip"), code::settings_unreadable, "d.ini:3"},
        {good + "colour = red\n", code::settings_unknown_key, "d.ini:10: platform.colour"},
        {good + "[log]\nlevel = loud\n", code::settings_bad_value, "log.level"},
        {good + "[daemon]\npeer_port = 7101\n", code::settings_bad_value, "d.ini:11: daemon.peer_port"},
        {good + "[mesh]\nseeds = 10.0.0.1\n", code::settings_bad_value, "mesh.seeds"},
        {good + "[test]\nwithout = once_memory\n", code::settings_unknown_key, "d.ini:11: test.without"},
    };
    for (const spoilt& c : cases) {
        SCOPED_TRACE(c.text_);
        const std::vector<error> faults = faults_of(c.text_);
        ASSERT_FALSE(faults.empty());
        EXPECT_EQ(name(faults.front().code_), name(c.code_));
        EXPECT_NE(faults.front().detail_.find(c.place_), std::string::npos) << faults.front().detail_;
    }
}

TEST(daemon_settings, refuses_a_line_that_is_too_long_instead_of_cutting_it)
{
    std::string seeds;
    for (int i = 0; i < 30; ++i)
        seeds += " 10.0.0." + std::to_string(i) + ":7100";
    const std::vector<error> faults = faults_of(good + "[mesh]\nseeds =" + seeds + "\n");
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults.front().code_, code::settings_unreadable);
    EXPECT_NE(faults.front().detail_.find("d.ini:11"), std::string::npos) << faults.front().detail_;
}

TEST(daemon_settings, examples_are_valid)
{
    std::size_t examples = 0;
    for (const auto& at : std::filesystem::directory_iterator(SOURCE_DIR "/examples")) {
        if (at.path().extension() != ".ini")
            continue;
        SCOPED_TRACE(at.path().filename().string());
        const result<settings_file> file = settings_file::read(at.path().string());
        ASSERT_TRUE(ok(file));
        const parsed_settings parsed = read_daemon_settings(value(file));
        EXPECT_TRUE(std::holds_alternative<daemon_settings>(parsed));
        ++examples;
    }
    EXPECT_EQ(examples, 8U); // four data centres in each deployment
}

} // namespace guavahaven::operators
