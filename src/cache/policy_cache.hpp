#pragma once
// Cache of the stored operators' policy, which applies to all controllers (c/policy). Makes no decisions.

#include <cstdint>

#include "config/settings.hpp"
#include "kvstore/store_client.hpp"
#include "policy/policy.hpp"
#include "protocol/protocol.hpp"

namespace cottonway {

class PolicyCache {
  public:
    explicit PolicyCache(const Settings& settings) : default_(policy::default_policy(settings)) {}

    /// Applies an update of the record. Returns whether the policy in force has changed. With a damaged
    /// record the default policy is in force, so that all nodes apply the same one whatever the record held
    /// before.
    bool apply(const Json* value, Revision mod_revision);
    const policy::Policy& in_force() const { return stored_ ? *stored_ : default_; }
    /// Returns the policy revision of the record, 0: there is none. A damaged record may still hold a
    /// revision, and so may a record of a newer version that this version can't read.
    std::uint64_t revision() const { return revision_; }
    /// Returns the store revision of the record, 0: there is no record.
    Revision mod_revision() const { return mod_revision_; }
    bool is_damaged() const { return mod_revision_ > 0 && !stored_; }

  private:
    policy::Policy default_;
    std::optional<policy::Policy> stored_;
    std::uint64_t revision_ = 0;
    Revision mod_revision_ = 0;
    Revision last_update_revision_ = 0;  // of the last update, deletions included
};

}  // namespace cottonway
