#pragma once
// Whether a controller may renew a worker's lease or launch a task, and whether it must stop one. Pure
// functions of what the controller knows; every answer to a heartbeat and every command to a worker is
// decided here.

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway::permission {

/// Why something is not permitted.
enum class Refusal : std::uint8_t {
    StoreReadTooOld,     // the last confirmed read of the store (see lease_validity.hpp)
    SessionOver,         // the worker's session is proven over
    HigherTokenSeen,     // the worker has seen a higher token than ours
    TokenNotShown,       // the worker has not shown our token yet
    MachineLeaving,      // being given to another shard
    MachineUnknown,      // in no block, or retired
    HolderUnknown,       // nobody is known to hold the shard
    NotAMember,          // our own membership is not announced, or has ended
    PromisesUnknown,     // those of our former process may still hold
    LeaseRelinquished,   // promised to the holder
    JobOver,             // cancelled or done
    JobUnknown,          // over or not, that is being read
    BoundByOtherHolder,  // which may have launched it
    CallInFlight,        // with this launch
    GangIncomplete,      // another task of the gang is not bound
    DirectCallPreferred  // the answer to a heartbeat is the second way
};
constexpr std::size_t kRefusalCount = 16;
const char* name_of(Refusal v);

/// Nothing: permitted.
using Decision = std::optional<Refusal>;

/// A heartbeat at the holder of its machine.
struct HolderEvidence {
    bool store_read_valid = false;
    bool session_over = false;
    bool machine_transferring = false;
    bool jobs_known = true;        // of each task that may run, whether its job is over
    std::uint64_t token = 0;       // ours
    std::uint64_t token_seen = 0;  // by the worker
};
Decision decide_renewal_by_holder(const HolderEvidence& e);

/// A heartbeat at a controller that can't reach the holder of its machine.
struct ProxyEvidence {
    bool store_read_valid = false;
    bool is_member = false;
    bool holder_known = false;
    bool former_promises_expired = false;
    bool lease_relinquished = false;
    bool machine_listed = false;   // and not retired
    bool jobs_known = true;        // of each task that may run, whether its job is over
    std::uint64_t token = 0;       // of the holder
    std::uint64_t token_seen = 0;  // by the worker
};
Decision decide_renewal_on_behalf(const ProxyEvidence& e);

/// A bound task that its worker has not shown.
struct LaunchEvidence {
    bool store_read_valid = false;
    bool job_queued = false;
    bool bound_by_other_holder = false;
    bool call_in_flight = false;
    bool gang_complete = true;
    bool direct_call_preferred = false;
    std::uint64_t token = 0;
    std::uint64_t token_seen = 0;
};
Decision decide_launch(const LaunchEvidence& e);

/// A bound task that is to be stopped, and the message that may hold its stop.
struct StopEvidence {
    bool may_run = false;            // launched, or shown by its worker
    bool saving_with_grace = false;  // a second stop would only cut that short
    bool renews_lease = false;       // an answer to a heartbeat, not a direct call
    bool sent_recently = false;
};
bool is_stop_due(const StopEvidence& e);

/// The stops that an answer lacks although it renews the lease of tasks whose jobs are over.
std::vector<Order> missing_stops(const Report& report, const std::vector<Order>& orders,
                                 const std::function<bool(const std::string& job)>& job_over);

/// How the decisions of a process fell.
class Counters {
  public:
    void count_renewal(const Decision& d) { count(renewals_, d); }
    void count_launch(const Decision& d) { count(launches_, d); }
    /// Answers that would have renewed a lease without a stop that was due: 0 unless there is a fault.
    void count_violation() { ++violations_; }
    std::uint64_t violations() const { return violations_; }
    Json to_json() const;
    /// For the log: `key=value`, what is 0 left out.
    std::string log_line() const;

  private:
    struct Tally {
        std::uint64_t permitted = 0;
        std::array<std::uint64_t, kRefusalCount> refused{};
    };
    static void count(Tally& tally, const Decision& d);

    Tally renewals_;
    Tally launches_;
    std::uint64_t violations_ = 0;
};

}  // namespace cottonway::permission
