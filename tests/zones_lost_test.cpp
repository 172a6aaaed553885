// Zones that are cut off with their machines and controllers, and jobs with zone constraints.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "late_messages.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

enum class ZoneConstraint { Zone, OneZone, Spread };

/// Returns a job of four tasks of 2 cores, which fit into one zone of the settled simulator, with its two
/// machines of 8 cores.
JobSpec constrained_job(Simulator& simulator, int number, JobKind kind, ZoneConstraint constraint) {
    JobSpec job = simulator.make_job(number, kind, 4, 2);
    if (constraint == ZoneConstraint::Zone) job.zone = "a";
    job.one_zone = constraint == ZoneConstraint::OneZone;
    job.spread = constraint == ZoneConstraint::Spread;
    return job;
}

std::vector<std::string> machines_in(Simulator& simulator, const std::string& zone) {
    std::vector<std::string> names;
    for (const auto& machine : simulator.machine_names())
        if (simulator.worker(machine)->zone() == zone) names.push_back(machine);
    return names;
}

int running_in(Simulator& simulator, const std::string& ref, const std::string& zone) {
    int count = 0;
    for (const auto& machine : simulator.machines_running(ref))
        count += simulator.worker(machine) && simulator.worker(machine)->zone() == zone;
    return count;
}

/// Returns a settled simulator whose leader is in the zone, or is not. The leader owns all machines, or a
/// part of them where there are several shards. A leader in the wrong zone is crashed, so that another
/// controller takes over.
std::unique_ptr<Simulator> simulator_with_leader(const std::string& zone, bool is_leader_in_zone,
                                                 double cpu_share) {
    auto simulator = settled_simulator(61, 6, settings_without_idle_return(cpu_share));
    auto leads_in_zone = [&] {
        return simulator->settings.zones[static_cast<std::size_t>(simulator->leader_node()) % 2] == zone;
    };
    if (leads_in_zone() != is_leader_in_zone) {
        simulator->crash(simulator->leader_node(), 5 * kSecond);
        simulator->run(40 * kSecond);
    }
    EXPECT_EQ(leads_in_zone(), is_leader_in_zone);
    return simulator;
}

/// The zone is cut off for 55 s, which is longer than a worker's lease and a controller's lease. Jobs are
/// cancelled before the cut is noticed and after.
TEST(ZoneLoss, JobsSurviveAZoneThatIsCutOffWithItsControllers) {
    for (const std::string zone : {"a", "b"})
        for (const bool is_leader_in_zone : {false, true})
            for (const double cpu_share : {1.0, 0.001}) {
                auto simulator = simulator_with_leader(zone, is_leader_in_zone, cpu_share);
                const auto details = [&] {
                    return fmt::format("zone {}, leader in it: {}, cpu_share {}\n", zone, is_leader_in_zone,
                                       cpu_share) +
                           simulator->format_history(150);
                };
                JobSpec bound_job = simulator->make_job(1, JobKind::Array, 2, 2),
                        unconstrained_job = simulator->make_job(2, JobKind::Array, 4);
                JobSpec spread_service = simulator->make_job(5, JobKind::Service, 2);
                bound_job.zone = zone;
                spread_service.spread = true;
                simulator->submit(bound_job, 30 * kSecond);
                simulator->submit(unconstrained_job, 12 * kSecond);
                simulator->submit(spread_service, 0);
                for (int i : {3, 4}) simulator->submit(simulator->make_job(i, JobKind::Service, 2), 0);
                simulator->run(5 * kSecond);
                ASSERT_EQ(simulator->running_tasks("req-000001"), 2) << details();
                simulator->fail_zone(zone, false);
                simulator->run(kSecond);
                simulator->cancel("req-000003");
                simulator->run(9 * kSecond);
                simulator->cancel("req-000004");
                simulator->run(45 * kSecond);
                EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << "it can run in the other zone\n"
                                                                           << details();
                EXPECT_EQ(running_in(*simulator, "req-000005", zone), 0) << details();
                EXPECT_EQ(simulator->running_tasks("req-000005"), 1)
                    << "half of its replicas are in the other zone\n"
                    << details();
                for (int i : {3, 4}) {
                    EXPECT_EQ(simulator->reported_stage(simulator->make_job(i, JobKind::Service, 2).ref),
                              "cancelled")
                        << details();
                    EXPECT_EQ(simulator->running_tasks(simulator->make_job(i, JobKind::Service, 2).ref), 0)
                        << details();
                }
                simulator->restore_zone(zone);
                simulator->run(6 * kSecond);
                EXPECT_EQ(simulator->running_tasks("req-000005"), 2) << details();
                simulator->run(40 * kSecond);
                EXPECT_EQ(simulator->reported_stage("req-000001"), "done") << details();
                EXPECT_NO_VIOLATIONS(*simulator);
            }
}

