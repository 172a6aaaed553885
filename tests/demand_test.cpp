// Tests of the demand estimate for unfinished jobs (allocation/demand.hpp).

#include "allocation/demand.hpp"

#include <gtest/gtest.h>

#include "scheduling/machine_occupancy.hpp"

namespace cottonway::test {

using allocation::Demand;
using allocation::DemandEstimator;

namespace {

constexpr Milli kCore = 1000;
const Resources kGpuMachine{16 * kCore, 2 * kCore, 128 * kCore};

std::deque<MachineType> gpu_types() {
    return {{"gpu", kGpuMachine, 0, 1.0, 6.0, 3.0, 45 * kSecond, {"a", "b"}}};
}

LiveJob live_job(const std::string& team, Resources request, int tasks, bool spot = false) {
    LiveJob job;
    job.team = team;
    job.request = request;
    job.tasks = tasks;
    job.spot = spot;
    return job;
}

Team team_without_limit(const std::string& name) {
    return {name, {}, {kNoLimit, kNoLimit, 0}};
}

Demand demand_of(const std::vector<Team>& teams, const std::vector<LiveJob>& jobs) {
    const auto types = gpu_types();
    DemandEstimator estimator(teams, types);
    for (const LiveJob& job : jobs) estimator.add(job);
    return estimator.total();
}

TEST(OccupiedCores, AreTheLargestShareOfAMachineInAnyResource) {
    EXPECT_EQ(scheduling::occupied_cores({14 * kCore, 2 * kCore, 100 * kCore}, kGpuMachine), 16 * kCore);
    EXPECT_EQ(scheduling::occupied_cores({5 * kCore, 1 * kCore, 38 * kCore}, kGpuMachine), 8 * kCore);
    EXPECT_EQ(scheduling::occupied_cores({1 * kCore, 0, 64 * kCore}, kGpuMachine), 8 * kCore);
    EXPECT_EQ(scheduling::occupied_cores({3 * kCore, 0, 2 * kCore}, kGpuMachine), 3 * kCore);
}

TEST(OccupiedCores, IgnoreAResourceThatTheTypeDoesNotHave) {
    EXPECT_EQ(scheduling::occupied_cores({2 * kCore, 1 * kCore, 0}, {4 * kCore, 0, 0}), 2 * kCore);
}

TEST(AvailableCores, AreZeroOnceAllGpusAreTaken) {
    EXPECT_EQ(scheduling::available_cores({6 * kCore, 0, 52 * kCore}, kGpuMachine), 0);
    EXPECT_EQ(scheduling::available_cores({11 * kCore, 1 * kCore, 90 * kCore}, kGpuMachine), 8 * kCore);
    EXPECT_EQ(scheduling::available_cores({6 * kCore, 0, 0}, {16 * kCore, 0, 0}), 6 * kCore);
}

TEST(Demand, CountsATeamWithoutGuaranteeAndLimitByItsGpus) {
    const Demand demand = demand_of({team_without_limit("captions")},
                                    {live_job("captions", {5 * kCore, kCore, 38 * kCore}, 10),
                                     live_job("captions", {14 * kCore, 2 * kCore, 100 * kCore}, 3)});
    EXPECT_EQ(demand.ordinary, (80 + 48) * kCore);
    EXPECT_EQ(demand.unlimited_ordinary, demand.ordinary);
    EXPECT_EQ(demand.limit, 0);
}

TEST(Demand, CountsWaitingSpotEligibleTasksHalfExceptInTheUnlimitedPart) {
    LiveJob job = live_job("captions", {6 * kCore, kCore, 48 * kCore}, 10, true);
    job.running = 4;
    const Demand demand = demand_of({team_without_limit("captions")}, {job});
    EXPECT_EQ(demand.ordinary, 0);
    EXPECT_EQ(demand.spot_eligible, (4 * 8 + 6 * 8 / 2) * kCore);
    EXPECT_EQ(demand.unlimited_spot_eligible, 80 * kCore);
}

TEST(Demand, IsZeroForBestEffortWorkOfATeamWithoutAGuarantee) {
    LiveJob job = live_job("guests", {4 * kCore, 0, 0}, 100, true);
    for (const PriorityClass rank : {PriorityClass::Production, PriorityClass::High, PriorityClass::Normal}) {
        job.priority = rank;
        EXPECT_GT(demand_of({team_without_limit("guests")}, {job}).spot_eligible, 0);
    }
    job.priority = PriorityClass::Low;
    EXPECT_EQ(demand_of({team_without_limit("guests")}, {job}).spot_eligible, 0);
    EXPECT_EQ(demand_of({team_without_limit("guests")}, {job}).unlimited_spot_eligible, 0);
    const Team guaranteed{"guests", {4 * kCore, 0, 0}, {kNoLimit, kNoLimit, 0}};
    EXPECT_GT(demand_of({guaranteed}, {job}).spot_eligible, 0);
}

TEST(Demand, StaysWithinATeamsLimitOfCoresAndOfGpus) {
    const Team core_limited_team{"red", {8 * kCore, 0, 0}, {20 * kCore, kNoLimit, 0}};
    const Demand core_demand = demand_of({core_limited_team}, {live_job("red", {4 * kCore, 0, 0}, 4),
                                                               live_job("red", {4 * kCore, 0, 0}, 9, true)});
    EXPECT_EQ(core_demand.ordinary, 16 * kCore);
    EXPECT_EQ(core_demand.spot_eligible, 4 * kCore);
    EXPECT_EQ(core_demand.limit, 20 * kCore);
    const Team gpu_limited_team{"red", {8 * kCore, 0, 0}, {kNoLimit, 4 * kCore, 0}};
    EXPECT_EQ(demand_of({gpu_limited_team}, {live_job("red", {kCore, kCore, 0}, 8)}).ordinary, 32 * kCore);
}

TEST(Demand, IgnoresJobsThatAreCancelledWaitForOthersOrFitNoType) {
    LiveJob cancelled = live_job("captions", {kCore, 0, 0}, 1), waiting = cancelled, too_large = cancelled,
            wrong_type = cancelled;
    cancelled.cancelled = true;
    waiting.dependencies_met = false;
    too_large.request.cores = 17 * kCore;
    wrong_type.allowed_types = {"other"};
    EXPECT_EQ(
        demand_of({team_without_limit("captions")}, {cancelled, waiting, too_large, wrong_type}).ordinary, 0);
}

TEST(Demand, CountsOneTaskOfAJobInCrashLoopBackoff) {
    LiveJob job = live_job("captions", {kCore, 0, 0}, 50);
    job.backing_off = true;
    EXPECT_EQ(demand_of({team_without_limit("captions")}, {job}).ordinary, kCore);
}

TEST(DecayingPeak, HalvesEveryHalfLifeUnlessALargerValueIsSeen) {
    allocation::DecayingPeak peak;
    peak.update(1000, 0, 10 * kSecond);
    peak.update(0, 10e6, 10 * kSecond);
    EXPECT_DOUBLE_EQ(peak.value(), 500);
    peak.update(800, 10e6, 10 * kSecond);
    EXPECT_DOUBLE_EQ(peak.value(), 800);
}

}  // namespace
}  // namespace cottonway::test
