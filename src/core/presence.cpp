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
        announce();
    });
}

void Presence::announce() {
    Change change;
    change.then.push_back({keys::live + settings_.node, Value{{"node", settings_.node}}, lease_});
    change.priority = Priority::Urgent;
    store_.commit(std::move(change), [this](const CommitResult& r) {
        if (r.status == CommitStatus::Ok) {
            announced_ = true;
            replica_.members.take_live(settings_.node, true, host_.now());
            return renew();
        }
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
