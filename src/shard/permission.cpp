#include "shard/permission.hpp"

#include <algorithm>

namespace cottonway::permission {

namespace {

template <typename Visit>
void for_each_refused(const std::array<std::uint64_t, kRefusalCount>& refused, const Visit& visit) {
    for (std::size_t i = 0; i < refused.size(); ++i)
        if (refused[i] > 0) visit(name_of(static_cast<Refusal>(i)), refused[i]);
}

}  // namespace

const char* name_of(Refusal refusal) {
    switch (refusal) {
        case Refusal::StoreReadTooOld:
            return "store_read_too_old";
        case Refusal::SessionOver:
            return "session_over";
        case Refusal::HigherTokenSeen:
            return "higher_token_seen";
        case Refusal::TokenNotShown:
            return "token_not_shown";
        case Refusal::MachineLeaving:
            return "machine_leaving";
        case Refusal::MachineUnknown:
            return "machine_unknown";
        case Refusal::OwnerUnknown:
            return "holder_unknown";
        case Refusal::NotAMember:
            return "not_a_member";
        case Refusal::PromisesUnknown:
            return "promises_unknown";
        case Refusal::LeaseRelinquished:
            return "lease_relinquished";
        case Refusal::JobOver:
            return "job_over";
        case Refusal::JobUnknown:
            return "job_unknown";
        case Refusal::BoundByOtherOwner:
            return "bound_by_other_holder";
        case Refusal::CallInFlight:
            return "call_in_flight";
        case Refusal::GangIncomplete:
            return "gang_incomplete";
        case Refusal::DirectCallPreferred:
            return "direct_call_preferred";
    }
    return "?";
}

Decision decide_renewal_by_owner(const OwnerEvidence& evidence) {
    if (evidence.token_seen > evidence.token)
        return evidence.machine_transferring ? Refusal::MachineLeaving : Refusal::HigherTokenSeen;
    if (!evidence.store_read_valid) return Refusal::StoreReadTooOld;
    if (evidence.session_over) return Refusal::SessionOver;
    if (!evidence.jobs_known) return Refusal::JobUnknown;
    return {};
}

Decision decide_renewal_on_behalf(const ProxyEvidence& evidence) {
    if (!evidence.is_member) return Refusal::NotAMember;
    if (!evidence.store_read_valid) return Refusal::StoreReadTooOld;
    if (!evidence.owner_known) return Refusal::OwnerUnknown;
    if (!evidence.former_promises_expired) return Refusal::PromisesUnknown;
    if (evidence.lease_relinquished) return Refusal::LeaseRelinquished;
    if (!evidence.machine_listed) return Refusal::MachineUnknown;
    if (evidence.token_seen > evidence.token) return Refusal::HigherTokenSeen;
    if (!evidence.jobs_known) return Refusal::JobUnknown;
    return {};
}

Decision decide_launch(const LaunchEvidence& evidence) {
    if (!evidence.store_read_valid) return Refusal::StoreReadTooOld;
    if (!evidence.job_queued) return Refusal::JobOver;
    if (evidence.token_seen < evidence.token) return Refusal::TokenNotShown;
    if (evidence.bound_by_other_owner) return Refusal::BoundByOtherOwner;
    if (evidence.call_in_flight) return Refusal::CallInFlight;
    if (!evidence.gang_complete) return Refusal::GangIncomplete;
    if (evidence.direct_call_preferred) return Refusal::DirectCallPreferred;
    return {};
}

bool is_stop_due(const StopEvidence& evidence) {
    if (!evidence.may_run || evidence.saving_with_grace) return false;
    // An answer to a heartbeat renews the lease of the task that has to stop, and an earlier stop may not
    // have arrived. So each such answer carries the stop.
    return evidence.renews_lease || !evidence.sent_recently;
}

std::vector<Order> missing_stops(const Report& report, const std::vector<Order>& orders,
                                 const std::function<bool(const std::string& job)>& job_over) {
    std::vector<Order> missing;
    for (const auto& task : report.tasks) {
        if (task.phase == Phase::Exited || !job_over(task.job)) continue;
        const bool stopped = std::any_of(orders.begin(), orders.end(), [&task](const Order& order) {
            return order.kind == OrderKind::Stop && order.job == task.job && order.task == task.task &&
                   order.attempt == task.attempt;
        });
        if (!stopped) missing.push_back({OrderKind::Stop, task.job, task.task, task.attempt, 0});
    }
    return missing;
}

void Counters::count(Tally& tally, const Decision& decision) {
    if (decision)
        ++tally.refused[static_cast<std::size_t>(*decision)];
    else
        ++tally.permitted;
}

Json Counters::to_json() const {
    const auto json_of = [](const Tally& tally) {
        Json refused = Json::object();
        for_each_refused(tally.refused,
                         [&refused](const char* reason, std::uint64_t number) { refused[reason] = number; });
        return Json{{"permitted", tally.permitted}, {"refused", refused}};
    };
    return {{"lease_renewals", json_of(renewals_)},
            {"launches", json_of(launches_)},
            {"renewals_without_stop", violations_}};
}

std::string Counters::log_line() const {
    std::string line = "renewals=" + std::to_string(renewals_.permitted);
    for_each_refused(renewals_.refused, [&line](const char* reason, std::uint64_t number) {
        line += std::string(" renewals_refused.") + reason + "=" + std::to_string(number);
    });
    line += " launches=" + std::to_string(launches_.permitted);
    for_each_refused(launches_.refused, [&line](const char* reason, std::uint64_t number) {
        line += std::string(" launches_refused.") + reason + "=" + std::to_string(number);
    });
    return line + " renewals_without_stop=" + std::to_string(violations_);
}

}  // namespace cottonway::permission
