#pragma once
// The other controllers: what they have told, and calls to them. All of it are hints.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/holdings.hpp"
#include "core/leadership.hpp"
#include "peer/messages.hpp"

namespace cottonway {

class Fleet;

class Peers {
  public:
    struct Told {
        peer::State state;
        Micros at = 0;  // by the steady clock
    };
    Peers(Host& host, const Settings& settings, const Feed& feed, Replica& replica, const Holdings& holdings,
          const Leadership& leadership, const Fleet& fleet);

    /// Tells the others how things are here, and hears the same of them.
    void gossip();
    peer::State own_state() const;
    void heard(const peer::State& state);
    void call(std::size_t peer, std::string bytes, Micros timeout, std::function<void(const Reply&)> done);

    std::size_t count() const { return peers_.size(); }
    std::optional<std::size_t> named(const std::string& node) const;
    /// Whether it has been heard a short while ago.
    bool reachable(std::size_t peer) const;
    /// What it told last; nothing if that is older than `within`.
    const Told* told(std::size_t peer, Micros within) const;
    /// The same, while it is of use.
    const peer::State* fresh(std::size_t peer) const;
    const peer::DomainLoad* load_of(const std::string& domain) const;
    /// The balance that the leader last told, or our own.
    peer::FleetBalance balance() const;
    /// Cores of jobs given to a domain since its holder last told of it.
    void sent(const std::string& domain, Milli cores) { sent_to_[domain] += cores; }
    Milli sent_to(const std::string& domain) const;

  private:
    struct Peer {
        Micros heard = 0;  // in time spent listening
        bool asking = false;
        std::optional<Told> told;
    };
    Host& host_;
    const Settings& settings_;
    const Feed& feed_;
    Replica& replica_;
    const Holdings& holdings_;
    const Leadership& leadership_;
    const Fleet& fleet_;
    std::vector<Peer> peers_;
    std::map<std::string, Milli> sent_to_;
    Micros gossiped_ = 0;
};

}  // namespace cottonway
