// Zones that are cut off with machines and controllers, and jobs that are bound to one zone.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "late_messages.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

enum class Binds { Zone, OneZone, Spread };

/// Four tasks of 2 cores, so that a zone of the calm world, of two machines with 8 cores each, holds them
/// all.
JobSpec bound_job(Simulator& w, int number, JobKind kind, Binds binds) {
    JobSpec job = w.make_job(number, kind, 4, 2);
    if (binds == Binds::Zone) job.zone = "a";
    job.one_zone = binds == Binds::OneZone;
    job.spread = binds == Binds::Spread;
    return job;
}

std::vector<std::string> machines_in(Simulator& w, const std::string& zone) {
    std::vector<std::string> names;
    for (const auto& m : w.machine_names())
        if (w.worker(m)->zone() == zone) names.push_back(m);
    return names;
}

int running_in(Simulator& w, const std::string& ref, const std::string& zone) {
    int n = 0;
    for (const auto& m : w.machines_running(ref)) n += w.worker(m) && w.worker(m)->zone() == zone;
    return n;
}

/// The leader holds all machines, or part of them where there are several shards. Where it is in the wrong
/// zone for the test, another one takes its place.
std::unique_ptr<Simulator> with(const std::string& zone, bool leads, double cpu_share) {
    auto w = settled_simulator(61, 6, patient(cpu_share));
    auto in_zone = [&] { return w->settings.zones[static_cast<std::size_t>(w->leader_node()) % 2] == zone; };
    if (in_zone() != leads) {
        w->crash(w->leader_node(), 5 * kSecond);
        w->run(40 * kSecond);
    }
    EXPECT_EQ(in_zone(), leads);
    return w;
}

/// For 55 s, which is more than a lease and an authority, with cancellations before the cut is noticed and
/// after.
TEST(ZonesLost, AZoneWithItsControllersIsCutOffAndComesBack) {
    for (const std::string zone : {"a", "b"})
        for (const bool leads : {false, true})
            for (const double share : {1.0, 0.001}) {
                auto w = with(zone, leads, share);
                const auto story = [&] {
                    return fmt::format("{} leads {} share {}\n", zone, leads, share) + w->format_history(150);
                };
                JobSpec inside = w->make_job(1, JobKind::Array, 2, 2),
                        free = w->make_job(2, JobKind::Array, 4);
                JobSpec spread = w->make_job(5, JobKind::Service, 2);
                inside.zone = zone;
                spread.spread = true;
                w->submit(inside, 30 * kSecond);
                w->submit(free, 12 * kSecond);
                w->submit(spread, 0);
                for (int i : {3, 4}) w->submit(w->make_job(i, JobKind::Service, 2), 0);
                w->run(5 * kSecond);
                ASSERT_EQ(w->running_tasks("req-000001"), 2) << story();
                w->fail_zone(zone, false);
                w->run(kSecond);
                w->cancel("req-000003");
                w->run(9 * kSecond);
                w->cancel("req-000004");
                w->run(45 * kSecond);
                EXPECT_EQ(w->reported_stage("req-000002"), "done") << "elsewhere\n" << story();
                EXPECT_EQ(running_in(*w, "req-000005", zone), 0) << story();
                EXPECT_EQ(w->running_tasks("req-000005"), 1) << "half, as it asks\n" << story();
                for (int i : {3, 4}) {
                    EXPECT_EQ(w->reported_stage(w->make_job(i, JobKind::Service, 2).ref), "cancelled")
                        << story();
                    EXPECT_EQ(w->running_tasks(w->make_job(i, JobKind::Service, 2).ref), 0) << story();
                }
                w->restore_zone(zone);
                w->run(6 * kSecond);
                EXPECT_EQ(w->running_tasks("req-000005"), 2) << story();
                w->run(40 * kSecond);
                EXPECT_EQ(w->reported_stage("req-000001"), "done") << story();
                EXPECT_NO_VIOLATIONS(*w);
            }
}

/// What is to be seen of a job while one of its zones is gone, and afterwards.
struct Row {
    JobKind kind;
    Binds binds;
    int meanwhile;  // tasks that run while zone a is gone, once its leases are over
};
constexpr Row kRows[] = {
    {JobKind::Array, Binds::Zone, 0},      {JobKind::Array, Binds::OneZone, 4},
    {JobKind::Array, Binds::Spread, 2},    {JobKind::Service, Binds::Zone, 0},
    {JobKind::Service, Binds::OneZone, 4}, {JobKind::Service, Binds::Spread, 2},
    {JobKind::Gang, Binds::Zone, 0},       {JobKind::Gang, Binds::OneZone, 4},
    {JobKind::Gang, Binds::Spread, 0},
};

