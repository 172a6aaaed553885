// What an owner tells other controllers, and gives them: load, idle machines, waiting jobs, shares.

#include <algorithm>
#include <tuple>
#include <utility>

#include "logging/log.hpp"
#include "scheduling/machine_occupancy.hpp"
#include "shard/shard_owner.hpp"

namespace cottonway {

namespace {

constexpr Micros kWantAfter = 150 * kMillisecond;  // waiting for room before others are asked
constexpr Micros kIdleOffer = 500 * kMillisecond;  // idle before it is given to another shard
constexpr Micros kKeepsShare = 20 * kSecond;       // of a team's limit, by what finds no room
constexpr Micros kGangKeepsShare = 60 * kSecond;   // room for all of it may have to be gathered
constexpr Micros kTriesAgain = 10 * kSecond;       // to find room, which it had none of then

/// Whether it has found no room for long. Then it keeps no part of its team's limit: where there is room
/// others may use that meanwhile. It still looks for room, and asks for its part once there is some.
bool lacks_room(const Job& job, Micros now) {
    const Micros patience = job.spec.kind == JobKind::Gang ? kGangKeepsShare : kKeepsShare;
    return job.no_room_at > 0 && now - job.waiting_since >= patience && now - job.no_room_at <= kTriesAgain;
}

/// What the machines of a shard have in all, and their types.
struct Capacity {
    Resources total;
    std::set<const MachineType*> types;

    explicit Capacity(const std::map<std::string, std::unique_ptr<Machine>>& machines) {
        for (const auto& [name, m] : machines) {
            if (!m->type || m->retired) continue;
            total += m->type->size;
            types.insert(m->type);
        }
    }
    /// Cores that a task occupies, its part of the shard's GPUs included.
    Milli occupied_by(const JobSpec& spec) const { return scheduling::gpu_bound_cores(spec.request, total); }
    /// Whether a task leaves no room for a second one on any type of machine here.
    bool filled_by(const JobSpec& spec) const {
        return std::none_of(types.begin(), types.end(), [&spec](const MachineType* type) {
            return (spec.request + spec.request).fits(type->size);
        });
    }
};

}  // namespace

peer::ShardLoad ShardOwner::load() const {
    const Capacity capacity(shard_state_.machines);
    peer::ShardLoad d;
    d.shard = shard_;
    d.mod_revision = mod_revision_;
    d.jobs = static_cast<std::uint32_t>(shard_state_.jobs.size());
    for (const auto& [name, m] : shard_state_.machines) {
        if (!m->type || m->retired) continue;
        ++d.machines;
        d.capacity += m->type->size.cores;
        if (!m->spot) d.ordinary += m->type->size.cores;
        if (!usable(*m)) continue;
        // Idle work gives way to everything else.
        (m->spot ? d.free_spot : d.free_ordinary) +=
            scheduling::available_cores(m->type->size - m->reserved, m->type->size) + m->idle_work;
        if (m->tasks.empty()) (m->spot ? d.idle_spot : d.idle_ordinary) += m->type->size.cores;
    }
    std::map<std::string, Resources> waiting;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->rank == PriorityClass::Production && job->open)
            d.production += job->spec.request.cores * (job->idle + job->bound);
        if (job->waiting() == 0) continue;
        d.waiting += capacity.occupied_by(job->spec) * job->idle;
        if (lacks_room(*job, context_.runtime().now())) continue;
        auto& w = waiting[job->spec.team];
        w.cores += job->spec.request.cores * job->idle;
        w.gpus += job->spec.request.gpus * job->idle;
    }
    for (const auto& team : context_.settings().teams) {
        d.teams.push_back(
            {team.name, context_.share(shard_, team.name), shard_state_.used(team.name), waiting[team.name]});
    }
    return d;
}

