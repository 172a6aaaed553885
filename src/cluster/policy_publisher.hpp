#pragma once
// Publishes the policy of the operators' file on this node: writes it to the store if its revision is higher
// than the stored one, on the condition that the record is unchanged. So the highest revision wins, however
// many nodes have a file. All controllers follow the stored policy alone, as cached in StateCache.

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

    /// Sets the current content of the file. At startup it comes from the settings.
    void set_file(policy::Policy file);
    /// Called ten times a second.
    void tick();
    /// Logs which policy is in force. Called when it has changed.
    void log_policy_in_force() const;
    Json status() const;

  private:
    /// How the file compares with the stored policy.
    enum class FileStatus { None, Newer, Stored, Older, Differs };
    FileStatus file_status() const;
    void log_file_status(FileStatus status);
    void publish();
    void schedule_retry();

    Runtime& runtime_;
    StoreClient& store_;
    const Settings& settings_;
    ChangeFeed& feed_;
    StateCache& cache_;
    std::optional<policy::Policy> file_;
    bool writing_ = false;
    Micros retry_at_ = 0;
    Micros backoff_ = 0;
    // The revision of the file and of the stored record that were last logged.
    std::pair<std::uint64_t, Revision> last_logged_;
};

}  // namespace cottonway
