#include "cache/machine_type_catalog.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace cottonway {

bool MachineTypeCatalog::merge(const Json& answer) {
    auto types = wire::parse_machine_types(answer);
    if (!types || types->empty()) return false;
    for (const auto& t : *types) {
        auto known = std::find_if(types_.begin(), types_.end(),
                                  [&](const MachineType& k) { return k.name == t.name; });
        if (known != types_.end())
            *known = t;
        else
            types_.push_back(t);
    }
    return true;
}

bool MachineTypeCatalog::learn(const Json& answer) {
    if (!merge(answer)) return false;
    answer_ = answer;
    return true;
}

bool MachineTypeCatalog::take(const Json& stored, Revision mod_revision) {
    if (mod_revision <= stored_.second) return false;
    stored_ = {stored, mod_revision};
    return types_.empty() && merge(stored);
}

const MachineType* MachineTypeCatalog::find(const std::string& name) const {
    for (const auto& t : types_)
        if (t.name == name) return &t;
    return nullptr;
}

bool MachineTypeCatalog::outdated() const {
    auto fixed = [](const Json& answer) {
        std::set<std::tuple<std::string, Milli, Milli, Milli, std::vector<std::string>>> out;
        if (auto types = wire::parse_machine_types(answer))
            for (const auto& t : *types) out.emplace(t.name, t.size.cores, t.size.gpus, t.size.ram, t.zones);
        return out;
    };
    return fixed(stored_.first) != fixed(answer_);
}

}  // namespace cottonway