std::optional<peer::CapacityRequest> ShardOwner::want() const {
    if (!active_) return std::nullopt;
    const Micros now = context_.runtime().now();
    // The job that has waited longest for room speaks for those that need the same; live work before any
    // other, which would have it stand behind a queue that may be long.
    auto turn = [this](const Job& job) { return std::pair(tier(job) != policy::Tier::Live, job.serial); };
    const Job* first = nullptr;
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->waiting() > 0 && now - job->waiting_since > kWantAfter &&
            (scheduler_.quota_allows(*job, 1) || lacks_room(*job, now)) &&
            (!first || turn(*job) < turn(*first)))
            first = job.get();
    if (!first) return std::nullopt;
    peer::CapacityRequest w;
    w.shard = shard_;
    w.mod_revision = mod_revision_;
    w.largest_task = first->spec.request;
    w.allows_spot = first->spec.spot;
    if (first->spec.zone) w.zone = *first->spec.zone;
    // Where the zones that it is in take no more, machines in another are what it needs.
    if (first->spec.spread && w.zone.empty()) {
        auto used = first->zones();
        const bool full = std::any_of(used.begin(), used.end(),
                                      [&](const auto& z) { return z.second >= first->zone_cap(); });
        if (full)
            w.zone = *std::min_element(
                context_.settings().zones.begin(), context_.settings().zones.end(),
                [&](const std::string& a, const std::string& b) { return used[a] < used[b]; });
    }
    if (first->spec.types && first->spec.types->size() == 1) w.type = first->spec.types->front();
    const Capacity capacity(shard_state_.machines);
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->spec.spot == first->spec.spot && now - job->waiting_since > kWantAfter)
            w.cores += capacity.occupied_by(job->spec) * job->waiting();
    return w;
}

std::vector<std::string> ShardOwner::offer_idle_machines(const peer::CapacityRequest& want) {
    std::vector<std::string> names;
    if (!active_) return names;
    const Micros now = context_.runtime().listening_time();
    std::vector<Machine*> idle;
    for (auto& [name, m] : shard_state_.machines) {
        if (!usable(*m) || !m->tasks.empty() || !m->exited.empty() || !m->unacknowledged_launches.empty())
            continue;
        if (!m->launches_in_responses.empty() || m->direct_in_flight || m->raising) continue;
        if (now - m->idle_since < kIdleOffer) continue;
        if ((m->spot && !want.allows_spot) || !want.largest_task.fits(m->type->size)) continue;
        if (!want.type.empty() && want.type != m->type_name) continue;
        if (!want.zone.empty() && want.zone != m->zone) continue;
        idle.push_back(m.get());
    }
    // Half of what is idle stays, for what may come here next.
    const std::size_t most = (idle.size() + 1) / 2;
    Milli given = 0;
    for (Machine* m : idle) {
        if (names.size() >= most || given >= want.cores) break;
        m->leaving = true;
        given += m->type->size.cores;
        names.push_back(m->name);
    }
    return names;
}

void ShardOwner::withdraw_offer(const std::vector<std::string>& machines) {
    for (const auto& name : machines)
        if (auto it = shard_state_.machines.find(name); it != shard_state_.machines.end())
            it->second->leaving = false;
    plan_due_ = true;
}