/// A job with a zone constraint, and the number of its tasks that run while one of its zones is lost.
struct ZoneLossCase {
    JobKind kind;
    ZoneConstraint constraint;
    int running_meanwhile;  // tasks that run while zone a is lost, once its leases have expired
};
constexpr ZoneLossCase kCases[] = {
    {JobKind::Array, ZoneConstraint::Zone, 0},      {JobKind::Array, ZoneConstraint::OneZone, 4},
    {JobKind::Array, ZoneConstraint::Spread, 2},    {JobKind::Service, ZoneConstraint::Zone, 0},
    {JobKind::Service, ZoneConstraint::OneZone, 4}, {JobKind::Service, ZoneConstraint::Spread, 2},
    {JobKind::Gang, ZoneConstraint::Zone, 0},       {JobKind::Gang, ZoneConstraint::OneZone, 4},
    {JobKind::Gang, ZoneConstraint::Spread, 0},
};

/// The machines of a zone die or are cut off. The other zone has free capacity for the jobs, and the lost
/// zone has some again later. The owner of the shard crashes meanwhile.
TEST(ZoneLoss, JobsWithZoneConstraintsWaitOrMoveAndAllRun) {
    for (const ZoneLossCase& loss_case : kCases)
        for (const bool is_cut : {false, true}) {
            auto simulator = settled_simulator(62, 4, settings_without_idle_return());
            const auto details = [&] {
                return fmt::format("job kind {}, zone constraint {}, machines cut off: {}\n",
                                   static_cast<int>(loss_case.kind), static_cast<int>(loss_case.constraint),
                                   is_cut) +
                       simulator->format_history();
            };
            // A job in zone b makes jobs that may choose their zone start in zone a.
            simulator->submit(
                [&] {
                    JobSpec other = simulator->make_job(2, JobKind::Array, 2, 8);
                    other.zone = "b";
                    return other;
                }(),
                8 * kSecond);
            simulator->run(2 * kSecond);
            const JobSpec job = constrained_job(*simulator, 1, loss_case.kind, loss_case.constraint);
            const Micros run_time = loss_case.kind == JobKind::Service ? 0 : 60 * kSecond;
            simulator->submit(job, run_time);
            simulator->run(10 * kSecond);
            ASSERT_EQ(simulator->running_tasks(job.ref), 4) << details();
            const auto lost_machines = machines_in(*simulator, "a");
            for (const auto& machine : lost_machines) {
                if (is_cut)
                    cut_from_all_nodes(*simulator, machine);
                else
                    simulator->kill_machine(machine);
            }
            simulator->run(20 * kSecond);
            simulator->crash(simulator->owner_node(), 5 * kSecond);
            simulator->run(15 * kSecond);
            EXPECT_EQ(simulator->running_tasks(job.ref), loss_case.running_meanwhile) << details();
            if (is_cut)
                simulator->heal_all_links();
            else
                for (std::size_t i = 0; i < lost_machines.size(); ++i) simulator->add_machine("small", "a");
            simulator->run(10 * kSecond);
            EXPECT_EQ(simulator->running_tasks(job.ref), 4) << details();
            simulator->run(run_time + 5 * kSecond);
            EXPECT_EQ(simulator->reported_stage(job.ref),
                      loss_case.kind == JobKind::Service ? "accepted" : "done")
                << details();
            EXPECT_NO_VIOLATIONS(*simulator);
        }
}

