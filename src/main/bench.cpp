// guavahaven-bench EXPERIMENT: runs real processes on loopback with the
// stand-ins, and prints one JSON line last.

#include <docopt/docopt.h>

#include <iostream>

#include "main/bench/experiment.h"

namespace guavahaven::bench {

std::map<std::string, named_experiment>& experiments()
{
    static std::map<std::string, named_experiment> all;
    return all;
}

} // namespace guavahaven::bench

namespace {

using namespace guavahaven;

constexpr const char* usage = R"(guavahaven-bench: load and experiments on this machine.

Usage:
  guavahaven-bench list
  guavahaven-bench EXPERIMENT [--seed=N] [--size=N] [--seconds=N] [--commit=HASH]
  guavahaven-bench (-h | --help)

Options:
  --seed=N       Of every random choice [default: 1].
  --size=N       Daemons, seeds or depth, by experiment; its largest if 0 [default: 0].
  --seconds=N    Length of its load; its own if 0 [default: 0].
  --commit=HASH  Copied into the line [default: unknown].
)";

std::uint64_t number(const std::map<std::string, docopt::value>& args, const char* name)
{
    return static_cast<std::uint64_t>(args.at(name).asLong());
}

int list()
{
    for (const auto& [name, e] : bench::experiments())
        std::cout << name << "  " << e.purpose_ << "\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc});
    if (args.at("list").asBool())
        return list();
    const std::string name = args.at("EXPERIMENT").asString();
    const auto at = bench::experiments().find(name);
    if (at == bench::experiments().end()) {
        std::cerr << "unknown experiment '" << name << "'; known are:\n";
        list();
        return 1;
    }
    const bench::options o{number(args, "--seed"), number(args, "--size"), number(args, "--seconds"),
                           args.at("--commit").asString()};
    nlohmann::json line{{"experiment", name}, {"seed", o.seed_}, {"commit", o.commit_}};
    line.update(at->second.run_(o));
    std::cout << line.dump() << std::endl;
    return 0;
}
