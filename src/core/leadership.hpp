#pragma once
// Who leads: the leader leases blocks of machines and deals with the cloud. One stored value names it; its
// mark is the term.

#include "core/authority.hpp"
#include "core/presence.hpp"
#include "replica/replica.hpp"

namespace cottonway {

class Leadership {
  public:
    Leadership(Host& host, Store& store, const Settings& settings, Feed& feed, Replica& replica,
               const Presence& presence)
        : host_(host),
          store_(store),
          settings_(settings),
          feed_(feed),
          replica_(replica),
          presence_(presence) {}

    /// Takes the lead where nobody has it.
    void consider();
    /// Whether this process leads, and knows all that the former leader has done.
    bool leading() const { return ready_ && led_mark_ != 0 && led_mark_ == replica_.members.leader().mark; }
    /// Whether it may also deal with the cloud by what it knows. One that is cut off from the store does not
    /// hear that another leads, so it rents and deletes only within its authority.
    bool acting() const { return leading() && entitled(feed_.confirmed_ago(), settings_); }
    Revision term() const { return replica_.members.leader().mark; }
    const std::string& leader() const { return replica_.members.leader().holder; }
    /// Takes the lead anew: whatever of this term is still on its way to the store fails on the leader's
    /// mark.
    void close_term(Revision term) {
        if (led_mark_ == term) led_mark_ = 0;
    }
    /// Keeps the machine types in the store as well, so that controllers that start while the cloud is out of
    /// reach need not wait for it to take their domains back.
    void store_types();

  private:
    void lead();

    Host& host_;
    Store& store_;
    const Settings& settings_;
    Feed& feed_;
    Replica& replica_;
    const Presence& presence_;
    Revision led_mark_ = 0;  // of the leadership that this process took, 0: none
    bool ready_ = false;
    bool taking_ = false;
    Micros leaderless_since_ = 0;
    bool storing_types_ = false;
    Micros types_stored_at_ = -kSecond * 60;
};

}  // namespace cottonway
