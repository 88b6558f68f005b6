#pragma once

// What the commands of guavahaven share: their arguments, exit statuses, and
// how they reach the platform.

#include <docopt/docopt.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "decide/configuration.h"
#include "object_store/store.h"
#include "operator/publisher.h"
#include "operator/text_diff.h"

namespace guavahaven::commands {

using arguments = std::map<std::string, docopt::value>;

enum exit_status { done = 0, wrong_usage = 1, refused = 2, unreachable = 3, conflict = 4, not_converged = 5 };

// Prints an error with its remedy; returns the status.
int report(const error& e, int status);

bool as_json(const arguments& args);

// Runs an asynchronous operation to its end.
template <class T>
result<T> wait_for(event_loop& loop, const std::function<void(std::function<void(result<T>)>)>& operation)
{
    result<T> outcome = error{};
    operation([&](result<T> r) {
        outcome = std::move(r);
        loop.stop();
    });
    loop.run();
    return outcome;
}

// A connection to the platform for the length of one command.
struct platform_session {
    event_loop loop_;
    object_store::store store_;
    operators::publisher publisher_;

    explicit platform_session(const http::address& at) : store_(loop_, at), publisher_(store_) {}

    // platform_malformed if the platform's object holds no configuration.
    result<operators::published> read()
    {
        auto found = read_to_replace();
        if (ok(found) && value(found).malformed_)
            return error{code::platform_malformed, "the configuration"};
        return found;
    }

    // The same, but a malformed object is no error, as it is to be written over.
    result<operators::published> read_to_replace()
    {
        return wait_for<operators::published>(loop_, [&](auto h) { publisher_.read(h); });
    }
};

result<http::address> platform_of(const arguments& args);

// The checked rules of a file; faults are printed.
std::optional<decide::configuration> load_rules(const arguments& args, const std::string& path);

void print_changes(const std::vector<operators::changed_line>& changes);

} // namespace guavahaven::commands
