#pragma once
// The shards' parts of every team's limit, as stored. Holds state and decides nothing.

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
    const std::map<std::string, Stored>& all() const { return stored_; }
    const Stored* find(const std::string& shard) const;
    /// What a shard may use of a team's limit: its stored part less what is being given away, and less in
    /// proportion where operators have lowered the limit since.
    Resources available_quota(const std::string& shard, const std::string& team) const;
    /// What all shards' parts of a team's limit add up to.
    Resources total_allocated(const std::string& team) const;

    /// Part of a shard's share is on its way to another one: until the outcome is certain neither counts on
    /// it, and no other change of the two is begun.
    void begin_transfer(const std::string& from, const std::string& to, const std::string& team,
                        const Resources& amount);
    void end_transfer(const std::string& from, const std::string& to);
    bool is_transferring(const std::string& shard) const { return busy_.count(shard) > 0; }

  private:
    const std::vector<Team>& teams_;
    std::map<std::string, Stored> stored_;
    std::map<std::string, QuotaAllocation> giving_;
    std::set<std::string> busy_;
};

}  // namespace cottonway
