#pragma once
// Values by name that know which of them was used last.

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace cottonway {

/// A map in the order in which its entries were last put or touched. It has no capacity of its own.
template <class Value>
class RecencyMap {
  public:
    /// Adds or replaces an entry, which is the latest then.
    void put(const std::string& name, Value value) {
        if (const auto at = positions_.find(name); at != positions_.end()) {
            at->second->second = std::move(value);
            return touch(name);
        }
        entries_.emplace_front(name, std::move(value));
        positions_.emplace(name, entries_.begin());
    }
    /// Makes an entry the latest.
    void touch(const std::string& name) {
        if (const auto at = positions_.find(name); at != positions_.end())
            entries_.splice(entries_.begin(), entries_, at->second);
    }
    void erase(const std::string& name) {
        const auto at = positions_.find(name);
        if (at == positions_.end()) return;
        entries_.erase(at->second);
        positions_.erase(at);
    }
    const Value* find(const std::string& name) const {
        const auto at = positions_.find(name);
        return at == positions_.end() ? nullptr : &at->second->second;
    }
    /// The entry that was put or touched longest ago; there must be one.
    const std::pair<std::string, Value>& oldest() const { return entries_.back(); }
    std::size_t size() const { return positions_.size(); }

  private:
    std::list<std::pair<std::string, Value>> entries_;  // the latest first
    std::unordered_map<std::string, typename std::list<std::pair<std::string, Value>>::iterator> positions_;
};

}  // namespace cottonway
