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
    for (const auto& machine : machines) {
        // The first machine's token is stored once, as `tok`: most machines have the token of the commit that
        // created the record.
        Json machine_json = Json::array({machine.name, machine.address});
        if (machine.retired || machine.raise_token || machine.token != machines.front().token) {
            machine_json.push_back(machine.retired ? 1U : 0U);
            machine_json.push_back(machine.raise_token ? Revision{0} : machine.token);
        }
        list.push_back(std::move(machine_json));
    }
    Json json{{"dom", shard}, {"type", type}, {"zone", zone}, {"m", std::move(list)}};
    if (spot) json["spot"] = true;
    json["tok"] = machines.empty() ? 0 : machines.front().token;
    return json;
}

std::optional<Block> Block::parse(const std::string& id, const Json& json, Revision mod_revision) {
    Block block;
    auto shard_name = wire::text(json, "dom"), type = wire::text(json, "type"),
         zone = wire::text(json, "zone");
    if (!shard_name || !type || !zone) return std::nullopt;
    block.id = id;
    block.shard = *shard_name;
    block.type = *type;
    block.zone = *zone;
    block.spot = wire::flag(json, "spot").value_or(false);
    block.mod_revision = mod_revision;
    auto token_or_revision = [mod_revision](Revision stored) { return stored == 0 ? mod_revision : stored; };
    const Json* list = wire::find(json, "m");
    if (!list) {
        auto addr = wire::text(json, "addr");
        if (!addr) return std::nullopt;
        block.machines.push_back(
            {id, *addr, mod_revision, wire::flag(json, "retired").value_or(false), false});
        return block;
    }
    if (!list->is_array()) return std::nullopt;
    const Revision common_token = token_or_revision(wire::count(json, "tok").value_or(0));
    for (const auto& entry : *list) {
        if (!entry.is_array() || entry.size() < 2 || !entry[0].is_string() || !entry[1].is_string())
            return std::nullopt;
        Machine machine{entry[0].get<std::string>(), entry[1].get<std::string>(), common_token, false, false};
        if (entry.size() >= 4) {
            if (!entry[2].is_number_unsigned() || !entry[3].is_number_unsigned()) return std::nullopt;
            machine.retired = entry[2].get<unsigned>() != 0;
            machine.token = token_or_revision(entry[3].get<Revision>());
        }
        block.machines.push_back(std::move(machine));
    }
    return block;
}

Json quota_to_json(const QuotaAllocation& quota) {
    Json json = Json::object();
    for (const auto& [team, resources] : quota) json[team] = Json::array({resources.cores, resources.gpus});
    return json;
}

QuotaAllocation parse_quota(const Json& json) {
    QuotaAllocation quota;
    if (!json.is_object()) return quota;
    for (const auto& [team, resources] : json.items()) {
        // An entry that does not parse grants no quota.
        if (!resources.is_array() || resources.size() != 2 || !resources[0].is_number_integer() ||
            !resources[1].is_number_integer())
            continue;
        quota[team] = {std::max<Milli>(resources[0].get<Milli>(), 0),
                       std::max<Milli>(resources[1].get<Milli>(), 0), 0};
    }
    return quota;
}

}  // namespace cottonway
