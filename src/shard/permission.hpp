#pragma once
// Decides whether a controller may renew a worker's lease, launch a task, or must stop one. Every answer to a
// heartbeat and every command to a worker is checked here. All functions are pure: they depend only on the
// evidence that the caller passes in.

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway::permission {

/// The reason why an action is refused.
enum class Refusal : std::uint8_t {
    StoreReadTooOld,     // the last confirmed read of the store is too old (see lease_validity.hpp)
    SessionOver,         // the worker's session is proven to have ended
    HigherTokenSeen,     // the worker has seen a higher token than ours
    TokenNotShown,       // the worker has not reported our token yet
    MachineLeaving,      // the machine is being transferred to another shard
    MachineUnknown,      // the machine is in no block, or it is retired
    OwnerUnknown,        // no controller is known to hold the shard
    NotAMember,          // this controller's membership is not announced, or it has ended
    PromisesUnknown,     // promises made by this controller's previous process may still be in force
    LeaseRelinquished,   // this controller promised the owner not to renew the lease
    JobOver,             // the job is cancelled or done
    JobUnknown,          // it is not known whether the job is over; its record is being read
    BoundByOtherOwner,   // the task was bound by a former owner, which may have launched it
    CallInFlight,        // a call that carries this launch is in flight
    GangIncomplete,      // another task of the gang is not bound
    DirectCallPreferred  // a direct call is tried before the answer to a heartbeat
};
constexpr std::size_t kRefusalCount = 16;
const char* name_of(Refusal refusal);

/// The reason for a refusal; empty if the action is permitted.
using Decision = std::optional<Refusal>;

/// What the shard's owner knows when it answers a heartbeat.
struct OwnerEvidence {
    bool store_read_valid = false;
    bool session_over = false;
    bool machine_transferring = false;
    bool jobs_known = true;        // for each task that may run, it is known whether its job is over
    std::uint64_t token = 0;       // the owner's token
    std::uint64_t token_seen = 0;  // the highest token that the worker has seen
};
Decision decide_renewal_by_owner(const OwnerEvidence& evidence);

/// What a controller knows when it answers a heartbeat for an owner that it can't reach.
struct ProxyEvidence {
    bool store_read_valid = false;
    bool is_member = false;
    bool owner_known = false;
    bool former_promises_expired = false;
    bool lease_relinquished = false;
    bool machine_listed = false;   // a block lists the machine and it is not retired
    bool jobs_known = true;        // for each task that may run, it is known whether its job is over
    std::uint64_t token = 0;       // the owner's token
    std::uint64_t token_seen = 0;  // the highest token that the worker has seen
};
Decision decide_renewal_on_behalf(const ProxyEvidence& evidence);

/// What the owner knows about a bound task that the worker has not reported.
struct LaunchEvidence {
    bool store_read_valid = false;
    bool job_queued = false;
    bool bound_by_other_owner = false;
    bool call_in_flight = false;
    bool gang_complete = true;
    bool direct_call_preferred = false;
    std::uint64_t token = 0;
    std::uint64_t token_seen = 0;
};
Decision decide_launch(const LaunchEvidence& evidence);

/// What the owner knows about a bound task to be stopped, and about the message that could carry the stop.
struct StopEvidence {
    bool may_run = false;            // the task was launched, or its worker reported it
    bool saving_with_grace = false;  // the task is saving its state; a second stop would only shorten that
    bool renews_lease = false;       // the message answers a heartbeat; it is not a direct call
    bool sent_recently = false;
};
bool is_stop_due(const StopEvidence& evidence);

/// Returns the stops that are missing from an answer that renews the lease: tasks in the report whose jobs
/// are over and for which `orders` has no stop.
std::vector<Order> missing_stops(const Report& report, const std::vector<Order>& orders,
                                 const std::function<bool(const std::string& job)>& job_over);

/// Counts the decisions of this process by outcome.
class Counters {
  public:
    void count_renewal(const Decision& decision) { count(renewals_, decision); }
    void count_launch(const Decision& decision) { count(launches_, decision); }
    /// Counts an answer that would have renewed a lease without a stop that was due. Stays 0 unless there is
    /// a bug.
    void count_violation() { ++violations_; }
    std::uint64_t violations() const { return violations_; }
    Json to_json() const;
    /// Returns `key=value` pairs for the log; refusals that never occurred are left out.
    std::string log_line() const;

  private:
    struct Tally {
        std::uint64_t permitted = 0;
        std::array<std::uint64_t, kRefusalCount> refused{};
    };
    static void count(Tally& tally, const Decision& decision);

    Tally renewals_;
    Tally launches_;
    std::uint64_t violations_ = 0;
};

}  // namespace cottonway::permission
