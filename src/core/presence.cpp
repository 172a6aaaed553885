#include "core/presence.hpp"

namespace cottonway {

void Presence::join() {
    announced_ = false;
    store_.grant(settings_.ops.live_ttl, [this](std::uint64_t lease) {
        if (lease == 0) {
            host_.after(400 * kMillisecond, [this] { join(); });
            return;
        }
        lease_ = lease;
        put(0);
    });
}

/// On the mark of what stands there: carried out late, a put of a former process, or an earlier one of ours,
/// would attach the key to a lease that nobody renews, and take it along when that ends.
void Presence::announce() {
    store_.read(keys::live + settings_.node, [this](const ReadResult& r) {
        if (r.ok) return put(r.found ? r.mark : 0);
        host_.after(300 * kMillisecond, [this] { announce(); });
    });
}

void Presence::put(Revision mark) {
    Change change;
    change.when.push_back({keys::live + settings_.node, mark});
    change.then.push_back({keys::live + settings_.node, Value{{"node", settings_.node}}, lease_});
    change.priority = Priority::Urgent;
    store_.commit(std::move(change), [this](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            announced_ = true;
            replica_.members.take_live(settings_.node, true, host_.now());
            return renew();
        }
        if (r.status == CommitStatus::Conflict) return announce();
        host_.after(300 * kMillisecond, [this] { join(); });
    });
}

void Presence::renew() {
    host_.after(settings_.ops.live_ttl / 3, [this] {
        store_.extend(lease_, [this](int status) {
            if (status == 404) return join();
            renew();
        });
    });
}

}  // namespace cottonway
