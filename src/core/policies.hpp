#pragma once
// Publishes the policy of this node's operators' file: it is put into the store if its revision is higher
// than that of the record, on the record's mark, so that of any number of files the highest revision stays.
// What all controllers go by is in the replica alone.

#include <optional>
#include <utility>

#include "replica/replica.hpp"

namespace cottonway {

class Policies {
  public:
    Policies(Host& host, Store& store, const Settings& settings, Feed& feed, Replica& replica)
        : host_(host),
          store_(store),
          settings_(settings),
          feed_(feed),
          replica_(replica),
          file_(settings.ops.policy) {}

    /// The file as it is now; settings give the one at the start.
    void set_file(policy::Policy file);
    /// Called ten times a second.
    void tick();
    /// The policy in force has changed.
    void changed() const;
    Value status() const;

  private:
    enum class Standing { None, Newer, Stored, Older, Differs };
    Standing standing() const;
    void tell(Standing standing);
    void publish();
    void later();

    Host& host_;
    Store& store_;
    const Settings& settings_;
    Feed& feed_;
    Replica& replica_;
    std::optional<policy::Policy> file_;
    bool writing_ = false;
    Micros not_before_ = 0;
    Micros pause_ = 0;
    std::pair<std::uint64_t, Revision> told_;  // what was last said: of which file, about which record
};

}  // namespace cottonway
