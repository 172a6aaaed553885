#pragma once
// This node's key at the store, attached to a lease: its removal is how the others suspect that it has ended.

#include "replica/replica.hpp"

namespace cottonway {

class Presence {
  public:
    Presence(Host& host, Store& store, const Settings& settings, Replica& replica)
        : host_(host), store_(store), settings_(settings), replica_(replica) {}
    void join();
    bool announced() const { return announced_; }

  private:
    void announce();
    void put(Revision mark);
    void renew();

    Host& host_;
    Store& store_;
    const Settings& settings_;
    Replica& replica_;
    std::uint64_t lease_ = 0;
    bool announced_ = false;
};

}  // namespace cottonway
