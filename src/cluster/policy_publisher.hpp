#pragma once
// Publishes the policy of this node's operators' file: it is put into the store if its revision is higher
// than that of the record, on the record's mark, so that of any number of files the highest revision stays.
// What all controllers go by is in the replica alone.

#include <optional>
#include <utility>

#include "cache/state_cache.hpp"

namespace cottonway {

class PolicyPublisher {
  public:
    PolicyPublisher(Runtime& runtime, StoreClient& store, const Settings& settings, ChangeFeed& feed,
                    StateCache& cache)
        : runtime_(runtime),
          store_(store),
          settings_(settings),
          feed_(feed),
          cache_(cache),
          file_(settings.operators.policy) {}

    /// The file as it is now; settings give the one at the start.
    void set_file(policy::Policy file);
    /// Called ten times a second.
    void tick();
    /// The policy in force has changed.
    void changed() const;
    Json status() const;

  private:
    enum class DependencyStatus { None, Newer, Stored, Older, Differs };
    DependencyStatus standing() const;
    void tell(DependencyStatus standing);
    void publish();
    void later();

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    std::optional<policy::Policy> file_;
    bool writing_ = false;
    Micros not_before_ = 0;
    Micros pause_ = 0;
    std::pair<std::uint64_t, Revision> told_;  // what was last said: of which file, about which record
};

}  // namespace cottonway
