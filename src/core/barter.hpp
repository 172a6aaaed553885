#pragma once
// Machines and shares that waiting tasks need are asked of whoever has the most to spare; and the answers to
// such questions.

#include <functional>
#include <vector>

#include "core/leases.hpp"
#include "core/peers.hpp"
#include "core/sharing.hpp"

namespace cottonway {

class Barter {
  public:
    Barter(Host& host, const Replica& replica, const Holdings& holdings, Leases& leases, Sharing& sharing,
           Peers& peers);
    /// Called ten times a second.
    void tick();
    void give_machines(const peer::Want& want, std::function<void(peer::Granted)> done);
    void give_share(const peer::ShareWant& want, std::function<void(peer::Granted)> done);

  private:
    void pass_jobs_on(Owner& o);
    void ask_for_machines(Owner& o, const peer::Want& want);
    void ask_for_share(const Owner& o, const std::string& team, const Resources& missing);
    bool ask_for_share(const Owner& o, const std::string& team, const Resources& missing,
                       Resources (*has)(const peer::TeamLoad&),
                       Resources (Owner::*ours_has)(const std::string&) const);
    Resources unused_elsewhere(const std::string& domain, const std::string& team) const;
    bool yields(const Owner& from, const peer::ShareWant& want) const;
    void give(Owner& from, const peer::ShareWant& want, std::function<void(peer::Granted)> done);

    Host& host_;
    const Replica& replica_;
    const Holdings& holdings_;
    Leases& leases_;
    Sharing& sharing_;
    Peers& peers_;
    std::vector<bool> wanting_;  // by peer: asked for machines
    std::vector<bool> sharing_with_;
    Micros asked_ = 0;
};

}  // namespace cottonway
