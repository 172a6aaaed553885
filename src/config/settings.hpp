#pragma once
// What the platform hands over (one TOML file) and what operators may set themselves (a second one).

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

/// The limit of a team that has none. Far above all that there is, and far from overflowing in sums.
constexpr Milli kNoLimit = 1'000'000'000'000;

struct Team {
    std::string name;
    Resources guarantee;
    Resources limit;
};

struct Objective {
    std::string kind;
    std::string job_class;
    Micros within = 0;
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
    /// Whether this node announces format 3, after which live jobs move out of history (docs/history.md).
    bool separate_history = false;
    std::string log_level;
    /// The file that `policy` names, and what it says; nothing if it names none.
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
    Micros worker_lease = 30 * kSecond;
    Micros gang_wait_timeout = 60 * kSecond;
    Micros gang_peer_timeout = 5 * kSecond;
    Micros cancel_deadline = 60 * kSecond;
    double state_rps = 100;
    double state_write_rps = 20;
    double next_write_rps = 20;          // that the service may change to, without notice
    std::size_t max_value_bytes = 4096;  // the smaller of now and next, like `txn_ops`: kept from the start
    std::size_t current_max_value_bytes = 4096;
    std::size_t max_txn_ops = 8;
    double cloud_rps = 4;
    Micros cloud_list_lag = 6 * kSecond;
    std::size_t sockets = 1000;
    double cpu_cores = 1;          // of a core
    bool announces_format = true;  // false: like the version before (tests)
    OperatorSettings operators;

    /// The zone of a controller, "" if it is not known.
    std::string zone_of(const std::string& other) const {
        if (other == node) return zone;
        for (const auto& p : peers)
            if (p.name == other) return p.zone;
        return "";
    }
    /// The times that the objectives of a kind set for a class, the shortest first.
    std::vector<Micros> objective_times(const std::string& kind, const std::string& job_class) const {
        std::vector<Micros> times;
        for (const auto& o : objectives)
            if (o.kind == kind && o.job_class == job_class) times.push_back(o.within);
        std::sort(times.begin(), times.end());
        return times;
    }
};

/// Throws std::runtime_error with one line that names the key and the reason.
Settings load_settings(const std::string& path, const std::string& operators_path);
Endpoint parse_endpoint(const std::string& text);

}  // namespace cottonway
