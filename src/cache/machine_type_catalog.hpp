#pragma once
// Machine types as the cloud tells them, or as the store has kept them for times when the cloud is out of
// reach (prices in those may be old).

#include <deque>
#include <string>

#include "kvstore/store_client.hpp"
#include "protocol/protocol.hpp"

namespace cottonway {

class MachineTypeCatalog {
  public:
    /// An answer of the cloud. False if it tells nothing.
    bool apply_cloud_response(const Json& answer);
    /// News of the record that the leader keeps. True if something was learnt from it.
    bool apply_stored(const Json& stored, Revision mod_revision);

    const MachineType* find(const std::string& name) const;
    /// Addresses in it stay valid.
    const std::deque<MachineType>& types() const { return types_; }
    bool empty() const { return types_.empty(); }
    /// The cloud's last answer, null: none yet.
    const Json& cloud_response() const { return answer_; }
    Revision stored_revision() const { return stored_.second; }
    /// Whether the store's record differs from the cloud's answer in anything but prices and times.
    bool is_stored_outdated() const;

  private:
    bool merge(const Json& answer);

    std::deque<MachineType> types_;
    Json answer_;
    std::pair<Json, Revision> stored_;
};

}  // namespace cottonway
