// guavahaven: the operators' command line.

#include <iostream>

#include "main/operator/commands.h"

namespace {

using namespace guavahaven::commands;

constexpr const char* usage =
    R"(guavahaven: what every proxy of the mesh is to do, as written in one rules file.

Usage:
  guavahaven check FILE [--daemon=ADDRESS] [--json]
  guavahaven diff FILE --platform=ADDRESS [--json]
  guavahaven apply FILE --platform=ADDRESS [--daemon=ADDRESS] [--base=N] [--author=NAME] [--json]
  guavahaven status --daemon=ADDRESS [--watch] [--json]
  guavahaven report FILE --daemon=ADDRESS
  guavahaven explain METHOD PATH (--file=FILE | --platform=ADDRESS) [--header=NAME:VALUE]
  guavahaven history --platform=ADDRESS [--count=N] [--json]
  guavahaven trace ID LOG...
  guavahaven (-h | --help)
  guavahaven --version

Commands:
  check    Says whether a rules file can be applied; changes nothing.
  diff     Shows what a rules file would change.
  apply    Puts a rules file in force on every daemon.
  status   Tells which daemons have the configuration, and how moves stand.
  report   Writes a page with plots of moves and of the service of each class.
  explain  Tells which rules decide for a request, and who asked for them.
  history  Lists the last configurations: number, time, author.
  trace    Joins what the logs of several daemons say of one request.

Options:
  --platform=ADDRESS   IP:PORT of the platform's object API.
  --daemon=ADDRESS     IP:PORT of the operator port of any daemon. With apply, the
                       rules get a number above the highest in force, also when
                       the platform was restored to an older state. With check and
                       apply, warns of services that the data centres that remain
                       can't carry.
  --base=N             Number of the configuration that the file was made from; it
                       is refused if another one is current by now.
  --author=NAME        Who applies it; the login name by default.
  --header=NAME:VALUE  A header of the request to explain.
  --count=N            How many configurations to list [default: 10].
  --watch              Repeat every second until interrupted.
  --json               Print JSON for scripts.
  -h --help            Show this text.
  --version            Show the version.

Exit status: 0 done, 1 wrong usage, 2 the input was refused, 3 the platform or
a daemon can't be reached, 4 another operator's change came first, 5 the mesh
is not yet as the file says.
)";

int dispatch(const arguments& args)
{
    struct command {
        const char* name_;
        int (*run_)(const arguments&);
    };
    constexpr command commands[] = {{"check", check},     {"diff", diff},           {"apply", apply},
                                    {"status", status},   {"report", write_report}, {"explain", explain},
                                    {"history", history}, {"trace", trace}};
    for (const command& c : commands)
        if (args.at(c.name_).asBool())
            return c.run_(args);
    return wrong_usage;
}

} // namespace

int main(int argc, char** argv)
{
    arguments args;
    try {
        args = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    }
    catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return done;
    }
    catch (const docopt::DocoptExitVersion&) {
        std::cout << "guavahaven " GUAVAHAVEN_VERSION "\n";
        return done;
    }
    catch (const docopt::DocoptArgumentError& e) {
        std::cerr << e.what() << "\n" << usage;
        return wrong_usage;
    }
    try {
        return dispatch(args);
    }
    catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return wrong_usage;
    }
}
