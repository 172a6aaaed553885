#include "cache/machine_type_catalog.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace cottonway {

bool MachineTypeCatalog::merge(const Json& response) {
    auto types = wire::parse_machine_types(response);
    if (!types || types->empty()) return false;
    for (const auto& type : *types) {
        auto known = std::find_if(types_.begin(), types_.end(),
                                  [&](const MachineType& other) { return other.name == type.name; });
        if (known != types_.end())
            *known = type;
        else
            types_.push_back(type);
    }
    return true;
}

bool MachineTypeCatalog::apply_cloud_response(const Json& response) {
    if (!merge(response)) return false;
    cloud_response_ = response;
    return true;
}

bool MachineTypeCatalog::apply_stored(const Json& stored, Revision mod_revision) {
    if (mod_revision <= stored_.second) return false;
    stored_ = {stored, mod_revision};
    return types_.empty() && merge(stored);
}

const MachineType* MachineTypeCatalog::find(const std::string& name) const {
    for (const auto& type : types_)
        if (type.name == name) return &type;
    return nullptr;
}

bool MachineTypeCatalog::is_stored_outdated() const {
    auto fixed_properties = [](const Json& response) {
        std::set<std::tuple<std::string, Milli, Milli, Milli, std::vector<std::string>>> out;
        if (auto types = wire::parse_machine_types(response))
            for (const auto& type : *types)
                out.emplace(type.name, type.size.cores, type.size.gpus, type.size.ram, type.zones);
        return out;
    };
    return fixed_properties(stored_.first) != fixed_properties(cloud_response_);
}

}  // namespace cottonway
