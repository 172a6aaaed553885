#include "cluster/membership_lease.hpp"

namespace cottonway {

void MembershipLease::join() {
    announced_ = false;
    store_.grant_lease(settings_.operators.liveness_ttl, [this](std::uint64_t lease) {
        if (lease == 0) {
            runtime_.after(400 * kMillisecond, [this] { join(); });
            return;
        }
        lease_ = lease;
        put(0);
    });
}

/// On the mark of what stands there: carried out late, a put of a former process, or an earlier one of ours,
/// would attach the key to a lease that nobody renews, and take it along when that ends.
void MembershipLease::announce() {
    store_.read(keys::live_node + settings_.node, [this](const ReadResult& r) {
        if (r.ok) return put(r.found ? r.mod_revision : 0);
        runtime_.after(300 * kMillisecond, [this] { announce(); });
    });
}

void MembershipLease::put(Revision mod_revision) {
    Change change;
    change.conditions.push_back({keys::live_node + settings_.node, mod_revision});
    change.writes.push_back({keys::live_node + settings_.node, Json{{"node", settings_.node}}, lease_});
    change.priority = Priority::Urgent;
    store_.commit(std::move(change), [this](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            announced_ = true;
            cache_.membership.take_live(settings_.node, true, runtime_.now());
            return renew();
        }
        if (r.status == CommitStatus::Conflict) return announce();
        runtime_.after(300 * kMillisecond, [this] { join(); });
    });
}

void MembershipLease::renew() {
    runtime_.after(settings_.operators.liveness_ttl / 3, [this] {
        store_.renew_lease(lease_, [this](int status) {
            if (status == 404) return join();
            renew();
        });
    });
}

}  // namespace cottonway
