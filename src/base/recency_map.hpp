#pragma once
// A map from names to values that keeps its entries in the order of their last use.

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace cottonway {

/// A map ordered by when its entries were last put or touched. It has no limit on its size; the caller erases
/// the oldest entries.
template <class Value>
class RecencyMap {
  public:
    /// Adds or replaces an entry and makes it the most recent one.
    void put(const std::string& name, Value value) {
        if (const auto position = positions_.find(name); position != positions_.end()) {
            position->second->second = std::move(value);
            return touch(name);
        }
        entries_.emplace_front(name, std::move(value));
        positions_.emplace(name, entries_.begin());
    }
    /// Makes an entry the most recent one.
    void touch(const std::string& name) {
        if (const auto position = positions_.find(name); position != positions_.end())
            entries_.splice(entries_.begin(), entries_, position->second);
    }
    void erase(const std::string& name) {
        const auto position = positions_.find(name);
        if (position == positions_.end()) return;
        entries_.erase(position->second);
        positions_.erase(position);
    }
    const Value* find(const std::string& name) const {
        const auto position = positions_.find(name);
        return position == positions_.end() ? nullptr : &position->second->second;
    }
    /// Returns the entry that was put or touched longest ago. The map must not be empty.
    const std::pair<std::string, Value>& oldest() const { return entries_.back(); }
    std::size_t size() const { return positions_.size(); }

  private:
    std::list<std::pair<std::string, Value>> entries_;  // the most recent first
    std::unordered_map<std::string, typename std::list<std::pair<std::string, Value>>::iterator> positions_;
};

}  // namespace cottonway
