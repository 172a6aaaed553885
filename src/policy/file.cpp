// The operators' file. Its form is in docs/operations.md.

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

double in_seconds(Micros m) {
    return static_cast<double>(m) / 1e6;
}

/// Checks names of teams and zones, if it is known which there are.
class Names {
  public:
    explicit Names(const Settings* settings) : settings_(settings) {}
    void team(const std::string& key, const std::string& team) const {
        if (!settings_ || team.empty()) return;
        const auto& all = settings_->teams;
        if (std::none_of(all.begin(), all.end(), [&](const Team& t) { return t.name == team; }))
            fail(key, "there is no team " + team);
    }
    void zones(const std::string& key, const std::vector<std::string>& zones) const {
        if (!settings_ || settings_->zones.empty()) return;
        const auto& all = settings_->zones;
        for (const auto& z : zones)
            if (std::find(all.begin(), all.end(), z) == all.end()) fail(key, "there is no zone " + z);
    }
    void enough(const std::string& key, const ZoneRule& rule) const {
        if (!settings_ || settings_->zones.empty()) return;
        const std::size_t there = rule.allowed.empty() ? settings_->zones.size() : rule.allowed.size();
        if (static_cast<std::size_t>(rule.min_zones) > there)
            fail(key, fmt::format("{} are asked for, there are {}", rule.min_zones, there));
    }

  private:
    const Settings* settings_;
};

Scope scope(Table& x, const Names& names) {
    Scope s{x.text("team", ""), x.text("class", "")};
    names.team(x.path("team"), s.team);
    return s;
}

/// What a rule is about has to be said: one that says nothing does nothing, by mistake.
void needed(const Table& x, const char* key) {
    if (!x.has(key)) fail(x.path(key), "is missing");
}

ZoneRule zone_rule(Table& x, const Names& names) {
    ZoneRule r;
    r.scope = scope(x, names);
    r.allowed = x.texts("allowed", {});
    names.zones(x.path("allowed"), r.allowed);
    r.preferred = x.texts("preferred", {});
    names.zones(x.path("preferred"), r.preferred);
    r.min_zones = x.count("least_zones", r.min_zones, 64, 1);
    r.max_zone_share = x.number("most_share", r.max_zone_share, 0, 1);
    r.survive = one_of(x.path("survive"), x.text("survive", name_of(r.survive)), kFailureDomains);
    r.strict = x.flag("strict");
    r.rebalance = x.flag("rebalance");
    names.enough(x.path("least_zones"), r);
    return r;
}

template <class Rule, class Tell>
Json rules_value(const std::vector<Rule>& rules, Tell tell) {
    Json list = Json::array();
    for (const auto& r : rules) {
        Json v = tell(r);
        if (!r.scope.team.empty()) v["team"] = r.scope.team;
        if (!r.scope.job_class.empty()) v["class"] = r.scope.job_class;
        list.push_back(std::move(v));
    }
    return list;
}

}  // namespace

Json describe(const Policy& p) {
    Json v{{"revision", p.revision}};
    v["tiers"] = rules_value(p.tiers, [](const TierRule& r) { return Json{{"tier", name_of(r.tier)}}; });
    v["priority"] = {{"floor", p.priority.floor},
                     {"begin_within_s", in_seconds(p.priority.overdue_after)},
                     {"reserve", p.priority.live_reserve}};
    v["zones"] = rules_value(p.zones, [](const ZoneRule& r) {
        return Json{{"allowed", r.allowed},          {"preferred", r.preferred},
                    {"least_zones", r.min_zones},    {"most_share", r.max_zone_share},
                    {"survive", name_of(r.survive)}, {"strict", r.strict},
                    {"rebalance", r.rebalance}};
    });
    v["moves"] = rules_value(p.moves, [](const MoveRule& r) { return Json{{"movable", r.movable}}; });
    v["budgets"] = {{"moves_per_minute", p.budgets.moves_per_minute},
                    {"moves_per_placement", p.budgets.moves_per_placement},
                    {"service_pause_s", in_seconds(p.budgets.service_pause)},
                    {"settle_s", in_seconds(p.budgets.settle_time)}};
    v["cards"] = {
        {"pack", p.gpus.pack}, {"make_room", p.gpus.make_room}, {"after_s", in_seconds(p.gpus.min_wait)}};
    return v;
}

Policy load(const std::string& path, const Settings* settings) {
    const Names names(settings);
    const toml::table file = settings::parse_file(path);
    Policy p;
    {
        Table t(file, "");
        if (!t.has("revision")) fail("revision", "is missing; raise it with every change");
        p.revision = static_cast<std::uint64_t>(t.count("revision", 0, 2'000'000'000, 1));
        t.rows("tiers", [&](Table& x) {
            needed(x, "tier");
            p.tiers.push_back({scope(x, names), one_of(x.path("tier"), x.text("tier", ""), kTiers)});
        });
        t.table("priority", [&](Table& x) {
            p.priority.floor = x.number("floor", p.priority.floor, 0, 0.5);
            p.priority.overdue_after = x.seconds("begin_within_s", in_seconds(p.priority.overdue_after));
            p.priority.live_reserve = x.number("reserve", p.priority.live_reserve, 0, 0.5);
        });
        t.rows("zones", [&](Table& x) { p.zones.push_back(zone_rule(x, names)); });
        t.rows("moves", [&](Table& x) {
            needed(x, "movable");
            p.moves.push_back({scope(x, names), x.flag("movable")});
        });
        t.table("budgets", [&](Table& x) {
            Budgets& b = p.budgets;
            b.moves_per_minute = x.count("moves_per_minute", b.moves_per_minute);
            b.moves_per_placement = x.count("moves_per_placement", b.moves_per_placement);
            b.service_pause = x.seconds("service_pause_s", in_seconds(b.service_pause));
            b.settle_time = x.seconds("settle_s", in_seconds(b.settle_time));
        });
        t.table("cards", [&](Table& x) {
            p.gpus.pack = x.flag("pack");
            p.gpus.make_room = x.flag("make_room");
            p.gpus.min_wait = x.seconds("after_s", in_seconds(p.gpus.min_wait));
        });
    }
    if (const std::string problem = validation_error(p); !problem.empty()) throw std::runtime_error(problem);
    return p;
}

}  // namespace cottonway::policy
