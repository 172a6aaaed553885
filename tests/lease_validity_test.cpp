// The controller lease: what a controller that cannot read the state service may still do, and for how long.
// Every task of a cancelled job must have ended by `cancel_deadline` after the cancellation was confirmed to
// the user, whichever controllers are refused, cut off or down meanwhile. docs/design.md, "Gone in time", has
// the proof.

#include "config/lease_validity.hpp"

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

/// Returns a settled simulator with three controllers and machines of zone a only.
std::unique_ptr<Simulator> settled_single_zone_simulator(std::uint64_t seed, int machine_count) {
    auto simulator = std::make_unique<Simulator>(seed);
    for (int i = 0; i < machine_count; ++i) simulator->add_machine("small", "a");
    simulator->start_nodes();
    simulator->run(6 * kSecond);
    EXPECT_GE(simulator->owner_node(), 0);
    return simulator;
}

/// Cancels the job through a controller other than `node`, and waits for the confirmation.
void cancel_at_other_controller(Simulator& simulator, int node, const std::string& ref) {
    simulator.cut_link("users", host(node));
    simulator.cancel(ref);
    simulator.request((node + 1) % 3, "POST", "/v1/jobs/" + ref + "/abort", Json::object());
    for (int i = 0; i < 600 && simulator.reported_stage(ref) != "cancelled"; ++i)
        simulator.run(10 * kMillisecond);
    ASSERT_EQ(simulator.reported_stage(ref), "cancelled") << simulator.format_history();
}

TEST(ControllerLease, WorkerLeaseEndsBeforeTheCancelDeadline) {
    // For all durations that may be configured. If they do not fit, can_cancel_in_time reports it.
    Settings settings = small_cluster_settings();
    for (settings.worker_lease = 5 * kSecond; settings.worker_lease < 60 * kSecond;
         settings.worker_lease += 700 * kMillisecond)
        for (settings.cancel_deadline = settings.worker_lease;
             settings.cancel_deadline < settings.worker_lease + 20 * kSecond;
             settings.cancel_deadline += 300 * kMillisecond) {
            const bool fits = controller_lease_duration(settings) + with_drift(settings.worker_lease) <=
                              settings.cancel_deadline;
            if (can_cancel_in_time(settings))
                EXPECT_TRUE(fits) << settings.worker_lease << " " << settings.cancel_deadline;
            else
                EXPECT_LT(settings.cancel_deadline,
                          settings.worker_lease + settings.worker_lease / 500 + 5 * kSecond);
            EXPECT_TRUE(has_valid_lease(controller_lease_duration(settings) - 1, settings));
            EXPECT_FALSE(has_valid_lease(controller_lease_duration(settings), settings));
        }
}

