#pragma once
// What the domains have begun and not ended (c/plan/DOMAIN), as stored. Holds state and decides nothing.

#include <map>
#include <string>

#include "state/store.hpp"

namespace cottonway {

class PlanBook {
  public:
    struct Stored {
        Value value;        // null: there is no record
        Revision mark = 0;  // of the record; of its removal where there is none
    };
    void take(const std::string& domain, const Value* value, Revision mark) {
        if (auto it = stored_.find(domain); it != stored_.end() && mark <= it->second.mark) return;
        stored_[domain] = {value ? *value : Value(), mark};
    }
    const Stored* find(const std::string& domain) const {
        auto it = stored_.find(domain);
        return it == stored_.end() ? nullptr : &it->second;
    }
    const std::map<std::string, Stored>& all() const { return stored_; }

  private:
    std::map<std::string, Stored> stored_;
};

}  // namespace cottonway
