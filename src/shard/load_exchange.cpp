// Exchange of a shard owner with other controllers: reports of its load, and transfers of idle machines,
// waiting jobs and parts of team limits.

#include <algorithm>
#include <tuple>
#include <utility>

#include "logging/log.hpp"
#include "scheduling/machine_occupancy.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

// How long a job waits before machines of other shards are requested for it.
constexpr Micros kCapacityRequestDelay = 150 * kMillisecond;
// How long a machine must have been idle before it is transferred to another shard.
constexpr Micros kMinIdleBeforeOffer = 500 * kMillisecond;
// How long a job that finds no machine reserves its part of its team's limit. A gang reserves it
// longer, as the resources for all of its tasks may have to be reserved one machine after another.
constexpr Micros kQuotaRetention = 20 * kSecond;
constexpr Micros kGangQuotaRetention = 60 * kSecond;
constexpr Micros kNoCapacityValidity = 10 * kSecond;  // a failure to find a machine counts for this long

/// Returns whether the job has found no machine for long. Then it reserves no part of its team's limit, so
/// that jobs that do find a machine can use that part meanwhile. The job stays in the queue and asks for its
/// part again once there is a machine for it.
bool is_long_unschedulable(const Job& job, Micros now) {
    const Micros quota_retention = job.spec.kind == JobKind::Gang ? kGangQuotaRetention : kQuotaRetention;
    return job.no_capacity_at > 0 && now - job.waiting_since >= quota_retention &&
           now - job.no_capacity_at <= kNoCapacityValidity;
}

/// The total resources of a shard's machines, and their types.
struct Capacity {
    Resources total;
    std::set<const MachineType*> types;

    explicit Capacity(const std::map<std::string, std::unique_ptr<Machine>>& machines) {
        for (const auto& [name, machine] : machines) {
            if (!machine->type || machine->retired) continue;
            total += machine->type->size;
            types.insert(machine->type);
        }
    }
    /// Returns the cores that a task occupies: its share of the shard's cores or of its GPUs, whichever is
    /// larger, in cores.
    Milli occupied_by(const JobSpec& spec) const { return scheduling::gpu_bound_cores(spec.request, total); }
    /// Returns whether a task leaves no capacity for a second one on any type of machine of the shard.
    bool is_filled_by(const JobSpec& spec) const {
        return std::none_of(types.begin(), types.end(), [&spec](const MachineType* type) {
            return (spec.request + spec.request).fits(type->size);
        });
    }
};

}  // namespace

peer::ShardLoad ShardOwner::load() const {
    const Capacity capacity(shard_state_.machines);
    peer::ShardLoad shard_load;
    shard_load.shard = shard_;
    shard_load.mod_revision = mod_revision_;
    shard_load.jobs = static_cast<std::uint32_t>(shard_state_.jobs.size());
    for (const auto& [name, machine] : shard_state_.machines) {
        if (!machine->type || machine->retired) continue;
        ++shard_load.machines;
        shard_load.capacity += machine->type->size.cores;
        if (!machine->spot) shard_load.ordinary += machine->type->size.cores;
        if (!is_usable(*machine)) continue;
        // Best-effort work counts as free, since all other work preempts it.
        (machine->spot ? shard_load.free_spot : shard_load.free_ordinary) +=
            scheduling::available_cores(machine->type->size - machine->reserved, machine->type->size) +
            machine->low_priority_cores;
        if (machine->tasks.empty())
            (machine->spot ? shard_load.idle_spot : shard_load.idle_ordinary) += machine->type->size.cores;
    }
    std::map<std::string, Resources> waiting_by_team;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->rank == PriorityClass::Production && job->dependencies_done)
            shard_load.production += job->spec.request.cores * (job->unbound_tasks + job->bound_tasks);
        if (job->waiting_tasks() == 0) continue;
        shard_load.waiting += capacity.occupied_by(job->spec) * job->unbound_tasks;
        if (is_long_unschedulable(*job, context_.runtime().now())) continue;
        auto& team_waiting = waiting_by_team[job->spec.team];
        team_waiting.cores += job->spec.request.cores * job->unbound_tasks;
        team_waiting.gpus += job->spec.request.gpus * job->unbound_tasks;
    }
    for (const auto& team : context_.settings().teams) {
        shard_load.teams.push_back({team.name, context_.available_quota(shard_, team.name),
                                    shard_state_.team_usage(team.name), waiting_by_team[team.name]});
    }
    return shard_load;
}

