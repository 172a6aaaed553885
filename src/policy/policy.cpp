#include "policy/policy.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace cottonway::policy {

namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxRules = 1000;
constexpr std::size_t kMaxZones = 64;

/// Returns the most specific of the rules that cover a job; nullptr: none does.
template <class Rule>
const Rule* most_specific_rule(const std::vector<Rule>& rules, const JobSpec& job) {
    const Rule* best = nullptr;
    for (const auto& rule : rules)
        if (rule.scope.covers(job) && (!best || rule.scope.specificity() > best->scope.specificity()))
            best = &rule;
    return best;
}

// ---------------------------------------------------------------- bounds

struct ValidationFailure {
    std::string text;
};

[[noreturn]] void fail_validation(const std::string& key, const std::string& reason) {
    throw ValidationFailure{key + ": " + reason};
}

template <class T>
void check_range(const std::string& key, T value, T low, T high) {
    // Not (value < low || value > high): NaN would pass that.
    if (!(value >= low && value <= high))
        fail_validation(key, fmt::format("must lie between {} and {}", low, high));
}

void check_seconds_range(const std::string& key, Micros value, Micros low, Micros high) {
    if (value < low || value > high)
        fail_validation(key, fmt::format("must lie between {} and {} seconds", static_cast<double>(low) / 1e6,
                                         high / kSecond));
}

template <class Rule>
void check_scopes(const std::string& key, const std::vector<Rule>& rules) {
    if (rules.size() > kMaxRules) fail_validation(key, fmt::format("must hold at most {} rules", kMaxRules));
    std::set<Scope> seen;
    for (std::size_t i = 0; i < rules.size(); ++i) {
        const Scope& scope = rules[i].scope;
        const std::string rule_key = fmt::format("{}[{}]", key, i);
        if (scope.team.size() > kMaxNameBytes) fail_validation(rule_key + ".team", "is too long");
        if (scope.job_class.size() > kMaxNameBytes) fail_validation(rule_key + ".class", "is too long");
        if (!seen.insert(scope).second) fail_validation(rule_key, "has the same scope as an earlier rule");
    }
}

void check_zone_names(const std::string& key, const std::vector<std::string>& zones) {
    if (zones.size() > kMaxZones) fail_validation(key, fmt::format("must name at most {} zones", kMaxZones));
    std::set<std::string> seen;
    for (const auto& zone : zones) {
        if (zone.empty() || zone.size() > kMaxNameBytes)
            fail_validation(key, "the name of a zone is empty or too long");
        if (!seen.insert(zone).second) fail_validation(key, fmt::format("{} is named twice", zone));
    }
}

void check_zone_rule(const std::string& key, const ZoneRule& rule) {
    check_zone_names(key + ".allowed", rule.allowed);
    check_zone_names(key + ".preferred", rule.preferred);
    for (const auto& zone : rule.preferred)
        if (!rule.allowed.empty() &&
            std::find(rule.allowed.begin(), rule.allowed.end(), zone) == rule.allowed.end())
            fail_validation(key + ".preferred", fmt::format("{} is not one of the allowed zones", zone));
    check_range<int>(key + ".least_zones", rule.min_zones, 1, static_cast<int>(kMaxZones));
    if (!rule.allowed.empty() && rule.min_zones > static_cast<int>(rule.allowed.size()))
        fail_validation(key + ".least_zones", fmt::format("requires {} zones, but only {} are allowed",
                                                          rule.min_zones, rule.allowed.size()));
    if (!(rule.max_zone_share > 0 && rule.max_zone_share <= 1))
        fail_validation(key + ".most_share", "must be greater than 0 and at most 1");
    if (rule.allowed.size() == 1 && rule.max_zone_share < 1)
        fail_validation(key + ".most_share", "must be 1, as only one zone is allowed");
    if (rule.allowed.size() == 1 && rule.survive == FailureDomain::Zone)
        fail_validation(key + ".survive", "cannot be zone, as only one zone is allowed");
}

