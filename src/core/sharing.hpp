#pragma once
// The records of shares: the first ones, and parts of a team's limit given to domains that wait for them.

#include <functional>

#include "core/holdings.hpp"
#include "core/leadership.hpp"
#include "core/leases.hpp"

namespace cottonway {

class Sharing {
  public:
    Sharing(Host& host, Store& store, const Settings& settings, Feed& feed, Replica& replica,
            const Holdings& holdings, Leadership& leadership, const Leases& leases)
        : host_(host),
          store_(store),
          settings_(settings),
          feed_(feed),
          replica_(replica),
          holdings_(holdings),
          leadership_(leadership),
          leases_(leases) {}

    /// The leader creates the first shares, all in one change, and adds to its own domain's what operators
    /// have raised a limit by. Everything else is a transfer, which leaves the sum as it is.
    void first_shares();
    /// Gives another domain a part of what this one can spare of a team's limit.
    void give(Owner& from, const peer::ShareWant& want, const Resources& spare,
              std::function<void(peer::Granted)> done);

  private:
    Host& host_;
    Store& store_;
    const Settings& settings_;
    Feed& feed_;
    Replica& replica_;
    const Holdings& holdings_;
    Leadership& leadership_;
    const Leases& leases_;
    bool sharing_first_ = false;
};

}  // namespace cottonway
