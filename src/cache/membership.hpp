#pragma once
// Cluster membership as stored: live controllers, the leader, and the holder of each shard. Makes no
// decisions. Times are microseconds of this process's steady clock.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "kvstore/store_client.hpp"

namespace cottonway {

/// Holder of a shard or of the leadership, and the revision of the record that says so.
struct OwnershipRecord {
    std::string holder;
    Revision mod_revision = 0;
};

class Membership {
  public:
    /// Applies an update of a node's liveness key. Returns whether the node has just become silent.
    bool apply_liveness(const std::string& node, bool alive, Micros now);
    /// Marks a node as silent whose key was missing in a resync; when it ended is not known.
    void mark_absent(const std::string& node, Micros now);
    /// Applies an update of a shard's or the leader's ownership record. Returns whether it is newer than the
    /// known one.
    bool apply_shard(const std::string& name, const Json& value, Revision mod_revision);
    bool apply_leader(const Json& value, Revision mod_revision);
    /// Sets the holder that this process has just committed.
    void set_shard(const std::string& name, OwnershipRecord record) { shards_[name] = std::move(record); }
    void set_leader(OwnershipRecord record) { leader_ = std::move(record); }

    bool is_alive(const std::string& node) const { return alive_.count(node) > 0; }
    const std::set<std::string>& alive_nodes() const { return alive_; }
    /// Returns when the node was first seen alive, 0: it is not alive.
    Micros alive_since(const std::string& node) const;
    /// Returns when this process noticed that the node was not alive; nullopt while it is alive or was never
    /// noticed.
    std::optional<Micros> silent_since(const std::string& node) const;
    /// Notes a sign of life of a node: a message, or an update of its key. Its key in a resync is no proof
    /// of life: in an outage of the state service it may outlive the node for long.
    void mark_confirmed_alive(const std::string& node) { confirmed_alive_.insert(node); }
    bool was_confirmed_alive(const std::string& node) const { return confirmed_alive_.count(node) > 0; }
    const OwnershipRecord& leader() const { return leader_; }
    const std::map<std::string, OwnershipRecord>& shards() const { return shards_; }
    const OwnershipRecord* shard(const std::string& name) const;

  private:
    std::set<std::string> alive_;
    std::set<std::string> confirmed_alive_;
    std::map<std::string, Micros> alive_since_;
    std::map<std::string, Micros> silent_since_;
    OwnershipRecord leader_;
    std::map<std::string, OwnershipRecord> shards_;
};

}  // namespace cottonway
