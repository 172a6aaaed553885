// The order of the queue, what is withheld from a team's limit for other jobs, and reservations for overdue
// jobs. The properties are checked over queues that RapidCheck generates.

#include "scheduling/queue_order.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "config/settings.hpp"

namespace cottonway::test {
namespace {

using namespace scheduling;
using policy::Tier;

constexpr Milli kCore = 1000;

QueuedJob queued_job(std::size_t index, Tier tier, Milli cores, Micros age, int tasks = 1) {
    QueuedJob job;
    job.index = index;
    job.team = "red";
    job.tier = tier;
    job.rank = tier == Tier::Live         ? PriorityClass::Production
               : tier == Tier::Urgent     ? PriorityClass::High
               : tier == Tier::BestEffort ? PriorityClass::Low
                                          : PriorityClass::Normal;
    job.age = age;
    job.remaining_work_by_age = static_cast<double>(cores);
    job.next_start_request = {cores * kCore, 0, 0};
    job.waiting_request = {cores * kCore * tasks, 0, 0};
    return job;
}

std::map<std::string, TeamUsage> team_red(Milli limit, std::map<Tier, Resources> used = {}) {
    return {{"red", {{limit * kCore, 0, 0}, std::move(used)}}};
}

/// Returns the cap in cores of the job's entry that is not overdue, or -1 if it has none.
Milli max_cores_of(const std::vector<QueueEntry>& order, std::size_t index) {
    for (const auto& entry : order)
        if (entry.index == index && !entry.overdue) return entry.max_team_cores / kCore;
    return -1;
}

TEST(QueueOrder, WithholdsTheFloorOfBatchFromUrgentJobs) {
    const auto teams = team_red(88, {{Tier::Live, {68 * kCore, 0, 0}}, {Tier::Urgent, {14 * kCore, 0, 0}}});
    const auto order =
        queue_order({queued_job(0, Tier::Urgent, 2, 0, 50), queued_job(1, Tier::Batch, 2, 0, 9)}, teams, {});
    EXPECT_EQ(order.front().index, 0u) << "rank decides the order";
    EXPECT_EQ(max_cores_of(order, 0), 84) << "a fifth of the 20 cores that live work leaves is withheld";
    EXPECT_EQ(max_cores_of(order, 1), 88);
}

TEST(QueueOrder, WithholdsNothingForATierThatDoesNotWaitOrUsesItsFloor) {
    const std::vector<QueuedJob> alone{queued_job(0, Tier::Urgent, 2, 0, 50)};
    EXPECT_EQ(max_cores_of(queue_order(alone, team_red(20), {}), 0), 20);
    const std::vector<QueuedJob> both{queued_job(0, Tier::Urgent, 2, 0, 50),
                                      queued_job(1, Tier::Batch, 2, 0, 9)};
    EXPECT_EQ(max_cores_of(queue_order(both, team_red(20, {{Tier::Batch, {4 * kCore, 0, 0}}}), {}), 0), 20);
}

TEST(QueueOrder, RaisesTheFloorToOneTaskThatFitsIntoHalfOfTheLimit) {
    const std::vector<QueuedJob> queue{queued_job(0, Tier::Urgent, 1, 0, 50),
                                       queued_job(1, Tier::Batch, 8, 0, 9)};
    EXPECT_EQ(max_cores_of(queue_order(queue, team_red(20), {}), 0), 12);
    const std::vector<QueuedJob> with_large{queued_job(0, Tier::Urgent, 1, 0, 50),
                                            queued_job(1, Tier::Batch, 16, 0, 9)};
    EXPECT_EQ(max_cores_of(queue_order(with_large, team_red(20), {}), 0), 20)
        << "a larger job waits until it is overdue";
}

TEST(QueueOrder, OverdueJobGoesBeforeOtherBatchAndOneStartOfItIsWithheld) {
    const auto teams = team_red(88, {{Tier::Live, {68 * kCore, 0, 0}}, {Tier::Urgent, {20 * kCore, 0, 0}}});
    auto large = queued_job(1, Tier::Batch, 16, 121 * kSecond, 3);
    const std::vector<QueuedJob> queue{queued_job(0, Tier::Urgent, 2, 0, 50), large,
                                       queued_job(2, Tier::Live, 2, 0)};
    const auto order = queue_order(queue, teams, {});
    ASSERT_EQ(order.size(), 4u);
    EXPECT_EQ(order[0].index, 2u) << "live work goes first";
    EXPECT_EQ(order[0].max_team_cores, 88 * kCore);
    EXPECT_TRUE(order[1].overdue);
    EXPECT_EQ(order[1].index, 1u);
    EXPECT_EQ(order[1].max_team_cores, 86 * kCore) << "2 cores are withheld for live work";
    EXPECT_EQ(max_cores_of(order, 0), 70) << "2 cores withheld for live work, 16 for the overdue job";
    large.has_started = true;
    EXPECT_EQ(queue_order({queue[0], large, queue[2]}, teams, {}).size(), 3u);
}

TEST(QueueOrder, WithholdsNothingForAJobThatLacksRoom) {
    auto large = queued_job(1, Tier::Batch, 8, 121 * kSecond);
    large.lacks_capacity = true;
    const auto order = queue_order({queued_job(0, Tier::Urgent, 2, 0, 50), large}, team_red(20), {});
    EXPECT_TRUE(order.front().overdue) << "the overdue job is still tried first";
    EXPECT_EQ(max_cores_of(order, 0), 20);
}

TEST(QueueOrder, WithholdsNothingForBestEffortUntilItIsOverdue) {
    std::vector<QueuedJob> queue{queued_job(0, Tier::Urgent, 2, 0, 50),
                                 queued_job(1, Tier::BestEffort, 4, 0)};
    EXPECT_EQ(max_cores_of(queue_order(queue, team_red(20), {}), 0), 20);
    queue[1].age = 121 * kSecond;
    EXPECT_EQ(max_cores_of(queue_order(queue, team_red(20), {}), 0), 16);
}

// ---------------------------------------------------------------- reservations

/// Two machines of 8 cores: one with a long task and one with two short ones, of 4 cores each.
ShardView two_machines() {
    ShardView view;
    auto add_running = [&view](std::size_t machine, Micros estimate, JobKind kind) {
        JobView job;
        job.spec.ref = "run-" + std::to_string(view.jobs.size());
        job.spec.kind = kind;
        job.spec.request = {4 * kCore, 0, 0};
        job.spec.estimated_duration = estimate;
        job.bound_tasks = 1;
        TaskView task;
        task.job = view.jobs.size();
        task.machine = machine;
        view.jobs.push_back(job);
        view.machines[machine].tasks.push_back(view.tasks.size());
        view.machines[machine].reserved += job.spec.request;
        view.tasks.push_back(task);
    };
    for (const char* name : {"m1", "m2"}) {
        MachineView machine;
        machine.name = name;
        machine.zone = "a";
        machine.usable = true;
        machine.size = {8 * kCore, 0, 0};
        view.machines.push_back(machine);
    }
    add_running(0, 300 * kSecond, JobKind::Array);
    add_running(1, 10 * kSecond, JobKind::Array);
    add_running(1, 20 * kSecond, JobKind::Array);
    return view;
}

JobView waiting_job(Milli cores, Micros waiting_time) {
    JobView job;
    job.spec.ref = "large";
    job.spec.request = {cores * kCore, 0, 0};
    job.spec.tasks = job.waiting_tasks = 1;
    job.waiting_time = waiting_time;
    return job;
}

TEST(OverdueJobReservations, GoToTheLargestOverdueJobWhereCapacityIsFreeSoonest) {
    ShardView view = two_machines();
    view.jobs.push_back(waiting_job(8, 119 * kSecond));
    EXPECT_TRUE(reservations_for_overdue_job(view, {}).empty()) << "the job is not overdue yet";
    view.jobs.back().waiting_time = 121 * kSecond;
    EXPECT_EQ(reservations_for_overdue_job(view, {}), (std::vector<Reservation>{{"large", "m2", 1}}));
    view.jobs.push_back(waiting_job(6, 200 * kSecond));
    view.jobs.back().spec.ref = "smaller";
    EXPECT_EQ(reservations_for_overdue_job(view, {}).front().job, "large");
    view.jobs[3].cancelled = true;
    EXPECT_EQ(reservations_for_overdue_job(view, {}).front().job, "smaller");
}

TEST(OverdueJobReservations, AreNotMadeForAJobThatFitsNowOrNever) {
    ShardView view = two_machines();
    view.jobs.push_back(waiting_job(4, 121 * kSecond));
    EXPECT_TRUE(reservations_for_overdue_job(view, {}).empty()) << "4 cores are free on m1";
    view.jobs.back() = waiting_job(9, 121 * kSecond);
    EXPECT_TRUE(reservations_for_overdue_job(view, {}).empty()) << "no machine is that large";
    view.jobs.back() = waiting_job(8, 121 * kSecond);
    view.machines[1].usable = false;
    view.jobs[0].spec.kind = JobKind::Service;
    EXPECT_TRUE(reservations_for_overdue_job(view, {}).empty()) << "a service on m1 does not end";
}

TEST(OverdueJobReservations, CoverAllTasksOfAGangOrNone) {
    ShardView view = two_machines();
    view.jobs.push_back(waiting_job(6, 121 * kSecond));
    view.jobs.back().spec.kind = JobKind::Gang;
    view.jobs.back().spec.tasks = view.jobs.back().waiting_tasks = 2;
    EXPECT_EQ(reservations_for_overdue_job(view, {}),
              (std::vector<Reservation>{{"large", "m1", 1}, {"large", "m2", 1}}));
    view.jobs.back().spec.tasks = view.jobs.back().waiting_tasks = 3;
    EXPECT_TRUE(reservations_for_overdue_job(view, {}).empty());
}

// ---------------------------------------------------------------- properties

std::vector<QueuedJob> random_queue() {
    std::vector<QueuedJob> queue;
    const int jobs = *rc::gen::inRange(0, 12);
    for (int i = 0; i < jobs; ++i) {
        const auto tier = *rc::gen::element(Tier::Live, Tier::Urgent, Tier::Batch, Tier::BestEffort);
        auto job = queued_job(static_cast<std::size_t>(i), tier, *rc::gen::inRange(1, 40),
                              *rc::gen::inRange(0, 300) * kSecond, *rc::gen::inRange(1, 9));
        job.team = *rc::gen::element<std::string>("red", "blue", "guest");
        job.has_started = *rc::gen::arbitrary<bool>();
        job.lacks_capacity = *rc::gen::inRange(0, 4) == 0;
        job.within_guarantee = *rc::gen::arbitrary<bool>();
        job.remaining_work_by_age = *rc::gen::inRange(0, 3);
        queue.push_back(job);
    }
    return queue;
}

std::map<std::string, TeamUsage> random_teams() {
    std::map<std::string, TeamUsage> teams;
    for (const char* team : {"red", "blue"}) {
        TeamUsage& usage = teams[team];
        usage.limit.cores = *rc::gen::inRange(0, 100) * kCore;
        for (const Tier tier : {Tier::Live, Tier::Urgent, Tier::Batch, Tier::BestEffort})
            usage.used_by_tier[tier].cores = *rc::gen::inRange(0, 30) * kCore;
    }
    teams["guest"].limit = {kNoLimit, kNoLimit, 0};
    return teams;
}

RC_GTEST_PROP(QueueOrderProperties, LiveJobsAreFirstAndCappedByTheLimitOnly, ()) {
    const auto queue = random_queue();
    const auto teams = random_teams();
    bool seen_batch = false;
    for (const auto& entry : queue_order(queue, teams, {})) {
        const QueuedJob& job = queue[entry.index];
        if (job.tier != Tier::Live) {
            seen_batch = true;
            continue;
        }
        RC_ASSERT(!seen_batch);
        RC_ASSERT(entry.max_team_cores == teams.at(job.team).limit.cores);
    }
}

RC_GTEST_PROP(QueueOrderProperties, EveryJobIsQueuedAndNoCapExceedsTheLimit, ()) {
    const auto queue = random_queue();
    const auto teams = random_teams();
    std::multiset<std::size_t> seen;
    for (const auto& entry : queue_order(queue, teams, {})) {
        RC_ASSERT(entry.max_team_cores <= teams.at(queue[entry.index].team).limit.cores);
        if (!entry.overdue) seen.insert(entry.index);
    }
    RC_ASSERT(seen.size() == queue.size());
    RC_ASSERT(std::set<std::size_t>(seen.begin(), seen.end()).size() == queue.size());
}

RC_GTEST_PROP(QueueOrderProperties, TheOrderDoesNotDependOnThatOfTheInput, ()) {
    const auto queue = random_queue();
    const auto teams = random_teams();
    const auto shuffled = *rc::gen::exec([&] {
        auto jobs = queue;
        for (std::size_t i = jobs.size(); i > 1; --i)
            std::swap(jobs[i - 1], jobs[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(i)))]);
        return jobs;
    });
    RC_ASSERT(queue_order(queue, teams, {}) == queue_order(shuffled, teams, {}));
}

