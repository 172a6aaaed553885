// Reads the operators' policy file, and describes a policy under the keys of that file. docs/operations.md
// has its format.

#include <algorithm>

#include "config/settings.hpp"
#include "config/table.hpp"
#include "policy/policy.hpp"

namespace cottonway::policy {

namespace {

using settings::fail;
using settings::one_of;
using settings::Table;

const std::map<std::string, Tier> kTiers{{name_of(Tier::Live), Tier::Live},
                                         {name_of(Tier::Urgent), Tier::Urgent},
                                         {name_of(Tier::Batch), Tier::Batch},
                                         {name_of(Tier::BestEffort), Tier::BestEffort}};
const std::map<std::string, FailureDomain> kFailureDomains{
    {name_of(FailureDomain::None), FailureDomain::None},
    {name_of(FailureDomain::Machine), FailureDomain::Machine},
    {name_of(FailureDomain::Zone), FailureDomain::Zone}};

double in_seconds(Micros duration) {
    return static_cast<double>(duration) / 1e6;
}

/// Checks the names of teams and zones against the settings, if there are any.
class NameChecker {
  public:
    explicit NameChecker(const Settings* settings) : settings_(settings) {}
    void check_team(const std::string& key, const std::string& team) const {
        if (!settings_ || team.empty()) return;
        const auto& all = settings_->teams;
        if (std::none_of(all.begin(), all.end(), [&](const Team& known) { return known.name == team; }))
            fail(key, "unknown team " + team);
    }
    void check_zones(const std::string& key, const std::vector<std::string>& zones) const {
        if (!settings_ || settings_->zones.empty()) return;
        const auto& all = settings_->zones;
        for (const auto& zone : zones)
            if (std::find(all.begin(), all.end(), zone) == all.end()) fail(key, "unknown zone " + zone);
    }
    void check_min_zones(const std::string& key, const ZoneRule& rule) const {
        if (!settings_ || settings_->zones.empty()) return;
        const std::size_t available = rule.allowed.empty() ? settings_->zones.size() : rule.allowed.size();
        if (static_cast<std::size_t>(rule.min_zones) > available)
            fail(key, fmt::format("requires {} zones, but there are only {}", rule.min_zones, available));
    }

  private:
    const Settings* settings_;
};

Scope read_scope(Table& table, const NameChecker& names) {
    Scope scope{table.text("team", ""), table.text("class", "")};
    names.check_team(table.path("team"), scope.team);
    return scope;
}

/// Requires the key that gives a rule its effect: a rule without it would have none, by mistake.
void require_key(const Table& table, const char* key) {
    if (!table.has(key)) fail(table.path(key), "is missing");
}

ZoneRule read_zone_rule(Table& table, const NameChecker& names) {
    ZoneRule rule;
    rule.scope = read_scope(table, names);
    rule.allowed = table.texts("allowed", {});
    names.check_zones(table.path("allowed"), rule.allowed);
    rule.preferred = table.texts("preferred", {});
    names.check_zones(table.path("preferred"), rule.preferred);
    rule.min_zones = table.count("least_zones", rule.min_zones, 64, 1);
    rule.max_zone_share = table.number("most_share", rule.max_zone_share, 0, 1);
    rule.survive =
        one_of(table.path("survive"), table.text("survive", name_of(rule.survive)), kFailureDomains);
    rule.strict = table.flag("strict");
    rule.rebalance = table.flag("rebalance");
    names.check_min_zones(table.path("least_zones"), rule);
    return rule;
}

template <class Rule, class Describe>
Json rules_to_value(const std::vector<Rule>& rules, Describe describe_rule) {
    Json list = Json::array();
    for (const auto& rule : rules) {
        Json value = describe_rule(rule);
        if (!rule.scope.team.empty()) value["team"] = rule.scope.team;
        if (!rule.scope.job_class.empty()) value["class"] = rule.scope.job_class;
        list.push_back(std::move(value));
    }
    return list;
}

}  // namespace

Json describe(const Policy& policy) {
    Json value{{"revision", policy.revision}};
    value["tiers"] = rules_to_value(policy.tiers, [](const TierRule& rule) {
        return Json{{"tier", name_of(rule.tier)}};
    });
    value["priority"] = {{"floor", policy.priority.floor},
                         {"begin_within_s", in_seconds(policy.priority.overdue_after)},
                         {"reserve", policy.priority.live_reserve}};
    value["zones"] = rules_to_value(policy.zones, [](const ZoneRule& rule) {
        return Json{{"allowed", rule.allowed},          {"preferred", rule.preferred},
                    {"least_zones", rule.min_zones},    {"most_share", rule.max_zone_share},
                    {"survive", name_of(rule.survive)}, {"strict", rule.strict},
                    {"rebalance", rule.rebalance}};
    });
    value["moves"] = rules_to_value(policy.moves, [](const MoveRule& rule) {
        return Json{{"movable", rule.movable}};
    });
    value["budgets"] = {{"moves_per_minute", policy.budgets.moves_per_minute},
                        {"moves_per_placement", policy.budgets.moves_per_placement},
                        {"service_pause_s", in_seconds(policy.budgets.service_pause)},
                        {"settle_s", in_seconds(policy.budgets.settle_time)}};
    value["cards"] = {{"pack", policy.gpus.pack},
                      {"make_room", policy.gpus.make_room},
                      {"after_s", in_seconds(policy.gpus.min_wait)}};
    return value;
}

Policy load(const std::string& path, const Settings* settings) {
    const NameChecker names(settings);
    const toml::table file = settings::parse_file(path);
    Policy policy;
    {
        Table root(file, "");
        if (!root.has("revision")) fail("revision", "is missing; increase it with every change");
        policy.revision = static_cast<std::uint64_t>(root.count("revision", 0, 2'000'000'000, 1));
        root.rows("tiers", [&](Table& row) {
            require_key(row, "tier");
            policy.tiers.push_back(
                {read_scope(row, names), one_of(row.path("tier"), row.text("tier", ""), kTiers)});
        });
        root.table("priority", [&](Table& section) {
            policy.priority.floor = section.number("floor", policy.priority.floor, 0, 0.5);
            policy.priority.overdue_after =
                section.seconds("begin_within_s", in_seconds(policy.priority.overdue_after));
            policy.priority.live_reserve = section.number("reserve", policy.priority.live_reserve, 0, 0.5);
        });
        root.rows("zones", [&](Table& row) { policy.zones.push_back(read_zone_rule(row, names)); });
        root.rows("moves", [&](Table& row) {
            require_key(row, "movable");
            policy.moves.push_back({read_scope(row, names), row.flag("movable")});
        });
        root.table("budgets", [&](Table& section) {
            Budgets& budgets = policy.budgets;
            budgets.moves_per_minute = section.count("moves_per_minute", budgets.moves_per_minute);
            budgets.moves_per_placement = section.count("moves_per_placement", budgets.moves_per_placement);
            budgets.service_pause = section.seconds("service_pause_s", in_seconds(budgets.service_pause));
            budgets.settle_time = section.seconds("settle_s", in_seconds(budgets.settle_time));
        });
        root.table("cards", [&](Table& section) {
            policy.gpus.pack = section.flag("pack");
            policy.gpus.make_room = section.flag("make_room");
            policy.gpus.min_wait = section.seconds("after_s", in_seconds(policy.gpus.min_wait));
        });
    }
    if (const std::string error = validation_error(policy); !error.empty()) throw std::runtime_error(error);
    return policy;
}

}  // namespace cottonway::policy
