#pragma once

// Callers that send requests in the background, and what became of each.

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "support/mesh.h"

namespace guavahaven::support {

// A request as sent, and its outcome as its caller saw it.
struct sent_request {
    std::string key_; // idempotency key, by which the journals name it
    std::string class_;
    std::string method_;
    std::string target_;
    int status_ = 0;                       // 0: no whole answer came
    code result_ = code::peer_unreachable; // as the daemon told
    std::string body_;
    std::string echo_; // target that the backend server says it has run

    friend bool operator==(const sent_request&, const sent_request&) = default;
};

// One kind of request that the callers send in turn.
struct request_kind {
    std::string class_;
    std::string method_;
    std::string path_; // the key is appended as the last part if it ends in '/'
    std::string query_;
};

struct load_plan {
    std::vector<http::address> entries_; // in turn
    std::vector<request_kind> kinds_;    // in turn
    std::size_t at_once_ = 8;
    std::chrono::milliseconds pause_{10}; // between batches
    std::string name_ = "load";           // start of the keys
    bool keyed_ = true;                   // sends the key along
    std::size_t repeats_ = 1;             // times that each request is sent, under one key
    duration timeout_ = std::chrono::seconds(8);
};

class load {
public:
    explicit load(load_plan plan);
    ~load();
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    std::size_t sent_so_far() const { return count_; }
    // Ends after the batch under way; all that was sent.
    std::vector<sent_request> stop();

private:
    void run();
    void send_batch();

    load_plan plan_;
    std::vector<sent_request> sent_;
    std::atomic<std::size_t> count_ = 0;
    std::atomic<bool> stopping_ = false;
    std::size_t next_ = 0;
    std::thread thread_;
};

// The result code that a daemon told; another if it told none.
code told_result(const http::response& r, code otherwise);

// True for results that promise that the request has not run.
bool says_not_run(const sent_request& s);

} // namespace guavahaven::support