/// The zone is full of jobs of the same rank, which end one by one, and then loses a machine; the other zone
/// is empty. Jobs that are bound to the zone wait for their turn, and all of them run.
TEST(ZoneLoss, JobBoundToAFullZoneWaitsForItsTurn) {
    for (const JobKind kind : {JobKind::Array, JobKind::Gang}) {
        auto simulator = settled_simulator(63, 4, settings_without_idle_return());
        for (int i = 0; i < 8; ++i) {
            JobSpec job = simulator->make_job(10 + i, JobKind::Array, 2, 2);
            job.zone = "a";
            simulator->submit(job, 10 * kSecond);
        }
        JobSpec job = constrained_job(*simulator, 1, kind, ZoneConstraint::Zone);
        simulator->submit(job, 4 * kSecond);
        simulator->run(5 * kSecond);
        simulator->kill_machine(machines_in(*simulator, "a").back());
        simulator->run(110 * kSecond);
        EXPECT_EQ(simulator->reported_stage(job.ref), "done") << simulator->format_history();
        for (int i = 0; i < 8; ++i)
            EXPECT_EQ(simulator->reported_stage(simulator->make_job(10 + i, JobKind::Array, 2).ref), "done")
                << simulator->format_history();
        EXPECT_NO_VIOLATIONS(*simulator);
    }
}

/// A job is refused if its zone offers no machine type that the job may use. If the zone offers one and has
/// no such machine at the moment, the job waits.
TEST(ZoneLoss, JobIsRefusedWithoutTheMachineTypeAndWaitsWithoutAMachine) {
    auto types = small_cluster_machine_types();
    types[1].zones = {"b"};
    Simulator simulator(64, small_cluster_settings(), types);
    for (const char* zone : {"a", "b"}) simulator.add_machine("small", zone);
    simulator.start_nodes();
    simulator.run(6 * kSecond);
    JobSpec impossible_job = simulator.make_job(1, JobKind::Array, 2),
            possible_job = simulator.make_job(2, JobKind::Array, 2);
    impossible_job.types = possible_job.types = {"large"};
    impossible_job.zone = "a";
    possible_job.zone = "b";
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(simulator.request(i, "POST", "/v1/jobs", wire::job_value(impossible_job)).status, 422);
    simulator.submit(possible_job, 2 * kSecond);
    simulator.run(30 * kSecond);
    EXPECT_EQ(simulator.reported_stage(possible_job.ref), "accepted");
    EXPECT_EQ(simulator.task_starts(possible_job.ref), 0);
    simulator.crash(simulator.owner_node(), 5 * kSecond);
    simulator.run(10 * kSecond);
    simulator.add_machine("large", "b");
    simulator.run(15 * kSecond);
    EXPECT_EQ(simulator.reported_stage(possible_job.ref), "done") << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

/// A zone has lost all of its machines, the cloud has none to rent there, and machines in the other zone have
/// replaced them. Once the cloud has capacity again, a job that is bound to the zone runs.
TEST(ZoneLoss, MachinesAreRentedAgainInTheZoneThatAJobIsBoundTo) {
    Simulator simulator(65);
    for (int i = 0; i < 6; ++i) simulator.add_machine("small", "b", true);
    simulator.start_nodes();
    simulator.run(10 * kSecond);
    const JobSpec job = constrained_job(simulator, 1, JobKind::Array, ZoneConstraint::Zone);
    simulator.submit(job, 2 * kSecond);
    simulator.run(20 * kSecond);
    EXPECT_EQ(simulator.task_starts(job.ref), 0);
    simulator.cloud().capacity = 50;
    simulator.run(90 * kSecond);
    EXPECT_EQ(simulator.reported_stage(job.ref), "done") << simulator.format_history();
    EXPECT_NO_VIOLATIONS(simulator);
}

}  // namespace
}  // namespace cottonway::test
