#pragma once
// The operators' policy as it is stored, for all controllers (c/policy). Holds state and decides nothing.

#include <cstdint>

#include "config/settings.hpp"
#include "kvstore/store_client.hpp"
#include "policy/policy.hpp"
#include "protocol/protocol.hpp"

namespace cottonway {

class PolicyCache {
  public:
    explicit PolicyCache(const Settings& settings) : default_(policy::default_policy(settings)) {}

    /// True if another policy is in force by this. A damaged record puts the default in force, the same on
    /// all nodes whatever stood there before.
    bool apply(const Json* value, Revision mod_revision);
    const policy::Policy& in_force() const { return stored_ ? *stored_ : default_; }
    /// Of the record, 0: there is none. A damaged record may still tell one, and so may one of a newer
    /// version that this one can't read.
    std::uint64_t revision() const { return revision_; }
    /// 0: there is no record.
    Revision mod_revision() const { return mod_revision_; }
    bool is_damaged() const { return mod_revision_ > 0 && !stored_; }

  private:
    policy::Policy default_;
    std::optional<policy::Policy> stored_;
    std::uint64_t revision_ = 0;
    Revision mod_revision_ = 0;
    Revision seen_ = 0;  // of the last news, a deletion included
};

}  // namespace cottonway
