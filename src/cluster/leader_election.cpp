#include "cluster/leader_election.hpp"

#include "logging/log.hpp"

namespace cottonway {

namespace {
constexpr Micros kCandidateStagger = 300 * kMillisecond;  // delay between candidates, by rank
constexpr Micros kStoreMachineTypesInterval = 30 * kSecond;
}  // namespace

void LeaderElection::campaign() {
    const Micros now = runtime_.now();
    if (!feed_.loaded() || !membership_lease_.is_registered() || cache_.machine_types.empty() || claiming_)
        return;
    if (feed_.confirmed_age() > 2 * kSecond) return;
    const OwnershipRecord& leader = cache_.membership.leader();
    if (leader.mod_revision != 0 && leader.holder == settings_.node) {
        if (claimed_term_ != leader.mod_revision) claim_leadership();
        return;
    }
    if (leader.mod_revision != 0 && cache_.membership.is_alive(leader.holder)) {
        leaderless_since_ = 0;
        return;
    }
    if (leaderless_since_ == 0) leaderless_since_ = now;
    const auto rank = static_cast<Micros>(cache_.rank_among_alive("leader"));
    if (now - leaderless_since_ >= rank * kCandidateStagger) claim_leadership();
}

void LeaderElection::claim_leadership() {
    claiming_ = true;
    caught_up_ = false;
    Change change;
    change.priority = Priority::Urgent;
    change.conditions.push_back({keys::leader, term()});
    change.writes.push_back({keys::leader, Json{{"node", settings_.node}}});
    store_.commit(std::move(change), [this](const CommitResult& result) {
        const bool ok = result.status == CommitStatus::Ok;
        if (ok && result.revision > term()) cache_.membership.set_leader({settings_.node, result.revision});
        if (ok) claimed_term_ = result.revision;
        // Only a refresh that begins after this commit is certain to include every write of the former
        // leader.
        feed_.after_next_refresh([this, ok, mod_revision = result.revision](bool refreshed) {
            claiming_ = false;
            leaderless_since_ = 0;
            if (!ok) return;
            if (!refreshed) claimed_term_ = 0;  // campaign() then claims leadership again
            if (!refreshed || term() != mod_revision) return;
            caught_up_ = true;
            spdlog::info("node {} is the leader, term {}", settings_.node, mod_revision);
        });
    });
}

void LeaderElection::store_machine_types() {
    const MachineTypeCatalog& types = cache_.machine_types;
    if (!is_leader() || storing_machine_types_ || types.cloud_response().is_null() ||
        runtime_.now() - machine_types_stored_at_ < kStoreMachineTypesInterval)
        return;
    machine_types_stored_at_ = runtime_.now();
    if (!types.is_stored_outdated()) return;
    storing_machine_types_ = true;
    Change change;
    change.conditions = {{keys::leader, term()}, {keys::machine_types, types.stored_revision()}};
    change.writes.push_back({keys::machine_types, types.cloud_response()});
    store_.commit(std::move(change), [this](const CommitResult& result) {
        // storing_machine_types_ stays set after a rejection, so a rejected write is not retried.
        if (result.status != CommitStatus::Rejected)
            feed_.after_next_refresh([this](bool) { storing_machine_types_ = false; });
    });
}

}  // namespace cottonway
