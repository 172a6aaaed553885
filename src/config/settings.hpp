#pragma once
// The settings: those that the platform provides (one TOML file) and those of the operators (a second one).

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/units.hpp"
#include "policy/policy.hpp"

namespace cottonway {

struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
};

/// The limit of a team without one: larger than any cluster, and small enough that sums do not overflow.
constexpr Milli kNoLimit = 1'000'000'000'000;

struct Team {
    std::string name;
    Resources guarantee;
    Resources limit;
};

/// A service level objective of the platform: a time limit for the jobs of a class.
struct Objective {
    std::string kind;
    std::string job_class;
    Micros time_limit = 0;
};

struct Peer {
    std::string name;
    std::string zone;
    Endpoint endpoint;
};

/// Weights and thresholds of placement; the defaults are those of docs/design.md.
struct PlacementSettings {
    double cores_weight = -40;
    double ram_weight = -20;
    double free_ram_weight = -20;
    double size_weight = -5;
    double tasks_weight = -15;
    double image_weight = 30;
    double jitter = 1;
    double cores_threshold = 1.0;
    double ram_threshold = 1.0;
};

struct OperatorSettings {
    PlacementSettings placement;
    Micros liveness_ttl = 2'500 * kMillisecond;
    Micros idle_return_delay = 30 * kSecond;
    /// This node announces format 3. Once all nodes do, unfinished jobs are stored apart from finished ones
    /// (docs/history.md).
    bool separate_history = false;
    std::string log_level;
    /// The policy file that the key `policy` names, and its content; empty if there is none.
    std::string policy_file;
    std::optional<policy::Policy> policy;
};

struct Settings {
    std::string node;
    std::string zone;
    Endpoint client_listen;
    Endpoint cluster_listen;
    Endpoint cloud;
    Endpoint state;
    std::vector<Peer> peers;
    std::vector<std::string> zones;
    std::vector<Team> teams;
    std::vector<Objective> objectives;
    Micros report_interval = 3 * kSecond;
    Micros worker_lease = 30 * kSecond;  // a worker's session ends if its lease is not renewed for this long
    Micros gang_wait_timeout = 60 * kSecond;  // a gang's task exits if its gang is still incomplete then
    Micros gang_peer_timeout = 5 * kSecond;
    Micros cancel_deadline = 60 * kSecond;  // a cancelled job's tasks must have ended by then
    double state_rps = 100;
    double state_write_rps = 20;
    double next_write_rps = 20;          // rate that the service may switch to without notice
    std::size_t max_value_bytes = 4096;  // the smaller of the current and the next limit, used from the start
    std::size_t current_max_value_bytes = 4096;
    std::size_t max_txn_ops = 8;  // the smaller of the current and the next limit, too
    double cloud_rps = 4;
    Micros cloud_list_lag = 6 * kSecond;  // the cloud's list of machines may be outdated by this much
    std::size_t sockets = 1000;
    double cpu_cores = 1;          // cores that a controller may use
    bool announces_format = true;  // false: behaves like the previous version (tests)
    OperatorSettings operators;

    /// Returns the zone of a controller, or "" if the controller is unknown.
    std::string zone_of(const std::string& controller) const {
        if (controller == node) return zone;
        for (const auto& p : peers)
            if (p.name == controller) return p.zone;
        return "";
    }
    /// Returns the time limits of the objectives of a kind for a job class, shortest first.
    std::vector<Micros> objective_time_limits(const std::string& kind, const std::string& job_class) const {
        std::vector<Micros> times;
        for (const auto& o : objectives)
            if (o.kind == kind && o.job_class == job_class) times.push_back(o.time_limit);
        std::sort(times.begin(), times.end());
        return times;
    }
};

/// Reads both files. Throws std::runtime_error with one line that names the key and the reason.
Settings load_settings(const std::string& path, const std::string& operators_path);
/// Parses an IPv4 address with a port, such as 10.0.0.1:8080. Throws std::invalid_argument.
Endpoint parse_endpoint(const std::string& text);

}  // namespace cottonway
