#pragma once
// Who is there, as the store tells: controllers that are alive, the leading one, and who holds which shard.
// Holds state and decides nothing. Times are microseconds of this process's steady clock.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "kvstore/store_client.hpp"

namespace cottonway {

/// Who holds something (a shard, the lead), and since which change.
struct OwnershipRecord {
    std::string holder;
    Revision mod_revision = 0;
};

class Membership {
  public:
    /// News of a node's key. True if the node has just become silent.
    bool apply_liveness(const std::string& node, bool alive, Micros now);
    /// A node that was not there when everything was read: nothing is known of it from before.
    void mark_absent(const std::string& node, Micros now);
    /// True if this is newer than what is known.
    bool apply_shard(const std::string& name, const Json& value, Revision mod_revision);
    bool apply_leader(const Json& value, Revision mod_revision);
    /// What we have just committed ourselves.
    void set_shard(const std::string& name, OwnershipRecord held) { shards_[name] = std::move(held); }
    void set_leader(OwnershipRecord held) { leader_ = std::move(held); }

    bool is_alive(const std::string& node) const { return alive_.count(node) > 0; }
    const std::set<std::string>& alive_nodes() const { return alive_; }
    /// When it was first heard of, 0: it is not alive.
    Micros alive_since(const std::string& node) const;
    /// When its end was heard of; nothing while it is alive or was never heard of.
    std::optional<Micros> silent_since(const std::string& node) const;
    /// A node that this process has heard of itself, by a message or by news of its key. Its key as it was
    /// first read proves nothing: an outage of the state service may have kept it for long.
    void mark_heard_from(const std::string& node) { heard_.insert(node); }
    bool has_been_heard_from(const std::string& node) const { return heard_.count(node) > 0; }
    const OwnershipRecord& leader() const { return leader_; }
    const std::map<std::string, OwnershipRecord>& shards() const { return shards_; }
    const OwnershipRecord* shard(const std::string& name) const;

  private:
    std::set<std::string> alive_;
    std::set<std::string> heard_;
    std::map<std::string, Micros> alive_since_;
    std::map<std::string, Micros> silent_since_;
    OwnershipRecord leader_;
    std::map<std::string, OwnershipRecord> shards_;
};

}  // namespace cottonway
