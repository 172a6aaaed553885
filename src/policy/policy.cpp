#include "policy/policy.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace cottonway::policy {

namespace {

constexpr std::size_t kMaxText = 256;
constexpr std::size_t kMaxRules = 1000;
constexpr std::size_t kMaxZones = 64;

/// Of the rules that cover a job, the one that names most; nullptr: none does.
template <class Rule>
const Rule* rule_for(const std::vector<Rule>& rules, const JobSpec& job) {
    const Rule* best = nullptr;
    for (const auto& r : rules)
        if (r.scope.covers(job) && (!best || r.scope.weight() > best->scope.weight())) best = &r;
    return best;
}

// ---------------------------------------------------------------- bounds

struct Problem {
    std::string text;
};

[[noreturn]] void bad(const std::string& key, const std::string& why) {
    throw Problem{key + ": " + why};
}

template <class T>
void within(const std::string& key, T value, T low, T high) {
    // Not (value < low || value > high), which a number that is none would pass.
    if (!(value >= low && value <= high)) bad(key, fmt::format("must lie between {} and {}", low, high));
}

void seconds_within(const std::string& key, Micros value, Micros low, Micros high) {
    if (value < low || value > high)
        bad(key, fmt::format("must lie between {} and {} seconds", static_cast<double>(low) / 1e6,
                             high / kSecond));
}

template <class Rule>
void scopes(const std::string& key, const std::vector<Rule>& rules) {
    if (rules.size() > kMaxRules) bad(key, fmt::format("must hold at most {} rules", kMaxRules));
    std::set<Scope> seen;
    for (std::size_t i = 0; i < rules.size(); ++i) {
        const Scope& s = rules[i].scope;
        const std::string at = fmt::format("{}[{}]", key, i);
        if (s.team.size() > kMaxText) bad(at + ".team", "is too long");
        if (s.job_class.size() > kMaxText) bad(at + ".class", "is too long");
        if (!seen.insert(s).second) bad(at, "a rule before it is about the same jobs");
    }
}

void names(const std::string& key, const std::vector<std::string>& zones) {
    if (zones.size() > kMaxZones) bad(key, fmt::format("must name at most {} zones", kMaxZones));
    std::set<std::string> seen;
    for (const auto& z : zones) {
        if (z.empty() || z.size() > kMaxText) bad(key, "a name of a zone is empty or too long");
        if (!seen.insert(z).second) bad(key, fmt::format("{} is named twice", z));
    }
}

void zone_rule_fits(const std::string& at, const ZoneRule& r) {
    names(at + ".allowed", r.allowed);
    names(at + ".preferred", r.preferred);
    for (const auto& z : r.preferred)
        if (!r.allowed.empty() && std::find(r.allowed.begin(), r.allowed.end(), z) == r.allowed.end())
            bad(at + ".preferred", fmt::format("{} is not among the zones allowed", z));
    within<int>(at + ".least_zones", r.least_zones, 1, static_cast<int>(kMaxZones));
    if (!r.allowed.empty() && r.least_zones > static_cast<int>(r.allowed.size()))
        bad(at + ".least_zones",
            fmt::format("{} are asked for, {} allowed", r.least_zones, r.allowed.size()));
    if (!(r.most_share > 0 && r.most_share <= 1)) bad(at + ".most_share", "must be over 0, up to 1");
    if (r.allowed.size() == 1 && r.most_share < 1)
        bad(at + ".most_share", "only one zone is allowed, which has to hold all");
    if (r.allowed.size() == 1 && r.survive == Survive::Zone)
        bad(at + ".survive", "only one zone is allowed, so its loss takes all");
}

void check(const Policy& p) {
    scopes("tiers", p.tiers);
    scopes("zones", p.zones);
    scopes("moves", p.moves);
    for (std::size_t i = 0; i < p.tiers.size(); ++i)
        if (p.tiers[i].tier > Tier::BestEffort)
            bad(fmt::format("tiers[{}].tier", i), "there is no such tier");
    for (std::size_t i = 0; i < p.zones.size(); ++i) {
        const std::string at = fmt::format("zones[{}]", i);
        if (p.zones[i].survive > Survive::Zone) bad(at + ".survive", "must be nothing, machine or zone");
        zone_rule_fits(at, p.zones[i]);
    }
    within("priority.floor", p.priority.floor, 0.0, 0.5);
    within("priority.reserve", p.priority.reserve, 0.0, 0.5);
    seconds_within("priority.begin_within_s", p.priority.begin_within, kSecond, 86'400 * kSecond);
    within("budgets.moves_per_minute", p.budgets.moves_per_minute, 0, 10'000);
    within("budgets.moves_per_placement", p.budgets.moves_per_placement, 0, 100);
    seconds_within("budgets.service_pause_s", p.budgets.service_pause, 0, 86'400 * kSecond);
    seconds_within("budgets.settle_s", p.budgets.settle, 0, 86'400 * kSecond);
    seconds_within("cards.after_s", p.gpus.after, 0, 86'400 * kSecond);
}

// ---------------------------------------------------------------- the record

Json scope_value(const Scope& s) {
    Json v = Json::object();
    if (!s.team.empty()) v["t"] = s.team;
    if (!s.job_class.empty()) v["c"] = s.job_class;
    return v;
}

/// Reads fields of a map into a policy; what is there but of the wrong kind makes the record damaged.
class Reader {
  public:
    explicit Reader(const Json& v) : v_(v), ok_(v.is_object()) {}
    void number(const char* key, double& to) { take(key, to, wire::number); }
    void flag(const char* key, bool& to) { take(key, to, wire::flag); }
    void text(const char* key, std::string& to) { take(key, to, wire::text); }
    template <class Whole>
    void count(const char* key, Whole& to, std::uint64_t most) {
        std::uint64_t n = 0;
        if (!take(key, n, wire::count)) return;
        ok_ = ok_ && n <= most;
        to = static_cast<Whole>(std::min(n, most));
    }
    void texts(const char* key, std::vector<std::string>& to) {
        each(key, [&](const Json& entry) {
            if (!entry.is_string()) return false;
            to.push_back(entry.get<std::string>());
            return true;
        });
    }
    template <class Rule, class Read>
    void rules(const char* key, std::vector<Rule>& to, Read read) {
        each(key, [&](const Json& entry) {
            Rule rule;
            Reader r(entry);
            r.text("t", rule.scope.team);
            r.text("c", rule.scope.job_class);
            read(r, rule);
            to.push_back(std::move(rule));
            return r.ok();
        });
    }
    template <class Read>
    void map(const char* key, Read read) {
        const Json* found = ok_ ? wire::find(v_, key) : nullptr;
        if (!found) return;
        Reader r(*found);
        read(r);
        ok_ = ok_ && r.ok();
    }
    bool ok() const { return ok_; }

  private:
    template <class T, class Read>
    bool take(const char* key, T& to, Read read) {
        if (!ok_ || !wire::find(v_, key)) return false;
        auto found = read(v_, key);
        ok_ = found.has_value();
        if (found) to = *found;
        return ok_;
    }
    template <class F>
    void each(const char* key, F use) {
        const Json* list = ok_ ? wire::find(v_, key) : nullptr;
        if (!list) return;
        ok_ = list->is_array();
        if (!ok_) return;
        for (const auto& entry : *list) ok_ = ok_ && use(entry);
    }

    const Json& v_;
    bool ok_;
};

constexpr std::uint64_t kMostCount = 1'000'000;
constexpr std::uint64_t kMostMicros = std::uint64_t{1} << 50;

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

const char* name_of(Survive survive) {
    switch (survive) {
        case Survive::Nothing:
            return "nothing";
        case Survive::Machine:
            return "machine";
        case Survive::Zone:
            return "zone";
    }
    return "unknown";
}

namespace {
Tier by_rank(JobKind kind, PriorityClass rank) {
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
    const TierRule* rule = rule_for(tiers, job);
    const Tier ranked = by_rank(job.kind, rank);
    if (!rule) return ranked;
    return rank < job.priority_class ? std::min(rule->tier, ranked) : rule->tier;
}

const ZoneRule* Policy::zone_rule(const JobSpec& job) const {
    return rule_for(zones, job);
}

bool Policy::movable(const JobSpec& job) const {
    if (tier(job) == Tier::Live) return false;
    if (job.kind != JobKind::Service && job.checkpoint_interval > 0) return true;
    const MoveRule* rule = rule_for(moves, job);
    return rule && rule->movable;
}

Policy default_policy(const Settings&) {
    return {};
}

std::string problem_of(const Policy& policy) {
    try {
        check(policy);
    } catch (const Problem& p) {
        return p.text;
    }
    return "";
}

Json to_value(const Policy& p) {
    Json v{{"rev", p.revision}};
    for (const auto& r : p.tiers) {
        Json e = scope_value(r.scope);
        e["k"] = static_cast<unsigned>(r.tier);
        v["tiers"].push_back(std::move(e));
    }
    for (const auto& r : p.zones) {
        Json e = scope_value(r.scope);
        if (!r.allowed.empty()) e["a"] = r.allowed;
        if (!r.preferred.empty()) e["p"] = r.preferred;
        e["n"] = r.least_zones;
        e["m"] = r.most_share;
        e["s"] = static_cast<unsigned>(r.survive);
        if (r.strict) e["strict"] = true;
        if (r.rebalance) e["bal"] = true;
        v["zones"].push_back(std::move(e));
    }
    for (const auto& r : p.moves) {
        Json e = scope_value(r.scope);
        e["ok"] = r.movable;
        v["moves"].push_back(std::move(e));
    }
    v["prio"] = {
        {"floor", p.priority.floor}, {"begin", p.priority.begin_within}, {"keep", p.priority.reserve}};
    v["bud"] = {{"min", p.budgets.moves_per_minute},
                {"place", p.budgets.moves_per_placement},
                {"pause", p.budgets.service_pause},
                {"settle", p.budgets.settle}};
    v["cards"] = {{"pack", p.gpus.pack}, {"room", p.gpus.make_room}, {"after", p.gpus.after}};
    return v;
}

std::optional<Policy> from_value(const Json& value) {
    Policy p;
    Reader in(value);
    in.count("rev", p.revision, UINT64_MAX);
    in.rules("tiers", p.tiers, [](Reader& r, TierRule& rule) { r.count("k", rule.tier, 255); });
    in.rules("zones", p.zones, [](Reader& r, ZoneRule& rule) {
        r.texts("a", rule.allowed);
        r.texts("p", rule.preferred);
        r.count("n", rule.least_zones, kMostCount);
        r.number("m", rule.most_share);
        r.count("s", rule.survive, 255);
        r.flag("strict", rule.strict);
        r.flag("bal", rule.rebalance);
    });
    in.rules("moves", p.moves, [](Reader& r, MoveRule& rule) { r.flag("ok", rule.movable); });
    in.map("prio", [&](Reader& r) {
        r.number("floor", p.priority.floor);
        r.count("begin", p.priority.begin_within, kMostMicros);
        r.number("keep", p.priority.reserve);
    });
    in.map("bud", [&](Reader& r) {
        r.count("min", p.budgets.moves_per_minute, kMostCount);
        r.count("place", p.budgets.moves_per_placement, kMostCount);
        r.count("pause", p.budgets.service_pause, kMostMicros);
        r.count("settle", p.budgets.settle, kMostMicros);
    });
    in.map("cards", [&](Reader& r) {
        r.flag("pack", p.gpus.pack);
        r.flag("room", p.gpus.make_room);
        r.count("after", p.gpus.after, kMostMicros);
    });
    if (!in.ok() || p.revision == 0 || !problem_of(p).empty()) return std::nullopt;
    return p;
}

}  // namespace cottonway::policy