std::optional<peer::CapacityRequest> ShardOwner::capacity_request() const {
    if (!active_) return std::nullopt;
    const Micros now = context_.runtime().now();
    // The request is for the job that has waited longest, and stands for the jobs that need the same. Live
    // work goes first: else it would wait behind a queue that may be long.
    auto order = [this](const Job& job) { return std::pair(tier(job) != policy::Tier::Live, job.serial); };
    const Job* first_job = nullptr;
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->waiting_tasks() > 0 && now - job->waiting_since > kCapacityRequestDelay &&
            (scheduler_.is_within_quota(*job, 1) || is_long_unschedulable(*job, now)) &&
            (!first_job || order(*job) < order(*first_job)))
            first_job = job.get();
    if (!first_job) return std::nullopt;
    peer::CapacityRequest request;
    request.shard = shard_;
    request.mod_revision = mod_revision_;
    request.largest_task = first_job->spec.request;
    request.allows_spot = first_job->spec.spot;
    if (first_job->spec.zone) request.zone = *first_job->spec.zone;
    // Where the zones that have tasks of the job may take no more, the job needs machines in another zone.
    if (first_job->spec.spread && request.zone.empty()) {
        auto tasks_by_zone = first_job->tasks_by_zone();
        const bool is_zone_full =
            std::any_of(tasks_by_zone.begin(), tasks_by_zone.end(),
                        [&](const auto& zone) { return zone.second >= first_job->max_tasks_per_zone(); });
        if (is_zone_full)
            request.zone =
                *std::min_element(context_.settings().zones.begin(), context_.settings().zones.end(),
                                  [&](const std::string& a, const std::string& b) {
                                      return tasks_by_zone[a] < tasks_by_zone[b];
                                  });
    }
    if (first_job->spec.types && first_job->spec.types->size() == 1)
        request.type = first_job->spec.types->front();
    const Capacity capacity(shard_state_.machines);
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->spec.spot == first_job->spec.spot && now - job->waiting_since > kCapacityRequestDelay)
            request.cores += capacity.occupied_by(job->spec) * job->waiting_tasks();
    return request;
}

std::vector<std::string> ShardOwner::offer_idle_machines(const peer::CapacityRequest& request) {
    std::vector<std::string> names;
    if (!active_) return names;
    const Micros now = context_.runtime().listening_time();
    std::vector<Machine*> idle_machines;
    for (auto& [name, machine] : shard_state_.machines) {
        if (!is_usable(*machine) || !machine->tasks.empty() || !machine->exited_tasks.empty() ||
            !machine->unacknowledged_launches.empty())
            continue;
        if (!machine->launches_in_responses.empty() || machine->direct_call_in_flight ||
            machine->raising_token)
            continue;
        if (now - machine->idle_since < kMinIdleBeforeOffer) continue;
        if ((machine->spot && !request.allows_spot) || !request.largest_task.fits(machine->type->size))
            continue;
        if (!request.type.empty() && request.type != machine->type_name) continue;
        if (!request.zone.empty() && request.zone != machine->zone) continue;
        idle_machines.push_back(machine.get());
    }
    // Half of the idle machines stay here for jobs that arrive next.
    const std::size_t max_offered = (idle_machines.size() + 1) / 2;
    Milli offered_cores = 0;
    for (Machine* machine : idle_machines) {
        if (names.size() >= max_offered || offered_cores >= request.cores) break;
        machine->transferring = true;
        offered_cores += machine->type->size.cores;
        names.push_back(machine->name);
    }
    return names;
}

void ShardOwner::withdraw_offer(const std::vector<std::string>& machines) {
    for (const auto& name : machines)
        if (auto it = shard_state_.machines.find(name); it != shard_state_.machines.end())
            it->second->transferring = false;
    plan_due_ = true;
}

