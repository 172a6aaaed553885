#include "cluster/leader_election.hpp"

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kLeadStep = 300 * kMillisecond;  // between the turns of those who could lead
constexpr Micros kStoreTypesEvery = 30 * kSecond;
}  // namespace

void LeaderElection::rebalance_shards() {
    const Micros now = runtime_.now();
    if (!feed_.loaded() || !membership_lease_.announced() || cache_.types.empty() || taking_) return;
    if (feed_.confirmed_ago() > 2 * kSecond) return;
    const ShardRecord& leader = cache_.membership.leader();
    if (leader.mod_revision != 0 && leader.holder == settings_.node) {
        if (led_mark_ != leader.mod_revision) lead();
        return;
    }
    if (leader.mod_revision != 0 && cache_.membership.alive(leader.holder)) {
        leaderless_since_ = 0;
        return;
    }
    if (leaderless_since_ == 0) leaderless_since_ = now;
    const auto turn = static_cast<Micros>(cache_.rank_among_alive("leader"));
    if (now - leaderless_since_ >= turn * kLeadStep) lead();
}

void LeaderElection::lead() {
    taking_ = true;
    ready_ = false;
    Change change;
    change.priority = Priority::Urgent;
    change.conditions.push_back({keys::leader, term()});
    change.writes.push_back({keys::leader, Json{{"node", settings_.node}}});
    store_.commit(std::move(change), [this](const CommitResult& r) {
        const bool ok = r.status == CommitStatus::Ok;
        if (ok && r.revision > term()) cache_.membership.set_leader({settings_.node, r.revision});
        if (ok) led_mark_ = r.revision;
        // Only what a look begun by now tells includes all that the former leader has done.
        feed_.after_next_refresh([this, ok, mod_revision = r.revision](bool looked) {
            taking_ = false;
            leaderless_since_ = 0;
            if (!ok) return;
            if (!looked) led_mark_ = 0;  // taken once more
            if (!looked || term() != mod_revision) return;
            ready_ = true;
            spdlog::info("node {} leads, term {}", settings_.node, mod_revision);
        });
    });
}

void LeaderElection::store_types() {
    const MachineTypeCatalog& types = cache_.types;
    if (!leading() || storing_types_ || types.answer().is_null() ||
        runtime_.now() - types_stored_at_ < kStoreTypesEvery)
        return;
    types_stored_at_ = runtime_.now();
    if (!types.outdated()) return;
    storing_types_ = true;
    Change change;
    change.conditions = {{keys::leader, term()}, {keys::machine_types, types.stored_mark()}};
    change.writes.push_back({keys::machine_types, types.answer()});
    store_.commit(std::move(change), [this](const CommitResult& r) {
        // One that the store does not take is not tried again.
        if (r.status != CommitStatus::Rejected)
            feed_.after_next_refresh([this](bool) { storing_types_ = false; });
    });
}

}  // namespace cottonway
