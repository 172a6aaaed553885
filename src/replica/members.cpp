#include "replica/members.hpp"

#include "log/log.hpp"

namespace cottonway {

bool Members::take_live(const std::string& node, bool alive, Micros now) {
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

void Members::missed(const std::string& node, Micros now) {
    if (!alive(node)) silent_since_.try_emplace(node, now);
}

bool Members::take_domain(const std::string& name, const Value& value, Revision mark) {
    Held& d = domains_[name];
    if (mark <= d.mark) return false;
    d = {wire::text(value, "holder").value_or(""), mark};
    return true;
}

bool Members::take_leader(const Value& value, Revision mark) {
    if (mark <= leader_.mark) return false;
    leader_ = {wire::text(value, "node").value_or(""), mark};
    return true;
}

Micros Members::alive_since(const std::string& node) const {
    auto it = alive_since_.find(node);
    return it == alive_since_.end() ? 0 : it->second;
}

std::optional<Micros> Members::silent_since(const std::string& node) const {
    auto it = silent_since_.find(node);
    if (it == silent_since_.end()) return std::nullopt;
    return it->second;
}

const Held* Members::domain(const std::string& name) const {
    auto it = domains_.find(name);
    return it == domains_.end() ? nullptr : &it->second;
}

}  // namespace cottonway
