#pragma once
// The operators' policy: how work is tiered, how a team's services are spread over zones, and what may be
// moved. It is one value that all controllers share (c/policy in the store); without one they go by a default
// that follows from the settings alone, so that all have the same. Nothing that must never happen rests on
// two controllers having the same policy at the same moment.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway {
struct Settings;
}

namespace cottonway::policy {

/// What a job is to the operators. A lower tier never delays a higher one; each batch tier has a floor.
enum class Tier : std::uint8_t {
    Live,        // bridges and intake: users are on them now
    Urgent,      // batch that somebody waits for
    Batch,       // all other batch
    BestEffort,  // takes what nothing else uses
};

/// Which jobs a rule is about; empty: any. Of several rules the one that names more goes first (team and
/// class, class, team, neither).
struct Scope {
    std::string team;
    std::string job_class;
    bool covers(const JobSpec& job) const {
        return (team.empty() || team == job.team) && (job_class.empty() || job_class == job.job_class);
    }
    int weight() const { return (team.empty() ? 0 : 1) + (job_class.empty() ? 0 : 2); }
    auto operator<=>(const Scope&) const = default;
};

struct TierRule {
    Scope scope;
    Tier tier = Tier::Batch;
    bool operator==(const TierRule&) const = default;
};

/// How batch queues behind live work.
struct Priority {
    /// Part of a team's limit, less what its live work uses, that waiting work of each lower batch tier is
    /// due while higher batch tiers wait as well, 0 to 0.5.
    double floor = 0.2;
    /// A job none of whose tasks has begun for this long goes before all other batch of its team, and room is
    /// gathered for it, so that the largest begin as well.
    Micros begin_within = 120 * kSecond;
    /// Part of the cores of each zone that batch leaves free for live work, 0 to 0.5. What is overdue may
    /// take it.
    double reserve = 0;
    bool operator==(const Priority&) const = default;
};

/// What a service must outlive without losing more than a part of its replicas.
enum class Survive : std::uint8_t { Nothing, Machine, Zone };

/// Where the services of a team may run, and how far apart. It narrows what a job asks for itself (`spread`,
/// `one_zone`, `mill`), never widens it.
struct ZoneRule {
    Scope scope;
    std::vector<std::string> allowed;    // empty: all
    std::vector<std::string> preferred;  // among those allowed; empty: no preference
    int least_zones = 1;
    double most_share = 1.0;  // of a service's replicas in one zone, rounded up; over 0, up to 1
    Survive survive = Survive::Nothing;
    /// What cannot be met waits; else it is met as far as it can be, and mended later.
    bool strict = false;
    /// Replicas are moved back into balance once zones and machines stand again.
    bool rebalance = false;
    bool operator==(const ZoneRule&) const = default;
};

/// Which running work may be moved to make room, besides batch that saves its progress.
struct MoveRule {
    Scope scope;
    bool movable = false;
    bool operator==(const MoveRule&) const = default;
};

struct Budgets {
    int moves_per_minute = 30;            // of a shard
    int moves_per_placement = 3;          // for one large task
    Micros service_pause = 30 * kSecond;  // between two moves of one service
    Micros settle = 10 * kSecond;         // how long a zone has to stand before anything is moved back
    bool operator==(const Budgets&) const = default;
};

/// Packing of machines with GPUs.
struct GpuSettings {
    bool pack = false;           // placement keeps GPUs together, and work without GPUs off them
    bool make_room = false;      // waiting tasks with GPUs get room by moves
    Micros after = 5 * kSecond;  // that a task has waited before anything is moved for it
    bool operator==(const GpuSettings&) const = default;
};

struct Policy {
    /// 0: the default that follows from the settings, stored nowhere.
    std::uint64_t revision = 0;
    std::vector<TierRule> tiers;
    Priority priority;
    std::vector<ZoneRule> zones;
    std::vector<MoveRule> moves;
    Budgets budgets;
    GpuSettings gpus;
    bool operator==(const Policy&) const = default;

    /// By its rules; without one, production services are live, high rank is urgent, low rank left over.
    Tier tier(const JobSpec& job) const { return tier(job, job.priority_class); }
    /// `rank`: its own, or the higher one of a job that needs it, whose tier it has then if that is higher.
    Tier tier(const JobSpec& job, PriorityClass rank) const;
    /// The rule for a job's zones, nullptr: none but its own.
    const ZoneRule* zone_rule(const JobSpec& job) const;
    /// Live work never; batch that saves always; anything else as the rules say.
    bool movable(const JobSpec& job) const;
};

const char* name_of(Tier tier);
const char* name_of(Survive survive);

/// What all controllers go by until operators have set one.
Policy default_policy(const Settings& settings);

/// What of it is out of bounds or contradicts itself: one line that names the key and the reason; "" if
/// nothing.
std::string problem_of(const Policy& policy);

/// The record's value, and back; nothing if it is damaged (a revision of 0 is). Unknown fields are ignored.
Json to_value(const Policy& policy);
std::optional<Policy> from_value(const Json& value);

/// As operators write it, with the keys of their file; all settings, those left at their defaults as well.
Json describe(const Policy& policy);

/// Operators' file (TOML, checked as a whole). Throws std::runtime_error with one line that names the key and
/// the reason; `settings` may be nullptr, then teams and zones are not checked against them.
Policy load(const std::string& path, const Settings* settings);

}  // namespace cottonway::policy