RC_GTEST_PROP(QueueOrderProperties, TheOrderFollowsRankIfNoJobIsOverdue, ()) {
    auto queue = random_queue();
    for (auto& job : queue) job.age %= 120 * kSecond;
    PriorityClass last = PriorityClass::Production;
    for (const auto& entry : queue_order(queue, random_teams(), {})) {
        RC_ASSERT(queue[entry.index].rank >= last);
        last = queue[entry.index].rank;
    }
}

/// Simulates the queue of one team over time, in seconds. Machines have capacity for all that the team's
/// limit allows.
struct TeamSimulation {
    struct RunningTask {
        Tier tier;
        Milli cores;
        int ends_at;
    };
    struct WaitingJob {
        QueuedJob job;
        int since;
        int run_time;
    };
    Milli limit, live_cores;
    std::vector<RunningTask> running;
    std::vector<WaitingJob> queue;
    std::size_t next_index = 0;
    int now = 0;
    std::vector<std::pair<QueuedJob, int>> started;  // with the waiting time

    Milli used(Tier tier) const {
        Milli sum = 0;
        for (const auto& task : running) sum += task.tier == tier ? task.cores : 0;
        return sum;
    }
    /// Adds a job unless eight like it wait already. That is enough to keep the queue from running empty.
    void arrive(Tier tier, Milli cores, int run_time) {
        const auto same = std::count_if(queue.begin(), queue.end(), [&](const WaitingJob& waiting) {
            return waiting.job.tier == tier && waiting.job.next_start_request.cores == cores * kCore;
        });
        if (same >= 8) return;
        queue.push_back({queued_job(next_index++, tier, cores, 0), now, run_time});
    }
    void advance_one_second() {
        ++now;
        std::erase_if(running, [this](const RunningTask& task) { return task.ends_at <= now; });
        std::map<Tier, Resources> used_by_tier{{Tier::Live, {live_cores * kCore, 0, 0}}};
        for (const auto& task : running) used_by_tier[task.tier].cores += task.cores * kCore;
        std::vector<QueuedJob> queued;
        for (auto& waiting : queue) {
            waiting.job.age = (now - waiting.since) * kSecond;
            queued.push_back(waiting.job);
        }
        Milli used_cores = live_cores + used(Tier::Urgent) + used(Tier::Batch);
        for (const auto& entry : queue_order(queued, team_red(limit, used_by_tier), {})) {
            auto waiting = std::find_if(queue.begin(), queue.end(), [&](const WaitingJob& candidate) {
                return candidate.job.index == entry.index;
            });
            if (waiting == queue.end()) continue;  // started by its overdue entry
            const Milli cores = waiting->job.next_start_request.cores / kCore;
            if ((used_cores + cores) * kCore > entry.max_team_cores) continue;
            used_cores += cores;
            running.push_back({waiting->job.tier, cores, now + waiting->run_time});
            started.emplace_back(waiting->job, now - waiting->since);
            queue.erase(waiting);
        }
        RC_ASSERT(used_cores <= limit);
    }
};