TEST(ControllerLease, NoLaunchIntoASessionThatBeganAfterItExpired) {
    // A holder that is cut off from the state service and the other controllers cannot learn whether the
    // lease of a hung machine has expired, so it keeps the task that it bound there. When the machine
    // resumes, its answer to a call reports a new session. The launch, which was not executed, would then be
    // sent again, long after the job was cancelled.
    auto simulator = settled_single_zone_simulator(1, 1);
    const int holder = simulator->owner_node();
    const std::string machine = simulator->machine_names().front();
    simulator->set_hung(machine, true);
    simulator->submit(simulator->make_job(1, JobKind::Array, 1), 100 * kSecond, 0);
    simulator->run(kSecond);
    ASSERT_EQ(simulator->reported_stage("req-000001"), "accepted") << simulator->format_history();
    simulator->isolate_controller(holder, true);
    for (int i = 0; i < 3; ++i)
        if (i != holder) simulator->cut_link(host(i), machine);
    cancel_at_other_controller(*simulator, holder, "req-000001");
    simulator->run(simulator->settings.cancel_deadline + 2 * kSecond);
    simulator->set_hung(machine, false);
    simulator->run(10 * kSecond);
    EXPECT_GT(simulator->worker(machine)->session(), 1U);
    EXPECT_EQ(simulator->task_starts("req-000001"), 0) << simulator->format_history();
    simulator->heal_all_links();
    simulator->run(20 * kSecond);
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(ControllerLease, CancellationIsAppliedWhileAWriteOfItsRecordIsPending) {
    // The refresh that reads the cancellation also renews the controller's lease. If the holder applied the
    // cancellation only after the pending write of the same record was answered, the tasks would run too
    // long: while the state service is unreachable, that answer does not come.
    auto simulator = settled_single_zone_simulator(2, 1);
    const int holder = simulator->owner_node();
    simulator->submit(simulator->make_job(1, JobKind::Array, 1, 4), 4 * kSecond, 0);
    simulator->run(kSecond);
    simulator->submit(simulator->make_job(2, JobKind::Array, 2, 4), 100 * kSecond, 0);
    simulator->run(kSecond);
    ASSERT_EQ(simulator->running_tasks("req-000002"), 1) << simulator->format_history();
    simulator->delayed_write_rate =
        1;  // delays writes from now on, and so the binding of the task that starts after the first job
    while (simulator->running_tasks("req-000001") > 0) simulator->run(10 * kMillisecond);
    simulator->run(700 * kMillisecond);
    simulator->delayed_write_rate = 0;
    cancel_at_other_controller(*simulator, holder, "req-000002");
    simulator->run(800 * kMillisecond);
    EXPECT_EQ(simulator->running_tasks("req-000002"), 0) << "stopped before the write times out\n"
                                                         << simulator->format_history();
    simulator->heal_all_links();
    simulator->run(20 * kSecond);
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(ControllerLease, HolderThatIsStillLoadingStopsTasksOfCancelledJobs) {
    // Between acquiring a shard and having loaded its state, a holder answers reports so that no lease
    // expires. When an outage began in that interval, the holder renewed the leases of machines with tasks of
    // cancelled jobs without stopping these tasks.
    auto simulator = settled_single_zone_simulator(3, 2);
    const int former_holder = simulator->owner_node();
    const std::string shard = simulator->owner_at(former_holder)->shard();
    simulator->submit(simulator->make_job(1, JobKind::Service, 2), 0);
    simulator->run(3 * kSecond);
    ASSERT_EQ(simulator->running_tasks("req-000001"), 2);
    simulator->refuse_state_requests(former_holder, true);
    cancel_at_other_controller(*simulator, former_holder, "req-000001");
    ASSERT_EQ(simulator->running_tasks("req-000001"), 2)
        << "the former holder must not know of the cancellation";
    auto other_controller_is_loading = [&] {
        for (int i = 0; i < 3; ++i)
            if (const ShardOwner* owner = simulator->node(i)->owner(shard);
                i != former_holder && owner && !owner->active())
                return true;
        return false;
    };
    for (int i = 0; i < 10'000 && !other_controller_is_loading(); ++i) simulator->run(kMillisecond);
    ASSERT_TRUE(other_controller_is_loading()) << simulator->format_history();
    simulator->state().set_down(true, simulator->now());
    simulator->run(9 * kSecond);
    EXPECT_EQ(simulator->running_tasks("req-000001"), 0) << simulator->format_history();
    simulator->run(30 * kSecond);
    simulator->state().set_down(false, simulator->now());
    simulator->refuse_state_requests(former_holder, false);
    simulator->heal_all_links();
    simulator->run(10 * kSecond);
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(ControllerLease, LaunchOfACancelledJobIsRefusedByToken) {
    // Another controller renews the machine's session on behalf of the holder, and the two cannot reach each
    // other. The holder's launch is delayed in the network. When it arrives, only a higher token, which the
    // other controller reads from the state service, prevents the task from starting.
    auto simulator = settled_single_zone_simulator(4, 1);
    simulator->submit(simulator->make_job(2, JobKind::Service, 1),
                      0);          // keeps the machine from being returned to the cloud
    simulator->run(30 * kSecond);  // controllers renew no leases for others earlier
    const int holder = simulator->owner_node();
    const std::string machine = simulator->machine_names().front();
    simulator->hold_next_message(host(holder), machine);
    simulator->submit(simulator->make_job(1, JobKind::Array, 1), 100 * kSecond, 0);
    for (int i = 0; i < 300 && simulator->reported_stage("req-000001") != "accepted"; ++i)
        simulator->run(10 * kMillisecond);
    simulator->run(100 * kMillisecond);
    simulator->cut_link(host(holder), machine);
    for (int i = 0; i < 3; ++i)
        if (i != holder) simulator->cut_link(host(holder), host(i));
    cancel_at_other_controller(*simulator, holder, "req-000001");
    simulator->run(simulator->settings.cancel_deadline + 2 * kSecond);
    ASSERT_EQ(simulator->worker(machine)->session(), 1U) << "the session must still be alive\n"
                                                         << simulator->format_history();
    simulator->release_held_messages();
    simulator->run(5 * kSecond);
    EXPECT_EQ(simulator->task_starts("req-000001"), 0) << simulator->format_history();
    simulator->heal_all_links();
    simulator->run(20 * kSecond);
    EXPECT_NO_VIOLATIONS(*simulator);
}

TEST(ControllerLease, CutOffHolderRefusesUsersAndItsWorkersMoveToTheNewHolder) {
    auto simulator = settled_single_zone_simulator(5, 4);
    const int former_holder = simulator->owner_node();
    simulator->submit(simulator->make_job(1, JobKind::Service, 2), 0);
    simulator->submit(simulator->make_job(2, JobKind::Array, 2), 60 * kSecond, 0);
    simulator->run(4 * kSecond);
    simulator->isolate_controller(former_holder, true);
    cancel_at_other_controller(*simulator, former_holder, "req-000002");
    const auto submission = wire::job_value(simulator->make_job(1, JobKind::Service, 2));
    EXPECT_EQ(simulator->request(former_holder, "GET", "/v1/jobs/req-000001", Json::object()).status, 503);
    EXPECT_EQ(simulator->request(former_holder, "GET", "/v1/jobs/req-000002", Json::object()).status, 503);
    EXPECT_EQ(simulator->request(former_holder, "GET", "/v1/jobs/req-000999", Json::object()).status, 503);
    EXPECT_EQ(simulator->request(former_holder, "POST", "/v1/jobs/req-000001/abort", Json::object()).status,
              503);
    EXPECT_EQ(simulator->request(former_holder, "POST", "/v1/jobs", submission).status, 503)
        << "a repeated submission";
    EXPECT_EQ(simulator
                  ->request(former_holder, "POST", "/v1/jobs",
                            wire::job_value(simulator->make_job(3, JobKind::Array, 1)))
                  .status,
              503);
    simulator->run(20 * kSecond);  // until the controller's lease has expired
    EXPECT_EQ(simulator->running_tasks("req-000002"), 0) << simulator->format_history();
    EXPECT_EQ(simulator->running_tasks("req-000001"), 2);
    EXPECT_EQ(simulator->task_starts("req-000001"), 2) << "no task was started again\n"
                                                       << simulator->format_history();
    simulator->heal_link("users", host(former_holder));
    simulator->submit(simulator->make_job(4, JobKind::Array, 4), 2 * kSecond, 0);
    simulator->run(15 * kSecond);
    EXPECT_EQ(simulator->reported_stage("req-000004"), "done") << simulator->format_history();
    simulator->heal_all_links();
    simulator->run(20 * kSecond);
    EXPECT_NO_VIOLATIONS(*simulator);
}

}  // namespace
}  // namespace cottonway::test
