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

const char* name_of(Refusal v) {
    switch (v) {
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
        case Refusal::HolderUnknown:
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
        case Refusal::BoundByOtherHolder:
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

Decision decide_renewal_by_holder(const HolderEvidence& e) {
    if (e.token_seen > e.token)
        return e.machine_transferring ? Refusal::MachineLeaving : Refusal::HigherTokenSeen;
    if (!e.store_read_valid) return Refusal::StoreReadTooOld;
    if (e.session_over) return Refusal::SessionOver;
    if (!e.jobs_known) return Refusal::JobUnknown;
    return {};
}

Decision decide_renewal_on_behalf(const ProxyEvidence& e) {
    if (!e.is_member) return Refusal::NotAMember;
    if (!e.store_read_valid) return Refusal::StoreReadTooOld;
    if (!e.holder_known) return Refusal::HolderUnknown;
    if (!e.former_promises_expired) return Refusal::PromisesUnknown;
    if (e.lease_relinquished) return Refusal::LeaseRelinquished;
    if (!e.machine_listed) return Refusal::MachineUnknown;
    if (e.token_seen > e.token) return Refusal::HigherTokenSeen;
    if (!e.jobs_known) return Refusal::JobUnknown;
    return {};
}

Decision decide_launch(const LaunchEvidence& e) {
    if (!e.store_read_valid) return Refusal::StoreReadTooOld;
    if (!e.job_queued) return Refusal::JobOver;
    if (e.token_seen < e.token) return Refusal::TokenNotShown;
    if (e.bound_by_other_holder) return Refusal::BoundByOtherHolder;
    if (e.call_in_flight) return Refusal::CallInFlight;
    if (!e.gang_complete) return Refusal::GangIncomplete;
    if (e.direct_call_preferred) return Refusal::DirectCallPreferred;
    return {};
}

bool is_stop_due(const StopEvidence& e) {
    if (!e.may_run || e.saving_with_grace) return false;
    // An answer renews the lease of what is to stop, and an earlier stop may not have arrived.
    return e.renews_lease || !e.sent_recently;
}

std::vector<Order> missing_stops(const Report& report, const std::vector<Order>& orders,
                                 const std::function<bool(const std::string& job)>& job_over) {
    std::vector<Order> missing;
    for (const auto& t : report.tasks) {
        if (t.phase == Phase::Exited || !job_over(t.job)) continue;
        const bool stopped = std::any_of(orders.begin(), orders.end(), [&t](const Order& o) {
            return o.kind == OrderKind::Stop && o.job == t.job && o.task == t.task && o.attempt == t.attempt;
        });
        if (!stopped) missing.push_back({OrderKind::Stop, t.job, t.task, t.attempt, 0});
    }
    return missing;
}

void Counters::count(Tally& tally, const Decision& d) {
    if (d)
        ++tally.refused[static_cast<std::size_t>(*d)];
    else
        ++tally.permitted;
}

Json Counters::to_json() const {
    const auto json_of = [](const Tally& tally) {
        Json refused = Json::object();
        for_each_refused(tally.refused,
                         [&refused](const char* reason, std::uint64_t n) { refused[reason] = n; });
        return Json{{"permitted", tally.permitted}, {"refused", refused}};
    };
    return {{"lease_renewals", json_of(renewals_)},
            {"launches", json_of(launches_)},
            {"renewals_without_stop", violations_}};
}

std::string Counters::log_line() const {
    std::string line = "renewals=" + std::to_string(renewals_.permitted);
    for_each_refused(renewals_.refused, [&line](const char* reason, std::uint64_t n) {
        line += std::string(" renewals_refused.") + reason + "=" + std::to_string(n);
    });
    line += " launches=" + std::to_string(launches_.permitted);
    for_each_refused(launches_.refused, [&line](const char* reason, std::uint64_t n) {
        line += std::string(" launches_refused.") + reason + "=" + std::to_string(n);
    });
    return line + " renewals_without_stop=" + std::to_string(violations_);
}

}  // namespace cottonway::permission
