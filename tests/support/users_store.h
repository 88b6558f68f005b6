#pragma once

// Stand-in for the users' store, on the test's own loop: objects of kinds with
// one revision counter, watches, conditional writes, and the faults it may have.

#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_loop.h"
#include "base/http.h"

namespace guavahaven::support {

class users_store {
public:
    // Faults; each stays until it is taken back.
    struct faults {
        bool down_ = false;                // every call is refused with 503, and nothing is done
        bool silent_ = false;              // calls are taken and never answered
        bool loses_writes_ = false;        // writes are done, and their answer never comes
        bool loses_watch_answers_ = false; // the answer of a watch never comes; its connection stays open
    };

    explicit users_store(event_loop& loop);

    http::address address() const { return {"127.0.0.1", port_}; }

    // What operators write.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    void remove(const std::string& kind, const std::string& name);
    // Watches from before now are told that their history is gone.
    void forget_history();
    // Ends waiting watches with an error.
    void cut_watches();
    // Keeps a copy of all objects, from which the store can be restored. Then what was written since is gone,
    // revisions are given out again, and the era rises by one.
    void keep_copy() { copy_ = {kinds_, revision_}; }
    void restore_copy();
    std::uint64_t revision() const { return revision_; }

    // Null if there is no such object, or it has no status.
    nlohmann::json status(const std::string& kind, const std::string& name) const;
    bool holds(const std::string& kind, const std::string& name) const;

    // Calls so far, as 'METHOD TARGET' without the numbers in the query.
    const std::vector<std::string>& calls() const { return calls_; }
    std::size_t count(const std::string& call) const;
    void forget_calls() { calls_.clear(); }

    faults faults_;

private:
    struct stored {
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        nlohmann::json spec_;
        nlohmann::json status_;
    };
    struct change {
        std::uint64_t revision_ = 0;
        std::string kind_;
        nlohmann::json event_;
    };
    struct waiting_watch {
        std::shared_ptr<http::exchange> exchange_;
        std::string kind_;
        std::uint64_t since_ = 0;
        time_point due_{}; // answered without a change then
    };

    // An answer with the era that the store states in all its answers.
    http::response reply(int status, const nlohmann::json& body) const;
    void receive(const std::shared_ptr<http::exchange>& e);
    http::response answer(const http::request& r, const std::string& kind, const std::string& name);
    http::response create(const http::request& r, const std::string& kind);
    http::response replace(const http::request& r, const std::string& kind, const std::string& name,
                           bool status);
    void watch(const std::shared_ptr<http::exchange>& e, const std::string& kind);
    void end_due_watches();
    // The changes of a kind since a revision; empty if there are none.
    nlohmann::json changes(const std::string& kind, std::uint64_t since) const;
    void changed(const std::string& kind, const std::string& name, bool deleted);
    nlohmann::json to_json(const std::string& name, const stored& o) const;

    http::server server_;
    std::uint16_t port_;
    std::uint64_t era_ = 1;
    std::uint64_t revision_ = 1;
    std::uint64_t history_from_ = 1;
    std::map<std::string, std::map<std::string, stored>> kinds_;
    struct copy {
        std::map<std::string, std::map<std::string, stored>> kinds_;
        std::uint64_t revision_ = 1;
    } copy_;
    std::vector<change> history_;
    std::list<waiting_watch> watches_;
    runtime_clock clock_;
    timer due_timer_;
    std::vector<std::shared_ptr<http::exchange>> unanswered_;
    std::vector<std::string> calls_;
};

} // namespace guavahaven::support
