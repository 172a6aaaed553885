#pragma once
// The domains that this node holds: taking them, giving them up, and handing them on.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/owner.hpp"
#include "core/presence.hpp"
#include "replica/replica.hpp"

namespace cottonway {

class History;
class Leases;

class Holdings {
  public:
    Holdings(OwnerContext& context, Feed& feed, Replica& replica, const Presence& presence,
             const Leases& leases, History& history)
        : context_(context),
          feed_(feed),
          replica_(replica),
          presence_(presence),
          leases_(leases),
          history_(history) {}

    /// Takes our own domain, and those whose holder has ended when it is our turn.
    void consider();
    /// A node that holds several domains with machines gives some to nodes that hold none, once those have
    /// been alive for a while.
    void hand_over();
    /// Somebody else holds the domain, or may: from here on nothing is decided in it.
    void give_up(const std::string& domain);
    /// News of who holds a domain.
    void on_domain(const std::string& name);

    void tick();
    void work();
    /// The process ends: whoever waits for an owner is told, while everything else is still there.
    void end();
    Owner* find(const std::string& domain) const;
    const std::map<std::string, std::unique_ptr<Owner>>& all() const { return owners_; }

  private:
    void acquire(const std::string& name, bool create);
    void activate(const std::string& name, Revision mark);
    void prove_jobs(const std::string& name, Revision mark);
    void begin(const std::string& name, Revision mark);

    OwnerContext& context_;
    Feed& feed_;
    Replica& replica_;
    const Presence& presence_;
    const Leases& leases_;
    History& history_;
    std::map<std::string, std::unique_ptr<Owner>> owners_;
    std::vector<std::unique_ptr<Owner>> retired_;  // destroyed by the next step, not in the middle of a call
    std::set<std::string> acquiring_;
    struct Orphaned {
        Micros since = 0;
        bool before_us = false;
    };
    std::map<std::string, Orphaned> orphaned_;
    std::map<std::string, Micros> taken_at_start_;  // domains of holders that had gone before us
    Micros handed_over_at_ = 0;
};

}  // namespace cottonway