/// The record names the owner, so one change of it is all there is to it. Only jobs of which no attempt was
/// ever bound: of the others something may still be on machines of ours.
void ShardOwner::transfer_jobs(const std::string& to, RoomElsewhere room) {
    const Micros now = context_.runtime().now();
    const Capacity capacity(shard_state_.machines);
    for (auto& [ref, owned] : shard_state_.jobs) {
        Job& job = *owned;
        auto& part = job.parts[0];
        if (job.stage != Stage::Queued || job.next_attempt != 1 || job.idle != job.spec.tasks) continue;
        if (part.in_flight || part.reloading || part.mod_revision == 0) continue;
        if (!shard_state_.machines.empty() && (!job.open || now - job.waiting_since < kWantAfter)) continue;
        const Milli need = capacity.occupied_by(job.spec) * job.spec.tasks;
        // What fills a machine finds no room on two that are half free.
        if (capacity.filled_by(job.spec) && need > room.idle_ordinary + (job.spec.spot ? room.idle_spot : 0))
            continue;
        if (need > room.ordinary + (job.spec.spot ? room.spot : 0)) continue;
        const Milli from_spot = job.spec.spot ? std::min(need, room.spot) : 0;
        room.spot -= from_spot;
        room.ordinary -= need - from_spot;
        room.idle_spot -= from_spot;
        room.idle_ordinary -= need - from_spot;
        if (!context_.store().has_write_budget(Priority::Normal)) return;
        Change change;
        change.conditions = as_known(job);
        change.conditions.push_back({keys::shard + shard_, mod_revision_});
        Json value = part_value(job, 0, false);
        value["dom"] = to;
        change.writes.push_back({key_of(job, 0), value});
        change.purpose = "rehome";
        part.in_flight = true;
        job.leaving = true;
        context_.store().commit(std::move(change),
                                [this, alive = alive_, ref = ref, to](const CommitResult& r) {
                                    if (!*alive) return;
                                    Job* found = shard_state_.job(ref);
                                    if (!found) return;
                                    found->parts[0].in_flight = false;
                                    // Without an answer it may be carried out until the record is another:
                                    // nothing is bound before.
                                    found->leaving = r.status == CommitStatus::Unknown;
                                    if (r.status == CommitStatus::Unavailable) return take_heard(ref);
                                    if (r.status != CommitStatus::Ok) return reload(ref, 0);
                                    spdlog::info("job {}: given to {}", ref, to);
                                    given_away(*found);
                                });
    }
}

Resources ShardOwner::spare_quota(const std::string& team) const {
    Resources spare = unused_quota(team);
    for (const auto& [ref, job] : shard_state_.jobs)
        if (job->spec.team == team && !lacks_room(*job, context_.runtime().now())) {
            spare.cores -= job->spec.request.cores * job->waiting();
            spare.gpus -= job->spec.request.gpus * job->waiting();
        }
    return {std::max<Milli>(spare.cores, 0), std::max<Milli>(spare.gpus, 0), 0};
}

Resources ShardOwner::unused_quota(const std::string& team) const {
    const Resources share = context_.share(shard_, team);
    const Resources used = shard_state_.used(team);
    // What has no limit is not shared out, so there is nothing of it to give.
    auto part = [](Milli of, Milli in_use) { return of == kNoLimit ? 0 : std::max<Milli>(of - in_use, 0); };
    return {part(share.cores, used.cores), part(share.gpus, used.gpus), 0};
}

std::optional<Resources> ShardOwner::short_by(const std::string& team) const {
    const Resources unused = unused_quota(team);
    std::optional<Resources> least;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->spec.team != team || job->stage != Stage::Queued || !job->open || job->backing_off) continue;
        if (job->idle == 0 || lacks_room(*job, context_.runtime().now())) continue;
        const Milli at_once = job->spec.kind == JobKind::Gang ? job->idle : 1;
        const Resources lacks{std::max<Milli>(job->spec.request.cores * at_once - unused.cores, 0),
                              std::max<Milli>(job->spec.request.gpus * at_once - unused.gpus, 0), 0};
        if (!least || std::tie(lacks.gpus, lacks.cores) < std::tie(least->gpus, least->cores)) least = lacks;
    }
    return least;
}

Json ShardOwner::status() const {
    int waiting = 0, running = 0;
    for (const auto& [ref, job] : shard_state_.jobs) {
        if (job->open) waiting += job->idle;
        running += job->bound;
    }
    Json machines = Json::array();
    for (const auto& [name, m] : shard_state_.machines)
        machines.push_back({{"name", name},
                            {"block", m->block},
                            {"type", m->type_name},
                            {"zone", m->zone},
                            {"spot", m->spot},
                            {"tasks", m->tasks.size()},
                            {"in_doubt", m->unacknowledged_launches.size()},
                            {"silent_ms", silent_for(*m) / kMillisecond},
                            {"relayed", m->relayed},
                            {"retired", m->retired}});
    return {{"domain", shard_},
            {"token", mod_revision_},
            {"active", active_},
            {"jobs", shard_state_.jobs.size()},
            {"tasks_waiting", waiting},
            {"tasks_bound", running},
            {"machines", machines},
            {"start", startup_.value()},
            {"cancellations", cancellations_.value(context_.runtime().now())},
            {"waiting", waiting_by_tier()}};
}

}  // namespace cottonway
