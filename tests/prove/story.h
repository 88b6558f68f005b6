#pragma once

// What the proofs have in common: the deployment, callers under faults, and
// the reading of the journals.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "prove/faults.h"
#include "support/load.h"

namespace guavahaven::prove {

struct setup {
    std::uint64_t seed_ = 1;
    std::string daemon_binary_ = "guavahaven-daemon";
    std::string without_; // the guard that is switched off; "" for none

    friend bool operator==(const setup&, const setup&) = default;
};

struct outcome {
    std::vector<std::string> survived_; // the faults that came
    std::vector<std::string> broken_;   // what was not as promised

    friend bool operator==(const outcome&, const outcome&) = default;
};

// Two data centres, each with a backend server of services board and desk.
support::mesh_plan two_data_centers(const setup& s);

// Rules for that deployment: board by lookups, desk by confirmations and lookups.
inline constexpr const char* board_and_desk = R"(
class   lookup  deadline 2s                     # proof
class   quick   deadline 60ms                   # proof
class   confirm deadline 3s once                # proof
service board   version v1                      # proof
service desk    version v1                      # proof
route GET  /shifts/*     to board as lookup     # proof
route GET  /quick/*      to board as quick      # proof
route POST /placements   to desk  as confirm    # proof
route POST /orders/*     to desk  as confirm    # proof
route GET  /placements/* to desk  as lookup     # proof
)";

// Plays a story in two data centres in which the rules are in force.
outcome in_two_data_centers(const setup& s, const std::string& rules,
                            const std::function<void(support::mesh&, outcome&)>& story);

// Applies rules and waits until all daemons have them and each other; false,
// with the reason in the outcome, if that fails.
bool establish(support::mesh& mesh, const std::string& rules, std::uint64_t number, outcome& o);

// Callers at all daemons.
support::load_plan callers(support::mesh& mesh, std::vector<support::request_kind> kinds);

// Lets at least this many further requests end, or a while pass.
void wait_requests(const support::load& load, std::size_t count);

// The faults that make a refusal hardest to tell from a lost answer: what the
// desk of leon answers is dropped, and the connections that it opened are cut.
std::vector<placed_fault> lost_answers();

// Sends requests while pairs of faults come and go, a given one and then drawn
// ones; all that was sent.
std::vector<support::sent_request> under_faults(support::mesh& mesh, const support::load_plan& plan,
                                                const std::vector<fault_kind>& kinds, const setup& s,
                                                outcome& o);

// Number of runs of each identity, and of each path.
std::map<std::string, std::size_t> runs_by_identity(const support::mesh& mesh);
std::map<std::string, std::size_t> runs_by_path(const support::mesh& mesh);

// Runs that began at a node so far.
std::size_t runs_at(const support::node& n);

// Counts what is broken; says nothing if the count is 0.
void add_broken(outcome& o, std::size_t count, const std::string& what);

// The lines of a proof that callers were served at all.
void need_answers(const std::vector<support::sent_request>& sent, outcome& o);

} // namespace guavahaven::prove