/// The job's record names the shard, so one change of the record transfers the job. Only jobs that never had
/// a task bound are transferred: attempts of the others may still be on this shard's machines.
void ShardOwner::transfer_jobs(const std::string& to, RemoteCapacity capacity) {
    const Micros now = context_.runtime().now();
    const Capacity own_capacity(shard_state_.machines);
    for (auto& [ref, job_pointer] : shard_state_.jobs) {
        Job& job = *job_pointer;
        auto& part = job.parts[0];
        if (job.stage != Stage::Queued || job.next_attempt != 1 || job.unbound_tasks != job.spec.tasks)
            continue;
        if (part.in_flight || part.reloading || part.mod_revision == 0) continue;
        if (!shard_state_.machines.empty() &&
            (!job.dependencies_done || now - job.waiting_since < kCapacityRequestDelay))
            continue;
        const Milli needed = own_capacity.occupied_by(job.spec) * job.spec.tasks;
        // A task that fills a machine does not fit on two machines that are half free.
        if (own_capacity.is_filled_by(job.spec) &&
            needed > capacity.idle_ordinary + (job.spec.spot ? capacity.idle_spot : 0))
            continue;
        if (needed > capacity.ordinary + (job.spec.spot ? capacity.spot : 0)) continue;
        const Milli from_spot = job.spec.spot ? std::min(needed, capacity.spot) : 0;
        capacity.spot -= from_spot;
        capacity.ordinary -= needed - from_spot;
        capacity.idle_spot -= from_spot;
        capacity.idle_ordinary -= needed - from_spot;
        if (!context_.store().has_write_budget(Priority::Normal)) return;
        Change change;
        change.conditions = record_conditions(job);
        change.conditions.push_back({keys::shard + shard_, mod_revision_});
        Json value = part_value(job, 0, false);
        value["dom"] = to;
        change.writes.push_back({part_key(job, 0), value});
        change.purpose = "rehome";
        part.in_flight = true;
        job.transferring = true;
        context_.store().commit(std::move(change),
                                [this, alive = alive_, ref = ref, to](const CommitResult& result) {
                                    if (!*alive) return;
                                    Job* found = shard_state_.job(ref);
                                    if (!found) return;
                                    found->parts[0].in_flight = false;
                                    // After an unknown outcome the change may still be carried out until the
                                    // record changes: no task is bound before.
                                    found->transferring = result.status == CommitStatus::Unknown;
                                    if (result.status == CommitStatus::Unavailable)
                                        return apply_cached_record(ref);
                                    if (result.status != CommitStatus::Ok) return reload_part(ref, 0);
                                    spdlog::info("job {}: transferred to {}", ref, to);
                                    drop_transferred_job(*found);
                                });
    }
}

Resources ShardOwner::transferable_quota(const std::string& team) const {
    Resources transferable = unused_quota(team);
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->spec.team == team && !is_long_unschedulable(*job, context_.runtime().now())) {
            transferable.cores -= job->spec.request.cores * job->waiting_tasks();
            transferable.gpus -= job->spec.request.gpus * job->waiting_tasks();
        }
    return {std::max<Milli>(transferable.cores, 0), std::max<Milli>(transferable.gpus, 0), 0};
}

Resources ShardOwner::unused_quota(const std::string& team) const {
    const Resources share = context_.available_quota(shard_, team);
    const Resources used = shard_state_.team_usage(team);
    // A resource without a limit is not divided among shards, so there is nothing to transfer.
    auto unused = [](Milli limit, Milli in_use) {
        return limit == kNoLimit ? 0 : std::max<Milli>(limit - in_use, 0);
    };
    return {unused(share.cores, used.cores), unused(share.gpus, used.gpus), 0};
}

std::optional<Resources> ShardOwner::smallest_quota_shortfall(const std::string& team) const {
    const Resources unused = unused_quota(team);
    std::optional<Resources> least_shortfall;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->spec.team != team || job->stage != Stage::Queued || !job->dependencies_done ||
            job->backing_off)
            continue;
        if (job->unbound_tasks == 0 || is_long_unschedulable(*job, context_.runtime().now())) continue;
        const Milli tasks_at_once = job->spec.kind == JobKind::Gang ? job->unbound_tasks : 1;
        const Resources shortfall{std::max<Milli>(job->spec.request.cores * tasks_at_once - unused.cores, 0),
                                  std::max<Milli>(job->spec.request.gpus * tasks_at_once - unused.gpus, 0),
                                  0};
        if (!least_shortfall || std::tie(shortfall.gpus, shortfall.cores) <
                                    std::tie(least_shortfall->gpus, least_shortfall->cores))
            least_shortfall = shortfall;
    }
    return least_shortfall;
}

Json ShardOwner::status() const {
    int waiting = 0, bound = 0;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->dependencies_done) waiting += job->unbound_tasks;
        bound += job->bound_tasks;
    }
    Json machines = Json::array();
    for (const auto& [name, machine] : shard_state_.machines)
        machines.push_back({{"name", name},
                            {"block", machine->block},
                            {"type", machine->type_name},
                            {"zone", machine->zone},
                            {"spot", machine->spot},
                            {"tasks", machine->tasks.size()},
                            {"in_doubt", machine->unacknowledged_launches.size()},
                            {"silent_ms", silent_for(*machine) / kMillisecond},
                            {"relayed", machine->relayed},
                            {"retired", machine->retired}});
    return {{"domain", shard_},
            {"token", mod_revision_},
            {"active", active_},
            {"jobs", shard_state_.jobs.size()},
            {"tasks_waiting", waiting},
            {"tasks_bound", bound},
            {"machines", machines},
            {"start", startup_.to_json()},
            {"cancellations", cancellations_.to_json(context_.runtime().now())},
            {"waiting", waiting_by_tier()}};
}

}  // namespace cottonway
