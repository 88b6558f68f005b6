#pragma once

// Experiments of guavahaven-bench. Each prints one JSON line last; counts come
// from the stand-ins' journals, not from what the daemons say.

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace guavahaven::bench {

struct options {
    std::uint64_t seed_ = 1;
    std::uint64_t size_ = 0;    // the experiment's largest if 0
    std::uint64_t seconds_ = 0; // the experiment's own if 0
    std::string commit_;        // of the build, as given on the command line

    friend bool operator==(const options&, const options&) = default;
};

// Runs to its end; returns the fields of the line.
using experiment = std::function<nlohmann::json(const options&)>;

struct named_experiment {
    std::string purpose_; // one line
    experiment run_;
};

// All experiments by name.
std::map<std::string, named_experiment>& experiments();

// A static object of this type in an experiment's file adds it.
struct registration {
    registration(const std::string& name, const std::string& purpose, experiment run)
    {
        experiments()[name] = {purpose, std::move(run)};
    }
};

} // namespace guavahaven::bench
