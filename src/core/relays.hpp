#pragma once
// Workers' reports at any node: answered by the holder of their machine, sent on to it, passed on to it where
// they can't reach it, and where that fails as well their lease is renewed on its behalf.

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/api.hpp"
#include "core/leases.hpp"
#include "core/peers.hpp"

namespace cottonway {

class Relays {
  public:
    Relays(Host& host, const Settings& settings, const Feed& feed, const Replica& replica,
           const Presence& presence, const Holdings& holdings, const Leadership& leadership, Leases& leases,
           Peers& peers);

    void report(const std::string& bytes, ApiResponder respond);
    /// A report that another controller has passed on; nothing for what is no report.
    std::optional<peer::Relayed> relayed(const peer::Relay& message);
    /// What we promise: not to renew these machines' leases on their holder's behalf for a while. Told with
    /// it is when that may have happened last; of a former process of this node it is not known, but it has
    /// ended.
    peer::Renounced promise(const peer::Renounce& ask);
    /// Asks the others for the promise that a silent machine's lease is not renewed through them.
    void renounce();
    /// The machine is in no block any more.
    void forget(const std::string& machine) { visits_.erase(machine); }

  private:
    struct Visit {
        Micros sent_on = 0;        // when it was last sent to its holder
        Micros renewed = 0;        // when its lease was last renewed from here on the holder's behalf
        Micros refused_until = 0;  // promised not to
        bool direct = false;       // its holder reaches it
        std::uint64_t session = 0, seq = 0;  // of its newest report here
    };
    bool authorised() const;
    std::optional<ApiResponse> answer(Owner& owner, const Report& r) const;
    void unknown_machine(const Report& r, ApiResponder respond);
    void lease(const Report& r, const ApiResponder& respond);
    void help(const Report& r, const Block& block, const std::string& bytes, ApiResponder respond);
    void relay(const Report& r, std::size_t peer, const std::string& bytes, ApiResponder respond);
    void ask_to_renounce(std::size_t peer, const Owner& owner, std::vector<std::string> machines);
    void stand_in(const Report& r, const Block& block, const ApiResponder& respond);

    Host& host_;
    const Settings& settings_;
    const Feed& feed_;
    const Replica& replica_;
    const Presence& presence_;
    const Holdings& holdings_;
    const Leadership& leadership_;
    Leases& leases_;
    Peers& peers_;
    std::unordered_map<std::string, Visit> visits_;
    std::set<std::string> meeting_;  // machines in no block that are being called
    std::vector<int> in_flight_;     // requests to relinquish leases, by peer
    Micros started_ = 0;
    Micros renounced_ = 0;
};

}  // namespace cottonway
