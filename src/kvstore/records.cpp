#include "kvstore/records.hpp"

#include <algorithm>

namespace cottonway {

Block::Machine* Block::find(const std::string& name) {
    auto it =
        std::find_if(machines.begin(), machines.end(), [&](const Machine& m) { return m.name == name; });
    return it == machines.end() ? nullptr : &*it;
}

const Block::Machine* Block::find(const std::string& name) const {
    return const_cast<Block*>(this)->find(name);
}

Json Block::to_json() const {
    Json list = Json::array();
    for (const auto& m : machines) {
        // The most common token is left out: that of the commit that created the record (`tok`).
        Json entry = Json::array({m.name, m.address});
        if (m.retired || m.raise_token || m.token != machines.front().token) {
            entry.push_back(m.retired ? 1U : 0U);
            entry.push_back(m.raise_token ? Revision{0} : m.token);
        }
        list.push_back(std::move(entry));
    }
    Json v{{"dom", shard}, {"type", type}, {"zone", zone}, {"m", std::move(list)}};
    if (spot) v["spot"] = true;
    v["tok"] = machines.empty() ? 0 : machines.front().token;
    return v;
}

std::optional<Block> Block::parse(const std::string& id, const Json& v, Revision mod_revision) {
    Block b;
    auto dom = wire::text(v, "dom"), type = wire::text(v, "type"), zone = wire::text(v, "zone");
    if (!dom || !type || !zone) return std::nullopt;
    b.id = id;
    b.shard = *dom;
    b.type = *type;
    b.zone = *zone;
    b.spot = wire::flag(v, "spot").value_or(false);
    b.mod_revision = mod_revision;
    auto token_of = [mod_revision](Revision stored) { return stored == 0 ? mod_revision : stored; };
    const Json* list = wire::find(v, "m");
    if (!list) {
        auto addr = wire::text(v, "addr");
        if (!addr) return std::nullopt;
        b.machines.push_back({id, *addr, mod_revision, wire::flag(v, "retired").value_or(false), false});
        return b;
    }
    if (!list->is_array()) return std::nullopt;
    const Revision common = token_of(wire::count(v, "tok").value_or(0));
    for (const auto& e : *list) {
        if (!e.is_array() || e.size() < 2 || !e[0].is_string() || !e[1].is_string()) return std::nullopt;
        Machine m{e[0].get<std::string>(), e[1].get<std::string>(), common, false, false};
        if (e.size() >= 4) {
            if (!e[2].is_number_unsigned() || !e[3].is_number_unsigned()) return std::nullopt;
            m.retired = e[2].get<unsigned>() != 0;
            m.token = token_of(e[3].get<Revision>());
        }
        b.machines.push_back(std::move(m));
    }
    return b;
}

Json quota_to_json(const QuotaAllocation& shares) {
    Json v = Json::object();
    for (const auto& [team, r] : shares) v[team] = Json::array({r.cores, r.gpus});
    return v;
}

QuotaAllocation parse_quota(const Json& v) {
    QuotaAllocation out;
    if (!v.is_object()) return out;
    for (const auto& [team, r] : v.items()) {
        // What does not parse grants nothing.
        if (!r.is_array() || r.size() != 2 || !r[0].is_number_integer() || !r[1].is_number_integer())
            continue;
        out[team] = {std::max<Milli>(r[0].get<Milli>(), 0), std::max<Milli>(r[1].get<Milli>(), 0), 0};
    }
    return out;
}

}  // namespace cottonway
