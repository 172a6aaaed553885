#include "cache/membership.hpp"

#include "logging/log.hpp"

namespace cottonway {

bool Membership::apply_liveness(const std::string& node, bool alive, Micros now) {
    if (alive) {
        if (alive_.insert(node).second) alive_since_[node] = now;
        silent_since_.erase(node);
        return false;
    }
    if (alive_.erase(node) == 0) return false;
    alive_since_.erase(node);
    silent_since_[node] = now;
    spdlog::info("node {} is no longer alive", node);
    return true;
}

void Membership::mark_absent(const std::string& node, Micros now) {
    if (!is_alive(node)) silent_since_.try_emplace(node, now);
}

bool Membership::apply_shard(const std::string& name, const Json& value, Revision mod_revision) {
    OwnershipRecord& known = shards_[name];
    if (mod_revision <= known.mod_revision) return false;
    known = {wire::text(value, "holder").value_or(""), mod_revision};
    return true;
}

bool Membership::apply_leader(const Json& value, Revision mod_revision) {
    if (mod_revision <= leader_.mod_revision) return false;
    leader_ = {wire::text(value, "node").value_or(""), mod_revision};
    return true;
}

Micros Membership::alive_since(const std::string& node) const {
    auto it = alive_since_.find(node);
    return it == alive_since_.end() ? 0 : it->second;
}

std::optional<Micros> Membership::silent_since(const std::string& node) const {
    auto it = silent_since_.find(node);
    if (it == silent_since_.end()) return std::nullopt;
    return it->second;
}

const OwnershipRecord* Membership::shard(const std::string& name) const {
    auto it = shards_.find(name);
    return it == shards_.end() ? nullptr : &it->second;
}

}  // namespace cottonway
