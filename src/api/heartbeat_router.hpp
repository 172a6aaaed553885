#pragma once
// Workers' reports at any node: answered by the holder of their machine, sent on to it, passed on to it where
// they can't reach it, and where that fails as well their lease is renewed on its behalf.

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "allocation/machine_allocator.hpp"
#include "api/responses.hpp"
#include "cluster/job_archiver.hpp"
#include "cluster/peer_directory.hpp"

namespace cottonway {

class HeartbeatRouter {
  public:
    HeartbeatRouter(Runtime& runtime, const Settings& settings, const ChangeFeed& feed,
                    const StateCache& cache, const MembershipLease& membership_lease,
                    const ShardAssignment& assignment, const LeaderElection& election,
                    MachineAllocator& machine_allocator, PeerDirectory& peers, JobArchiver& history,
                    permission::Counters& decisions);

    void handle_report(const std::string& bytes, ApiResponder respond);
    /// A report that another controller has passed on; nothing for what is no report.
    std::optional<peer::Relayed> handle_relayed_report(const peer::Relay& message);
    /// What we promise: not to renew these machines' leases on their holder's behalf for a while. Told with
    /// it is when that may have happened last; of a former process of this node it is not known, but it has
    /// ended.
    peer::Relinquished relinquish_leases(const peer::Relinquish& ask);
    /// Asks the others for the promise that a silent machine's lease is not renewed through them.
    void request_relinquishments();
    /// The machine is in no block any more.
    void forget_machine(const std::string& machine) { proxied_workers_.erase(machine); }

  private:
    struct ProxiedWorker {
        Micros sent_on = 0;        // when it was last sent to its holder
        Micros renewed = 0;        // when its lease was last renewed from here on the holder's behalf
        Micros refused_until = 0;  // promised not to
        bool direct = false;       // its holder reaches it
        std::uint64_t session = 0, seq = 0;  // of its newest report here
    };
    bool lease_is_valid() const;
    std::optional<ApiResponse> answer(ShardOwner& owner, const Report& r) const;
    Json renewal(const Report& r, std::uint64_t token, std::vector<Order> orders) const;
    permission::Decision may_renew_on_behalf(const Report& r, const Block& block, Revision token);
    void unknown_machine(const Report& r, ApiResponder respond);
    void lease(const Report& r, const ApiResponder& respond);
    void help(const Report& r, const Block& block, const std::string& bytes, ApiResponder respond);
    void relay(const Report& r, std::size_t peer, const std::string& bytes, ApiResponder respond);
    void request_relinquishment(std::size_t peer, const ShardOwner& owner, std::vector<std::string> machines);
    void renew_on_behalf(const Report& r, const Block& block, const ApiResponder& respond);

    Runtime& runtime_;
    const Settings& settings_;
    const ChangeFeed& feed_;
    const StateCache& cache_;
    const MembershipLease& membership_lease_;
    const ShardAssignment& assignment_;
    const LeaderElection& election_;
    MachineAllocator& machine_allocator_;
    PeerDirectory& peers_;
    JobArchiver& history_;
    permission::Counters& decisions_;
    std::unordered_map<std::string, ProxiedWorker> proxied_workers_;
    std::set<std::string> probing_;  // machines in no block that are being called
    std::vector<int> in_flight_;     // requests to relinquish leases, by peer
    Micros started_ = 0;
    Micros relinquish_requested_at_ = 0;
};

}  // namespace cottonway
