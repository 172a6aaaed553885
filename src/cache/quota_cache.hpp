#pragma once
// Cache of the stored quota allocations: the part of each team's limit that each shard holds. Makes no
// decisions.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "kvstore/records.hpp"

namespace cottonway {

class QuotaCache {
  public:
    struct Stored {
        QuotaAllocation allocation;
        Revision mod_revision = 0;
    };
    explicit QuotaCache(const std::vector<Team>& teams) : teams_(teams) {}

    void apply(const std::string& shard, const Json* value, Revision mod_revision);
    const std::map<std::string, Stored>& all() const { return allocations_; }
    const Stored* find(const std::string& shard) const;
    /// Returns how much of a team's limit a shard may use: its stored allocation minus what is being
    /// transferred to another shard, scaled down in proportion if operators have lowered the limit since.
    Resources available_quota(const std::string& shard, const std::string& team) const;
    /// Returns the sum of all shards' allocations of a team's limit.
    Resources total_allocated(const std::string& team) const;

    /// Marks a quota transfer between two shards as in progress: until its outcome is certain neither shard
    /// uses the amount, and no other change of the two allocations starts.
    void begin_transfer(const std::string& from, const std::string& to, const std::string& team,
                        const Resources& amount);
    void end_transfer(const std::string& from, const std::string& to);
    bool is_transferring(const std::string& shard) const { return in_transfer_.count(shard) > 0; }

  private:
    const std::vector<Team>& teams_;
    std::map<std::string, Stored> allocations_;
    std::map<std::string, QuotaAllocation> outgoing_;
    std::set<std::string> in_transfer_;
};

}  // namespace cottonway
