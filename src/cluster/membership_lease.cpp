#include "cluster/membership_lease.hpp"

namespace cottonway {

void MembershipLease::join() {
    registered_ = false;
    store_.grant_lease(settings_.operators.liveness_ttl, [this](std::uint64_t lease_id) {
        if (lease_id == 0) {
            runtime_.after(400 * kMillisecond, [this] { join(); });
            return;
        }
        lease_id_ = lease_id;
        put_key(0);
    });
}

/// Reads the current revision of the key and writes the key on the condition that it is unchanged. An
/// unconditional write of a former process, or an earlier one of this process, that the store executes late
/// would attach the key to a lease that is no longer renewed, and the key would be deleted when that lease
/// expires.
void MembershipLease::read_and_put_key() {
    store_.read(keys::live_node + settings_.node, [this](const ReadResult& result) {
        if (result.ok) return put_key(result.found ? result.mod_revision : 0);
        runtime_.after(300 * kMillisecond, [this] { read_and_put_key(); });
    });
}

void MembershipLease::put_key(Revision mod_revision) {
    Change change;
    change.conditions.push_back({keys::live_node + settings_.node, mod_revision});
    change.writes.push_back({keys::live_node + settings_.node, Json{{"node", settings_.node}}, lease_id_});
    change.priority = Priority::Urgent;
    store_.commit(std::move(change), [this](const CommitResult& result) {
        if (result.status == CommitStatus::Ok) {
            registered_ = true;
            cache_.membership.apply_liveness(settings_.node, true, runtime_.now());
            return renew();
        }
        if (result.status == CommitStatus::Conflict) return read_and_put_key();
        runtime_.after(300 * kMillisecond, [this] { join(); });
    });
}

void MembershipLease::renew() {
    runtime_.after(settings_.operators.liveness_ttl / 3, [this] {
        store_.renew_lease(lease_id_, [this](int status) {
            if (status == 404) return join();
            renew();
        });
    });
}

}  // namespace cottonway
