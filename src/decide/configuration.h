#pragma once

// The configuration: all rules of the operators' rules file as one immutable value that
// is only replaced as a whole. operators::parse_rules makes it and checks that every
// name in it is known.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "decide/identifiers.h"

namespace guavahaven::decide {

// Line number of a rule and the person who requested it.
struct origin {
    int line_ = 0;
    std::string asked_by_; // the line's comment

    friend bool operator==(const origin&, const origin&) = default;
};

// Load shedding order under overload: requests of class order `first` are refused first.
enum class shed_order : std::uint8_t { first, normal, last };

// A class of requests: how long a caller waits, and their precedence under overload.
struct class_rule {
    class_name name_;
    duration deadline_{};
    shed_order shed_ = shed_order::normal;
    bool once_ = false;   // at most once, even for methods that may be repeated
    bool repeat_ = false; // may be repeated, whatever the method
    bool keep_ = false;   // queued until its deadline instead of refused early
    std::uint32_t weight_ = 1;
    duration objective_{};       // target response time: a later answer is worth less; zero if none
    std::uint32_t priority_ = 0; // among classes of one shed order; the lowest number is served first
    std::uint32_t attempts_ = 0; // backend servers that one request may reach; 0: as the retry rule says
    origin origin_;

    friend bool operator==(const class_rule&, const class_rule&) = default;
};

// Version of a service rule that names no single one: only moves distinguish the versions of
// its instances.
inline constexpr std::string_view any_version = "*";

// Rate limit of a backend server after a cold start.
struct cold_rule {
    std::uint32_t per_second_ = 0; // requests started
    duration length_{};            // how long the limit holds after the start

    friend bool operator==(const cold_rule&, const cold_rule&) = default;
};

// A service and the version that gets its calls when no move or split says otherwise.
struct service_rule {
    service_name name_;
    version_name version_; // any_version: all except one that a move brings in
    std::optional<cold_rule> cold_;
    origin origin_;

    friend bool operator==(const service_rule&, const service_rule&) = default;
};

struct header_match {
    std::string name_;
    std::string value_;

    friend bool operator==(const header_match&, const header_match&) = default;
};

// A service that gets a part of a route's requests, by its weight among the route's services.
struct weighted_service {
    service_name service_;
    std::uint32_t weight_ = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

// Requests that go to a service, or to several by weight. Method "*" matches all.
struct route_rule {
    std::string method_;
    std::string path_;    // of a prefix: up to the '*', so that it ends with a slash
    bool prefix_ = false; // matches all paths that begin with path_, and not path_ without its last slash
    std::string host_;    // empty: any host
    std::optional<header_match> header_;
    std::vector<weighted_service> services_; // at least one
    class_name class_;
    origin origin_;

    bool leads_to(const service_name& name) const;
    // The path as the rules file has it.
    std::string path_pattern() const;

    friend bool operator==(const route_rule&, const route_rule&) = default;
};

struct version_share {
    version_name version_;
    double share_ = 0; // 0 to 1

    friend bool operator==(const version_share&, const version_share&) = default;
};

// Fixed shares between versions of a service.
struct split_rule {
    service_name service_;
    std::vector<version_share> shares_;
    origin origin_;

    friend bool operator==(const split_rule&, const split_rule&) = default;
};

enum class limit_unit : std::uint8_t { per_second, concurrent };

// Limit on the calls of a class to a service, over the whole fleet.
struct limit_rule {
    service_name service_;
    std::optional<class_name> class_; // all classes if absent
    std::uint64_t count_ = 0;
    limit_unit unit_ = limit_unit::per_second;
    origin origin_;

    friend bool operator==(const limit_rule&, const limit_rule&) = default;
};

// Retry policy of a service.
struct retry_rule {
    service_name service_;
    double budget_ = 0.1;       // retries per first attempt
    std::uint32_t reserve_ = 0; // retries that the whole fleet may save up; 0: each daemon's default
    std::uint32_t attempts_ = 3;
    origin origin_;

    friend bool operator==(const retry_rule&, const retry_rule&) = default;
};

// Progressive rollout: a new version takes over a service by a deadline, or is withdrawn
// (rolled back).
struct move_rule {
    service_name service_;
    version_name version_;
    wall_time deadline_{};
    double start_share_ = 0.01; // 0 to 1
    // Until the move is done, the new version gets at most this share of the service's calls, and so many
    // more. Share 1: no bound.
    double exposure_share_ = 1;
    std::uint32_t exposure_reserve_ = 0;
    std::string order_; // name that tells moves to one version apart; empty: the deadline does
    origin origin_;

    move_id id() const;
    bool bounded() const { return exposure_share_ < 1; }

    friend bool operator==(const move_rule&, const move_rule&) = default;
};

// Evacuation: a data centre that gets no new calls.
struct out_rule {
    data_center_name data_center_;
    origin origin_;

    friend bool operator==(const out_rule&, const out_rule&) = default;
};

// Limits on the size of callers' requests and on the time that they take.
struct callers_rule {
    std::uint64_t max_head_bytes_ = 0;
    std::uint64_t max_body_bytes_ = 0;
    duration arrival_{}; // longest time until a request's head is complete
    duration idle_{};    // longest time that a kept-alive connection may be idle
    origin origin_;

    friend bool operator==(const callers_rule&, const callers_rule&) = default;
};

struct configuration {
    configuration_number number_;
    content_hash hash_;
    std::uint64_t written_at_ = 0; // microseconds since 1970, by the author's clock
    std::string text_;
    std::vector<class_rule> classes_;
    std::vector<service_rule> services_;
    std::vector<route_rule> routes_;
    std::vector<split_rule> splits_;
    std::vector<limit_rule> limits_;
    std::vector<retry_rule> retries_;
    std::vector<move_rule> moves_;
    std::vector<out_rule> outs_;
    std::optional<callers_rule> callers_;

    const class_rule* find_class(const class_name& name) const;
    // The highest priority number of all classes, which is served last.
    std::uint32_t max_priority_number() const;
    const service_rule* find_service(const service_name& name) const;
    const split_rule* find_split(const service_name& name) const;
    const move_rule* find_move(const service_name& name) const;
    // Returns defaults if no retry rule names the service.
    retry_rule retry_of(const service_name& name) const;
    const out_rule* find_out(const data_center_name& name) const;

    friend bool operator==(const configuration&, const configuration&) = default;
};
using configuration_ptr = std::shared_ptr<const configuration>;

// Hash of a configuration's text, to detect two configurations with the same number.
content_hash hash_of(const std::string& text);

// A configuration as stored in the platform and sent between daemons.
struct configuration_record {
    configuration_number number_;
    std::string author_;
    std::uint64_t written_at_ = 0; // microseconds since 1970, by the author's clock
    std::string text_;

    friend bool operator==(const configuration_record&, const configuration_record&) = default;
};

} // namespace guavahaven::decide
