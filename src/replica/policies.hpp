#pragma once
// The operators' policy as it is stored, for all controllers (c/policy). Holds state and decides nothing.

#include <cstdint>

#include "policy/policy.hpp"
#include "settings/settings.hpp"
#include "state/store.hpp"
#include "wire/wire.hpp"

namespace cottonway {

class PolicyBook {
  public:
    explicit PolicyBook(const Settings& settings) : default_(policy::default_policy(settings)) {}

    /// True if another policy is in force by this. A damaged record puts the default in force, the same on
    /// all nodes whatever stood there before.
    bool take(const Value* value, Revision mark);
    const policy::Policy& in_force() const { return stored_ ? *stored_ : default_; }
    /// Of the record, 0: there is none. A damaged record may still tell one, and so may one of a newer
    /// version that this one can't read.
    std::uint64_t revision() const { return revision_; }
    /// 0: there is no record.
    Revision mark() const { return mark_; }
    bool damaged() const { return mark_ > 0 && !stored_; }

  private:
    policy::Policy default_;
    std::optional<policy::Policy> stored_;
    std::uint64_t revision_ = 0;
    Revision mark_ = 0;
    Revision seen_ = 0;  // of the last news, a deletion included
};

}  // namespace cottonway