RC_GTEST_PROP(QueueOrderOverTime, ContinuousUrgentWorkLeavesBatchItsFloor, ()) {
    const Milli left_by_live = *rc::gen::inRange<Milli>(10, 40);
    TeamSimulation simulation{60 + left_by_live, 60, {}, {}, 0, 0, {}};
    const int longest_run = 20;
    const Milli floor = left_by_live / 5;
    for (int t = 0; t < 80; ++t) {
        for (int i = 0; i < 5; ++i)
            simulation.arrive(Tier::Urgent, *rc::gen::inRange<Milli>(1, 4),
                              *rc::gen::inRange(1, longest_run + 1));
        simulation.arrive(Tier::Batch, 1, *rc::gen::inRange(1, longest_run + 1));
        simulation.arrive(Tier::Batch, 1, *rc::gen::inRange(1, longest_run + 1));
        simulation.advance_one_second();
        if (t > longest_run + 1 + left_by_live)
            RC_ASSERT(simulation.used(Tier::Batch) >= std::min<Milli>(floor, 2));
    }
    RC_ASSERT(simulation.used(Tier::Urgent) >= left_by_live / 2);
}

RC_GTEST_PROP(QueueOrderOverTime, LargeBatchJobStartsSoonAfterItIsOverdue, ()) {
    const Milli left_by_live = *rc::gen::inRange<Milli>(10, 30);
    TeamSimulation simulation{60 + left_by_live, 60, {}, {}, 0, 0, {}};
    const int longest_run = *rc::gen::inRange(5, 30);
    for (int t = 0; t < 320; ++t) {
        for (int i = 0; i < 4; ++i) simulation.arrive(Tier::Urgent, 1 + t % 3, 1 + (t * 7 + i) % longest_run);
        if (t % 3 == 0) simulation.arrive(Tier::Batch, 1, 1 + t % longest_run);
        if (t % 90 == 0)
            simulation.arrive(Tier::Batch, *rc::gen::inRange<Milli>(left_by_live / 2 + 1, left_by_live + 1),
                              longest_run);
        simulation.advance_one_second();
    }
    int large_jobs = 0;
    for (const auto& [job, waiting_time] : simulation.started) {
        if (job.next_start_request.cores / kCore <= left_by_live / 2) continue;
        ++large_jobs;
        RC_ASSERT(waiting_time <= 120 + 2 * longest_run + 1);
    }
    RC_ASSERT(large_jobs >= 2);
}

}  // namespace
}  // namespace cottonway::test
