#pragma once
// The operators' policy: which tier each job belongs to, how a team's services are spread over zones, and
// what may be moved. All controllers share one policy (c/policy in the store). Without a stored one they use
// a default that follows from the settings alone, so that all use the same. No safety rule depends on two
// controllers having the same policy at the same moment.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway {
struct Settings;
}

namespace cottonway::policy {

/// The importance of a job to the operators. A lower tier never delays a higher one; each batch tier has a
/// minimum part of its team's limit (PrioritySettings::floor).
enum class Tier : std::uint8_t {
    Live,        // services that users are connected to now (bridges, intake)
    Urgent,      // batch work that a user waits for
    Batch,       // all other batch work
    BestEffort,  // uses resources that no other work uses
};

/// The jobs that a rule applies to; an empty field matches any. Of several rules that cover a job the most
/// specific one applies: team and class, then class, then team, then neither.
struct Scope {
    std::string team;
    std::string job_class;
    bool covers(const JobSpec& job) const {
        return (team.empty() || team == job.team) && (job_class.empty() || job_class == job.job_class);
    }
    int specificity() const { return (team.empty() ? 0 : 1) + (job_class.empty() ? 0 : 2); }
    auto operator<=>(const Scope&) const = default;
};

struct TierRule {
    Scope scope;
    Tier tier = Tier::Batch;
    bool operator==(const TierRule&) const = default;
};

/// Settings of the queue of batch work behind live work.
struct PrioritySettings {
    /// The part of a team's limit, less what its live work uses, that waiting work of each lower batch tier
    /// gets while higher batch tiers wait as well, 0 to 0.5.
    double floor = 0.2;
    /// A job none of whose tasks has started for this long is overdue: it is placed before all other batch
    /// work of its team, and resources are reserved for it, so that the largest jobs start as well.
    Micros overdue_after = 120 * kSecond;
    /// The part of each zone's cores that batch work leaves free for live work, 0 to 0.5. Overdue jobs may
    /// use it.
    double live_reserve = 0;
    bool operator==(const PrioritySettings&) const = default;
};

/// The failure that a service must survive without losing more than a part of its replicas.
enum class FailureDomain : std::uint8_t { None, Machine, Zone };

/// The zones in which a team's services may run, and how far their replicas are spread. A rule narrows the
/// job's own constraints (`spread`, `one_zone`, `zone`) and never widens them.
struct ZoneRule {
    Scope scope;
    std::vector<std::string> allowed;    // empty: all
    std::vector<std::string> preferred;  // among those allowed; empty: no preference
    int min_zones = 1;
    double max_zone_share = 1.0;  // part of a service's replicas in one zone, rounded up; over 0, up to 1
    FailureDomain survive = FailureDomain::None;
    /// If set, a replica that cannot be placed by the rule waits. Otherwise the rule is met as far as
    /// possible, and replicas are moved later to meet it.
    bool strict = false;
    /// If set, replicas are moved back into balance once lost zones and machines are available again.
    bool rebalance = false;
    bool operator==(const ZoneRule&) const = default;
};

/// Tells whether running work may be moved to free resources; batch work that saves checkpoints always may.
struct MoveRule {
    Scope scope;
    bool movable = false;
    bool operator==(const MoveRule&) const = default;
};

struct Budgets {
    int moves_per_minute = 30;            // in one shard
    int moves_per_placement = 3;          // to place one large task
    Micros service_pause = 30 * kSecond;  // between two moves of one service
    Micros settle_time = 10 * kSecond;    // how long a zone must be available before replicas are moved back
    bool operator==(const Budgets&) const = default;
};

/// Packing of machines with GPUs.
struct GpuSettings {
    bool pack = false;              // placement avoids fragmenting GPUs and keeps other work off GPU machines
    bool make_room = false;         // other tasks are moved to place waiting GPU tasks
    Micros min_wait = 5 * kSecond;  // of a task before others are moved for it
    bool operator==(const GpuSettings&) const = default;
};

struct Policy {
    /// 0: the default policy, which is not stored.
    std::uint64_t revision = 0;
    std::vector<TierRule> tiers;
    PrioritySettings priority;
    std::vector<ZoneRule> zones;
    std::vector<MoveRule> moves;
    Budgets budgets;
    GpuSettings gpus;
    bool operator==(const Policy&) const = default;

    /// Returns the tier by the most specific rule. Without a rule, production services are live, other work
    /// of production or high rank is urgent, normal rank is batch, and low rank is best effort.
    Tier tier(const JobSpec& job) const { return tier(job, job.priority_class); }
    /// `rank` is the job's own, or the higher one of a job that depends on it; a higher one raises the tier
    /// to that of the rank.
    Tier tier(const JobSpec& job, PriorityClass rank) const;
    /// Returns the zone rule for a job; nullptr: only the job's own constraints apply.
    const ZoneRule* zone_rule(const JobSpec& job) const;
    /// Returns whether the job's tasks may be moved: never for live work, always for batch work that saves
    /// checkpoints, otherwise by the rules.
    bool is_movable(const JobSpec& job) const;
};

const char* name_of(Tier tier);
const char* name_of(FailureDomain domain);

/// Returns the policy that controllers use until the operators have set one.
Policy default_policy(const Settings& settings);

/// Returns one line with the key and the reason if a value is out of bounds or contradicts another one; "" if
/// the policy is valid.
std::string validation_error(const Policy& policy);

/// Converts a policy to its stored value and back. Returns nothing for a damaged value, which includes one of
/// revision 0. Unknown fields are ignored.
Json to_value(const Policy& policy);
std::optional<Policy> from_value(const Json& value);

/// Returns all settings under the keys of the operators' file, including those that have their defaults.
Json describe(const Policy& policy);

/// Loads the operators' file (TOML, checked as a whole). Throws std::runtime_error with one line that names
/// the key and the reason. With `settings` as nullptr, the names of teams and zones are not checked.
Policy load(const std::string& path, const Settings* settings);

}  // namespace cottonway::policy
