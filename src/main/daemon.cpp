// guavahaven-daemon SETTINGS.ini: the process beside one backend server.
// Exit status: 0 after a stop by SIGTERM or SIGINT, 1 wrong usage, 2 faulty
// settings, 3 an address can't be listened on.

#include <docopt/docopt.h>

#include <iostream>

#include "daemon/daemon.h"
#include "object_store/watcher.h"

namespace {

using namespace guavahaven;

constexpr const char* usage = R"(guavahaven-daemon: the process beside one backend server.

Usage:
  guavahaven-daemon SETTINGS
  guavahaven-daemon (-h | --help)
  guavahaven-daemon --version

Options:
  -h --help  Show this text.
  --version  Show the version.

Exit status: 0 stopped by signal, 1 wrong usage, 2 faulty settings,
3 an address can't be listened on.
)";

int run(const std::string& path)
{
    const daemon_parts parts = own_parts(path);
    const operators::parsed_settings parsed = parts.read_settings_();
    if (const auto* faults = std::get_if<std::vector<error>>(&parsed))
        return print_faults(*faults);
    return run_daemon(std::get<operators::daemon_settings>(parsed), parts);
}
} // namespace

int main(int argc, char** argv)
{
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return exit_stopped;
    }
    catch (const docopt::DocoptExitVersion&) {
        std::cout << "guavahaven-daemon " GUAVAHAVEN_VERSION "\n";
        return exit_stopped;
    }
    catch (const docopt::DocoptArgumentError& e) {
        std::cerr << e.what() << "\n" << usage;
        return exit_wrong_usage;
    }
    return run(arguments.at("SETTINGS").asString());
}
