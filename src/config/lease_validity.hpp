#pragma once
// Durations of leases by a controller's own steady clock, as pure functions of the settings. There are two
// kinds: a worker's lease, renewed by the answers to its reports, and a controller's lease, renewed by each
// confirmed read of the state service. Without a valid lease a controller must not renew worker leases or
// start tasks.

#include <algorithm>

#include "config/settings.hpp"

namespace cottonway {

/// Returns the longest time by this process's clock that a lease measured by another clock may last.
inline Micros with_drift(Micros lease) {
    return lease + lease / 1000 + kSecond;
}

/// Shortest controller lease; see controller_lease_duration.
constexpr Micros kMinControllerLease = 2 * kSecond;

/// Returns what is left of the cancel deadline after a worker's lease, with the drift of the worker's clock
/// (0.2 %) and 3 s for the delivery of the answer that renews the lease.
inline Micros cancel_margin_after_worker_lease(const Settings& settings) {
    return settings.cancel_deadline - settings.worker_lease - settings.worker_lease / 500 - 3 * kSecond;
}

/// Returns how long a controller may act after its last confirmed read of the state service. A cancellation
/// that the controller has not read must still end every task before the cancel deadline, so the time until
/// its last answer to a worker plus the worker lease which that answer renews must fit into
/// `cancel_deadline`. The result is at least kMinControllerLease: reads of the state service take time, and
/// with a shorter lease no report would ever be answered.
inline Micros controller_lease_duration(const Settings& settings) {
    return std::max(cancel_margin_after_worker_lease(settings), kMinControllerLease);
}

/// Returns true if the settings allow every cancellation to take effect before the cancel deadline. If they
/// do not, tasks of a job that is cancelled while its shard's holder cannot reach the state service may run
/// for up to a worker lease and five seconds.
inline bool can_cancel_in_time(const Settings& settings) {
    return cancel_margin_after_worker_lease(settings) >= kMinControllerLease;
}

/// Returns true if a controller whose last confirmed read of the state service began that long ago may still
/// renew worker leases and start tasks. Whatever it does within that time ends in time even if the controller
/// stays cut off afterwards: the worker sessions that it may act on began or were renewed within that time,
/// and they end one worker lease later.
inline bool has_valid_lease(Micros time_since_confirmation, const Settings& settings) {
    return time_since_confirmation < controller_lease_duration(settings);
}

}  // namespace cottonway
