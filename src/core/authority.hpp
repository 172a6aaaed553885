#pragma once
// How long a controller is entitled to what, by its own steady clock. Pure functions of the settings.

#include <algorithm>

#include "settings/settings.hpp"

namespace cottonway {

/// A lease measured by another clock may run this much longer by ours.
inline Micros with_drift(Micros lease) {
    return lease + lease / 1000 + kSecond;
}

/// How long a holder may answer after its last confirmation without a cancellation being missed too long: a
/// cancellation that we have not heard of must still end every task in time, so the last answer, which renews
/// a lease for at most `lease`, and the lease must both fit into `cancel`.
inline Micros authority(const Settings& s) {
    return std::max(s.cancel - s.lease - s.lease / 500 - 3 * kSecond, 2 * kSecond);
}

}  // namespace cottonway
