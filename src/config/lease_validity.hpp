#pragma once
// How long a controller is entitled to what, by its own steady clock. Pure functions of the settings.

#include <algorithm>

#include "config/settings.hpp"

namespace cottonway {

/// A lease measured by another clock may run this much longer by ours.
inline Micros with_drift(Micros lease) {
    return lease + lease / 1000 + kSecond;
}

constexpr Micros kMinControllerLease = 2 * kSecond;

/// What is left of `cancel` beyond a lease by the worker's clock and the time that an answer takes to get
/// there.
inline Micros cancel_margin_after_worker_lease(const Settings& s) {
    return s.cancel_deadline - s.worker_lease - s.worker_lease / 500 - 3 * kSecond;
}

/// How long a holder may answer after its last confirmation without a cancellation being missed too long: a
/// cancellation that we have not heard of must still end every task in time, so the last answer, which renews
/// a lease for at most `lease`, and the lease must both fit into `cancel`. With less than this nothing would
/// ever be answered, since looks at the store take their time.
inline Micros controller_lease_duration(const Settings& s) {
    return std::max(cancel_margin_after_worker_lease(s), kMinControllerLease);
}

/// Whether that leaves no cancellation unheard for longer than `cancel`. Where it does not fit, tasks of jobs
/// cancelled while their holder can't hear of it may go on for a lease and five seconds.
inline bool can_cancel_in_time(const Settings& s) {
    return cancel_margin_after_worker_lease(s) >= kMinControllerLease;
}

/// Whether one whose last look at the store was begun that long ago may still renew leases and start tasks.
/// What it does within that time is over by itself in time, however long it then hears nothing: the sessions
/// of workers that it may act on began by then or were renewed by then, and end a lease later.
inline bool has_valid_lease(Micros confirmed_ago, const Settings& s) {
    return confirmed_ago < controller_lease_duration(s);
}

}  // namespace cottonway