void check_policy(const Policy& policy) {
    check_scopes("tiers", policy.tiers);
    check_scopes("zones", policy.zones);
    check_scopes("moves", policy.moves);
    for (std::size_t i = 0; i < policy.tiers.size(); ++i)
        if (policy.tiers[i].tier > Tier::BestEffort)
            fail_validation(fmt::format("tiers[{}].tier", i), "is not a known tier");
    for (std::size_t i = 0; i < policy.zones.size(); ++i) {
        const std::string key = fmt::format("zones[{}]", i);
        if (policy.zones[i].survive > FailureDomain::Zone)
            fail_validation(key + ".survive", "must be nothing, machine or zone");
        check_zone_rule(key, policy.zones[i]);
    }
    check_range("priority.floor", policy.priority.floor, 0.0, 0.5);
    check_range("priority.reserve", policy.priority.live_reserve, 0.0, 0.5);
    check_seconds_range("priority.begin_within_s", policy.priority.overdue_after, kSecond, 86'400 * kSecond);
    check_range("budgets.moves_per_minute", policy.budgets.moves_per_minute, 0, 10'000);
    check_range("budgets.moves_per_placement", policy.budgets.moves_per_placement, 0, 100);
    check_seconds_range("budgets.service_pause_s", policy.budgets.service_pause, 0, 86'400 * kSecond);
    check_seconds_range("budgets.settle_s", policy.budgets.settle_time, 0, 86'400 * kSecond);
    check_seconds_range("cards.after_s", policy.gpus.min_wait, 0, 86'400 * kSecond);
}

// ---------------------------------------------------------------- the stored record

Json scope_to_value(const Scope& scope) {
    Json value = Json::object();
    if (!scope.team.empty()) value["t"] = scope.team;
    if (!scope.job_class.empty()) value["c"] = scope.job_class;
    return value;
}

/// Reads the fields of a map into a policy. A missing field is left at its default; a field of the wrong type
/// makes the record invalid.
class FieldReader {
  public:
    explicit FieldReader(const Json& fields) : fields_(fields), is_valid_(fields.is_object()) {}
    void number(const char* key, double& target) { read_field(key, target, wire::number); }
    void flag(const char* key, bool& target) { read_field(key, target, wire::flag); }
    void text(const char* key, std::string& target) { read_field(key, target, wire::text); }
    template <class Integer>
    void count(const char* key, Integer& target, std::uint64_t max) {
        std::uint64_t value = 0;
        if (!read_field(key, value, wire::count)) return;
        is_valid_ = is_valid_ && value <= max;
        target = static_cast<Integer>(std::min(value, max));
    }
    void texts(const char* key, std::vector<std::string>& target) {
        for_each_entry(key, [&](const Json& entry) {
            if (!entry.is_string()) return false;
            target.push_back(entry.get<std::string>());
            return true;
        });
    }
    template <class Rule, class Read>
    void rules(const char* key, std::vector<Rule>& target, Read read) {
        for_each_entry(key, [&](const Json& entry) {
            Rule rule;
            FieldReader entry_reader(entry);
            entry_reader.text("t", rule.scope.team);
            entry_reader.text("c", rule.scope.job_class);
            read(entry_reader, rule);
            target.push_back(std::move(rule));
            return entry_reader.is_valid();
        });
    }
    template <class Read>
    void map(const char* key, Read read) {
        const Json* found = is_valid_ ? wire::find(fields_, key) : nullptr;
        if (!found) return;
        FieldReader map_reader(*found);
        read(map_reader);
        is_valid_ = is_valid_ && map_reader.is_valid();
    }
    bool is_valid() const { return is_valid_; }

  private:
    template <class T, class Read>
    bool read_field(const char* key, T& target, Read read) {
        if (!is_valid_ || !wire::find(fields_, key)) return false;
        auto found = read(fields_, key);
        is_valid_ = found.has_value();
        if (found) target = *found;
        return is_valid_;
    }
    template <class Visitor>
    void for_each_entry(const char* key, Visitor visit) {
        const Json* list = is_valid_ ? wire::find(fields_, key) : nullptr;
        if (!list) return;
        is_valid_ = list->is_array();
        if (!is_valid_) return;
        for (const auto& entry : *list) is_valid_ = is_valid_ && visit(entry);
    }

    const Json& fields_;
    bool is_valid_;
};

constexpr std::uint64_t kMaxCount = 1'000'000;
constexpr std::uint64_t kMaxMicros = std::uint64_t{1} << 50;

}  // namespace

const char* name_of(Tier tier) {
    switch (tier) {
        case Tier::Live:
            return "live";
        case Tier::Urgent:
            return "urgent";
        case Tier::Batch:
            return "batch";
        case Tier::BestEffort:
            return "leftover";
    }
    return "unknown";
}

const char* name_of(FailureDomain domain) {
    switch (domain) {
        case FailureDomain::None:
            return "nothing";
        case FailureDomain::Machine:
            return "machine";
        case FailureDomain::Zone:
            return "zone";
    }
    return "unknown";
}

namespace {
Tier tier_by_rank(JobKind kind, PriorityClass rank) {
    switch (rank) {
        case PriorityClass::Production:
            return kind == JobKind::Service ? Tier::Live : Tier::Urgent;
        case PriorityClass::High:
            return Tier::Urgent;
        case PriorityClass::Normal:
            return Tier::Batch;
        case PriorityClass::Low:
            return Tier::BestEffort;
    }
    return Tier::Batch;
}
}  // namespace

Tier Policy::tier(const JobSpec& job, PriorityClass rank) const {
    const TierRule* rule = most_specific_rule(tiers, job);
    const Tier ranked = tier_by_rank(job.kind, rank);
    if (!rule) return ranked;
    return rank < job.priority_class ? std::min(rule->tier, ranked) : rule->tier;
}

const ZoneRule* Policy::zone_rule(const JobSpec& job) const {
    return most_specific_rule(zones, job);
}

bool Policy::is_movable(const JobSpec& job) const {
    if (tier(job) == Tier::Live) return false;
    if (job.kind != JobKind::Service && job.checkpoint_interval > 0) return true;
    const MoveRule* rule = most_specific_rule(moves, job);
    return rule && rule->movable;
}

Policy default_policy(const Settings&) {
    return {};
}

std::string validation_error(const Policy& policy) {
    try {
        check_policy(policy);
    } catch (const ValidationFailure& failure) {
        return failure.text;
    }
    return "";
}

Json to_value(const Policy& policy) {
    Json value{{"rev", policy.revision}};
    for (const auto& rule : policy.tiers) {
        Json entry = scope_to_value(rule.scope);
        entry["k"] = static_cast<unsigned>(rule.tier);
        value["tiers"].push_back(std::move(entry));
    }
    for (const auto& rule : policy.zones) {
        Json entry = scope_to_value(rule.scope);
        if (!rule.allowed.empty()) entry["a"] = rule.allowed;
        if (!rule.preferred.empty()) entry["p"] = rule.preferred;
        entry["n"] = rule.min_zones;
        entry["m"] = rule.max_zone_share;
        entry["s"] = static_cast<unsigned>(rule.survive);
        if (rule.strict) entry["strict"] = true;
        if (rule.rebalance) entry["bal"] = true;
        value["zones"].push_back(std::move(entry));
    }
    for (const auto& rule : policy.moves) {
        Json entry = scope_to_value(rule.scope);
        entry["ok"] = rule.movable;
        value["moves"].push_back(std::move(entry));
    }
    value["prio"] = {{"floor", policy.priority.floor},
                     {"begin", policy.priority.overdue_after},
                     {"keep", policy.priority.live_reserve}};
    value["bud"] = {{"min", policy.budgets.moves_per_minute},
                    {"place", policy.budgets.moves_per_placement},
                    {"pause", policy.budgets.service_pause},
                    {"settle", policy.budgets.settle_time}};
    value["cards"] = {
        {"pack", policy.gpus.pack}, {"room", policy.gpus.make_room}, {"after", policy.gpus.min_wait}};
    return value;
}

std::optional<Policy> from_value(const Json& value) {
    Policy policy;
    FieldReader record(value);
    record.count("rev", policy.revision, UINT64_MAX);
    record.rules("tiers", policy.tiers,
                 [](FieldReader& fields, TierRule& rule) { fields.count("k", rule.tier, 255); });
    record.rules("zones", policy.zones, [](FieldReader& fields, ZoneRule& rule) {
        fields.texts("a", rule.allowed);
        fields.texts("p", rule.preferred);
        fields.count("n", rule.min_zones, kMaxCount);
        fields.number("m", rule.max_zone_share);
        fields.count("s", rule.survive, 255);
        fields.flag("strict", rule.strict);
        fields.flag("bal", rule.rebalance);
    });
    record.rules("moves", policy.moves,
                 [](FieldReader& fields, MoveRule& rule) { fields.flag("ok", rule.movable); });
    record.map("prio", [&](FieldReader& fields) {
        fields.number("floor", policy.priority.floor);
        fields.count("begin", policy.priority.overdue_after, kMaxMicros);
        fields.number("keep", policy.priority.live_reserve);
    });
    record.map("bud", [&](FieldReader& fields) {
        fields.count("min", policy.budgets.moves_per_minute, kMaxCount);
        fields.count("place", policy.budgets.moves_per_placement, kMaxCount);
        fields.count("pause", policy.budgets.service_pause, kMaxMicros);
        fields.count("settle", policy.budgets.settle_time, kMaxMicros);
    });
    record.map("cards", [&](FieldReader& fields) {
        fields.flag("pack", policy.gpus.pack);
        fields.flag("room", policy.gpus.make_room);
        fields.count("after", policy.gpus.min_wait, kMaxMicros);
    });
    if (!record.is_valid() || policy.revision == 0 || !validation_error(policy).empty()) return std::nullopt;
    return policy;
}

}  // namespace cottonway::policy
