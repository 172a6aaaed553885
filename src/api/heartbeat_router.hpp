#pragma once
// Routes workers' reports (heartbeats), which may arrive at any node. The node that holds the machine's shard
// answers them. Other nodes redirect the worker to the holder, relay the report if the worker can't reach the
// holder, and renew the worker's lease on the holder's behalf if that fails as well.

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
                    MachineAllocator& machine_allocator, PeerDirectory& peers, JobArchiver& job_archiver,
                    permission::Counters& decisions);

    void handle_report(const std::string& bytes, ApiResponder respond);
    /// Answers a report that another controller relayed; nullopt: the message holds no valid report.
    std::optional<peer::Relayed> handle_relayed_report(const peer::Relay& message);
    /// Promises a holder not to renew these machines' leases on its behalf for a while. The answer tells how
    /// long ago each lease may have been renewed here last. What a former process of this node renewed is not
    /// known, but it renewed nothing after this process started.
    peer::Relinquished relinquish_leases(const peer::Relinquish& request);
    /// Asks the other controllers to promise not to renew the leases of silent machines.
    void request_relinquishments();
    /// Drops the state of a machine that is in no block any more.
    void forget_machine(const std::string& machine) { proxied_workers_.erase(machine); }

  private:
    struct ProxiedWorker {
        Micros redirected_at = 0;            // when it was last redirected to its holder
        Micros renewed_at = 0;               // when its lease was last renewed here on the holder's behalf
        Micros relinquished_until = 0;       // until when this node has promised not to renew its lease
        bool holder_reaches_worker = false;  // the holder said so in its last answer to a relayed report
        std::uint64_t session = 0, seq = 0;  // of the newest report received here
    };
    bool lease_is_valid() const;
    std::optional<ApiResponse> answer_report(ShardOwner& owner, const Report& report) const;
    Json renewal_answer(const Report& report, std::uint64_t token, std::vector<Order> orders) const;
    permission::Decision may_renew_on_behalf(const Report& report, const Block& block, Revision token);
    void handle_unknown_machine(const Report& report, ApiResponder respond);
    void allocate_machine(const Report& report, const ApiResponder& respond);
    void handle_report_for_other_holder(const Report& report, const Block& block, const std::string& bytes,
                                        ApiResponder respond);
    void relay_report(const Report& report, std::size_t peer, const std::string& bytes, ApiResponder respond);
    void request_relinquishment(std::size_t peer, const ShardOwner& owner, std::vector<std::string> machines);
    void renew_on_behalf(const Report& report, const Block& block, const ApiResponder& respond);

    Runtime& runtime_;
    const Settings& settings_;
    const ChangeFeed& feed_;
    const StateCache& cache_;
    const MembershipLease& membership_lease_;
    const ShardAssignment& assignment_;
    const LeaderElection& election_;
    MachineAllocator& machine_allocator_;
    PeerDirectory& peers_;
    JobArchiver& job_archiver_;
    permission::Counters& decisions_;
    std::unordered_map<std::string, ProxiedWorker> proxied_workers_;
    std::set<std::string> probing_;                   // machines in no block that are being probed
    std::vector<int> relinquish_requests_in_flight_;  // relinquishment requests per peer
    Micros started_at_ = 0;
    Micros relinquish_requested_at_ = 0;
};

}  // namespace cottonway
