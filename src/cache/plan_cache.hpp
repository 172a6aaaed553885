#pragma once
// Cache of the shards' records of migrations and reservations in progress (c/plan/SHARD). Makes no
// decisions.

#include <map>
#include <string>

#include "kvstore/store_client.hpp"

namespace cottonway {

class PlanCache {
  public:
    struct Stored {
        Json value;                 // null: the record does not exist
        Revision mod_revision = 0;  // of the record, or of its deletion
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
