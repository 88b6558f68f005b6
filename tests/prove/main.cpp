// guavahaven-prove: the promises under faults, with real processes.

#include <docopt/docopt.h>

#include <iostream>

#include "prove/promises.h"

namespace {

using namespace guavahaven;
using namespace guavahaven::prove;

constexpr const char* usage = R"(guavahaven-prove: the promises under faults, with real processes.

Usage: guavahaven-prove [--seeds=N] [--first=SEED] [--only=NAME]
       guavahaven-prove --without-guards [--only=NAME]

Options:
  --seeds=N         Seeds to prove each promise with [default: 2].
  --first=SEED      The first of them [default: 1].
  --only=NAME       Prove just one promise.
  --without-guards  Switch off the guard of each promise; each proof must fail.

Exit status: 0 all passed (or, without guards, all failed), 1 otherwise.
)";

std::string joined(const std::vector<std::string>& items)
{
    std::string text;
    for (const std::string& item : items)
        text += (text.empty() ? "" : ", ") + item;
    return text;
}

// True if the promise holds for every seed.
bool prove_with_seeds(const promise& p, std::uint64_t first, std::uint64_t seeds)
{
    std::vector<std::string> survived;
    bool passed = true;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        const outcome o = p.prove_({seed, "guavahaven-daemon", ""});
        survived.insert(survived.end(), o.survived_.begin(), o.survived_.end());
        if (o.broken_.empty())
            continue;
        passed = false;
        std::cout << "  " << p.name_ << " failed with seed " << seed << ": " << joined(o.broken_)
                  << "; faults: " << joined(o.survived_) << "\n";
    }
    std::cout << (passed ? "passed  " : "FAILED  ") << p.name_ << ": " << p.text_ << " [" << joined(survived)
              << "]" << std::endl;
    return passed;
}

// True if the proof fails once its guard is off, with one of a few seeds.
bool fails_without_guard(const promise& p)
{
    constexpr std::uint64_t tries = 4;
    for (std::uint64_t seed = 1; seed <= tries; ++seed) {
        const outcome o = p.prove_({seed, "guavahaven-daemon-unguarded", std::string(p.guard_)});
        if (o.broken_.empty())
            continue;
        std::cout << "fails   " << p.name_ << " without " << p.guard_ << ", seed " << seed << ": "
                  << joined(o.broken_) << std::endl;
        return true;
    }
    std::cout << "PASSED  " << p.name_ << " without " << p.guard_ << ", " << tries << " seeds" << std::endl;
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    const auto args = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto number = [&](const char* key) { return static_cast<std::uint64_t>(args.at(key).asLong()); };
    const bool unguarded = args.at("--without-guards").asBool();
    std::size_t good = 0;
    std::size_t bad = 0;
    for (const promise& p : promises()) {
        if (args.at("--only") && args.at("--only").asString() != p.name_)
            continue;
        const bool as_wanted =
            unguarded ? fails_without_guard(p) : prove_with_seeds(p, number("--first"), number("--seeds"));
        ++(as_wanted ? good : bad);
    }
    if (unguarded)
        std::cout << good << " failed without their guard, " << bad << " still passed\n";
    else
        std::cout << good << " passed, " << bad << " failed\n";
    return bad == 0 ? 0 : 1;
}