/// Its machines end, or are cut off; there is room in the other zone, and later in this one again. The holder
/// ends meanwhile.
TEST(ZonesLost, BoundJobsWaitOrMoveAsTheySayAndAllRun) {
    for (const Row& row : kRows)
        for (const bool cut : {false, true}) {
            auto w = settled_simulator(62, 4, patient());
            const auto story = [&] {
                return fmt::format("kind {} binds {} cut {}\n", static_cast<int>(row.kind),
                                   static_cast<int>(row.binds), cut) +
                       w->format_history();
            };
            // Something in zone b, so that what may choose begins in a.
            w->submit(
                [&] {
                    JobSpec other = w->make_job(2, JobKind::Array, 2, 8);
                    other.zone = "b";
                    return other;
                }(),
                8 * kSecond);
            w->run(2 * kSecond);
            const JobSpec job = bound_job(*w, 1, row.kind, row.binds);
            const Micros run = row.kind == JobKind::Service ? 0 : 60 * kSecond;
            w->submit(job, run);
            w->run(10 * kSecond);
            ASSERT_EQ(w->running_tasks(job.ref), 4) << story();
            const auto lost = machines_in(*w, "a");
            for (const auto& m : lost) {
                if (cut)
                    cut_from_all(*w, m);
                else
                    w->kill_machine(m);
            }
            w->run(20 * kSecond);
            w->crash(w->owner_node(), 5 * kSecond);
            w->run(15 * kSecond);
            EXPECT_EQ(w->running_tasks(job.ref), row.meanwhile) << story();
            if (cut)
                w->heal_all_links();
            else
                for (std::size_t i = 0; i < lost.size(); ++i) w->add_machine("small", "a");
            w->run(10 * kSecond);
            EXPECT_EQ(w->running_tasks(job.ref), 4) << story();
            w->run(run + 5 * kSecond);
            EXPECT_EQ(w->reported_stage(job.ref), row.kind == JobKind::Service ? "accepted" : "done")
                << story();
            EXPECT_NO_VIOLATIONS(*w);
        }
}

/// The zone is full of work of the same rank that ends one by one, and loses a machine on top; the other zone
/// is empty. What is bound to the zone waits its turn, and none of it is forgotten.
TEST(ZonesLost, WhatIsBoundToAFullZoneWaitsForRoomThere) {
    for (const JobKind kind : {JobKind::Array, JobKind::Gang}) {
        auto w = settled_simulator(63, 4, patient());
        for (int i = 0; i < 8; ++i) {
            JobSpec job = w->make_job(10 + i, JobKind::Array, 2, 2);
            job.zone = "a";
            w->submit(job, 10 * kSecond);
        }
        JobSpec job = bound_job(*w, 1, kind, Binds::Zone);
        w->submit(job, 4 * kSecond);
        w->run(5 * kSecond);
        w->kill_machine(machines_in(*w, "a").back());
        w->run(110 * kSecond);
        EXPECT_EQ(w->reported_stage(job.ref), "done") << w->format_history();
        for (int i = 0; i < 8; ++i)
            EXPECT_EQ(w->reported_stage(w->make_job(10 + i, JobKind::Array, 2).ref), "done")
                << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

/// A zone that offers no type which the job may use can never run it; one that offers it and has no such
/// machine just now is waited for.
TEST(ZonesLost, AZoneWithoutTheTypeIsRefusedAndOneWithoutTheMachineIsWaitedFor) {
    auto types = small_cluster_machine_types();
    types[1].zones = {"b"};
    Simulator w(64, small_cluster_settings(), types);
    for (const char* zone : {"a", "b"}) w.add_machine("small", zone);
    w.start_nodes();
    w.run(6 * kSecond);
    JobSpec never = w.make_job(1, JobKind::Array, 2), later = w.make_job(2, JobKind::Array, 2);
    never.types = later.types = {"large"};
    never.zone = "a";
    later.zone = "b";
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(w.request(i, "POST", "/v1/jobs", wire::job_value(never)).status, 422);
    w.submit(later, 2 * kSecond);
    w.run(30 * kSecond);
    EXPECT_EQ(w.reported_stage(later.ref), "accepted");
    EXPECT_EQ(w.task_starts(later.ref), 0);
    w.crash(w.owner_node(), 5 * kSecond);
    w.run(10 * kSecond);
    w.add_machine("large", "b");
    w.run(15 * kSecond);
    EXPECT_EQ(w.reported_stage(later.ref), "done") << w.format_history();
    EXPECT_NO_VIOLATIONS(w);
}

/// All machines of a zone are lost while the cloud has none to give there, and others take their place
/// elsewhere. Once it has some again, what is bound to that zone runs.
TEST(ZonesLost, AZoneIsRentedInAgainForWhatIsBoundToIt) {
    Simulator w(65);
    for (int i = 0; i < 6; ++i) w.add_machine("small", "b", true);
    w.start_nodes();
    w.run(10 * kSecond);
    const JobSpec job = bound_job(w, 1, JobKind::Array, Binds::Zone);
    w.submit(job, 2 * kSecond);
    w.run(20 * kSecond);
    EXPECT_EQ(w.task_starts(job.ref), 0);
    w.cloud().capacity = 50;
    w.run(90 * kSecond);
    EXPECT_EQ(w.reported_stage(job.ref), "done") << w.format_history();
    EXPECT_NO_VIOLATIONS(w);
}

}  // namespace
}  // namespace cottonway::test
