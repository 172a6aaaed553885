#pragma once
// What the shards have begun and not ended (c/plan/DOMAIN), as stored. Holds state and decides nothing.

#include <map>
#include <string>

#include "kvstore/store_client.hpp"

namespace cottonway {

class PlanCache {
  public:
    struct Stored {
        Json value;                 // null: there is no record
        Revision mod_revision = 0;  // of the record; of its removal where there is none
    };
    void apply(const std::string& shard, const Json* value, Revision mod_revision) {
        if (auto it = stored_.find(shard); it != stored_.end() && mod_revision <= it->second.mod_revision)
            return;
        stored_[shard] = {value ? *value : Json(), mod_revision};
    }
    const Stored* find(const std::string& shard) const {
        auto it = stored_.find(shard);
        return it == stored_.end() ? nullptr : &it->second;
    }
    const std::map<std::string, Stored>& all() const { return stored_; }

  private:
    std::map<std::string, Stored> stored_;
};

}  // namespace cottonway
