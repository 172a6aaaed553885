#include "cache/policy_cache.hpp"

#include "logging/log.hpp"

namespace cottonway {

bool PolicyCache::apply(const Json* value, Revision mod_revision) {
    if (mod_revision <= last_update_revision_) return false;
    last_update_revision_ = mod_revision;
    mod_revision_ = value ? mod_revision : 0;
    revision_ = value ? wire::count(*value, "rev").value_or(0) : 0;
    const policy::Policy before = in_force();
    stored_ = value ? policy::from_value(*value) : std::nullopt;
    if (is_damaged())
        spdlog::error("policy: the record is damaged or of a newer version; the default policy is in force");
    return !(before == in_force());
}

}  // namespace cottonway
