#pragma once
// Machine types as the cloud API lists them, or as stored for times when the cloud API is unreachable (stored
// prices may be outdated).

#include <deque>
#include <string>

#include "kvstore/store_client.hpp"
#include "protocol/protocol.hpp"

namespace cottonway {

class MachineTypeCatalog {
  public:
    /// Applies a response of the cloud API. Returns false if it holds no machine types.
    bool apply_cloud_response(const Json& response);
    /// Applies an update of the record that the leader maintains. Returns whether the catalog has changed.
    bool apply_stored(const Json& stored, Revision mod_revision);

    const MachineType* find(const std::string& name) const;
    /// Pointers to its elements stay valid.
    const std::deque<MachineType>& types() const { return types_; }
    bool empty() const { return types_.empty(); }
    /// Returns the last response of the cloud API, null: none yet.
    const Json& cloud_response() const { return cloud_response_; }
    Revision stored_revision() const { return stored_.second; }
    /// Returns whether the stored record differs from the cloud's response in more than prices and times.
    bool is_stored_outdated() const;

  private:
    bool merge(const Json& response);

    std::deque<MachineType> types_;
    Json cloud_response_;
    std::pair<Json, Revision> stored_;
};

}  // namespace cottonway
