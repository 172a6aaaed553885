// Machines that boot within two seconds and get work at once, while writes are delayed, the cloud's machine
// list is outdated and leaders crash. Also a leader that is cut off, which must not go on renting and
// deleting machines.

#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

Milli rented_cores(Simulator& simulator) {
    Milli cores = 0;
    for (const auto& [name, m] : simulator.cloud().machines())
        cores += simulator.cloud().type(m.info.type)->size.cores;
    return cores;
}

int rentals_of_term(Simulator& simulator, Revision term) {
    const std::string prefix = "r-" + std::to_string(term) + "-";
    return static_cast<int>(std::count_if(
        simulator.cloud().rentals().begin(), simulator.cloud().rentals().end(),
        [&](const auto& rental) { return rental.first.compare(0, prefix.size(), prefix) == 0; }));
}

struct StoreFault {
    const char* name;
    double Simulator::*rate;  // share of all transactions that have the fault
    double rate_value;
    Micros answer_delay;
};
const std::vector<StoreFault> kStoreFaults{{"no fault", nullptr, 0, 0},
                                           {"late writes", &Simulator::delayed_write_rate, 0.4, 0},
                                           {"lost answers", &Simulator::unanswered_write_rate, 0.5, 0},
                                           {"slow answers", nullptr, 0, 1500 * kMillisecond}};

class FastBootingMachines : public testing::TestWithParam<int> {};

/// The leader crashes as soon as a new machine has been rented, is up, is in a block, or runs its first task
/// (the parameter selects which).
TEST_P(FastBootingMachines, AreLeasedOnceAndUsedAlthoughTheLeaderCrashes) {
    const int moment = GetParam();
    for (const auto& store_fault : kStoreFaults) {
        // With a long lease a worker keeps its results during a takeover that takes long because answers are
        // lost repeatedly.
        Settings settings = small_cluster_settings();
        settings.worker_lease = 30 * kSecond;
        settings.cancel_deadline = 60 * kSecond;
        Simulator simulator(static_cast<std::uint64_t>(moment + 1), settings);
        const std::string first = simulator.add_machine("small", "a");
        simulator.fast_boot_rate = 1;
        simulator.cloud().capacity = 30;
        simulator.cloud().list_lag = simulator.settings.cloud_list_lag;
        simulator.start_nodes();
        for (int i = 1; i <= 4; ++i) {
            JobSpec spec = simulator.make_job(i, JobKind::Array, 10);
            spec.team = i % 2 ? "red" : "blue";
            simulator.submit(spec, 6 * kSecond);
        }
        simulator.run(2 * kSecond);
        if (store_fault.rate) simulator.*store_fault.rate = store_fault.rate_value;
        simulator.max_state_answer_delay = store_fault.answer_delay;
        auto moment_reached = [&] {
            switch (moment) {
                case 0:
                    return simulator.cloud().machines().size() > 1;
                case 1:
                    return simulator.machine_names().size() > 1;
                case 2:
                    return block_listings(simulator).size() > 1;
                default: {
                    for (const auto& ref : simulator.job_refs())
                        for (const auto& m : simulator.machines_running(ref))
                            if (m != first) return true;
                    return false;
                }
            }
        };
        for (int i = 0; i < 6000 && !moment_reached(); ++i) simulator.run(5 * kMillisecond);
        ASSERT_TRUE(moment_reached()) << store_fault.name << "\n" << simulator.format_history();
        const std::string leader = simulator.node(0)->cache().membership.leader().holder;
        simulator.crash(leader.back() - '0', moment % 2 ? 20 * kSecond : 300 * kMillisecond);
        simulator.run(20 * kSecond);
        simulator.max_state_answer_delay = 0;
        simulator.delayed_write_rate = simulator.unanswered_write_rate = 0;
        simulator.run(100 * kSecond);
        EXPECT_NO_VIOLATIONS(simulator);
        for (const auto& ref : simulator.job_refs()) {
            EXPECT_EQ(simulator.reported_stage(ref), "done") << store_fault.name << "\n"
                                                             << simulator.format_history();
            EXPECT_EQ(simulator.task_starts(ref), 10) << store_fault.name << ": each task must start once\n"
                                                      << simulator.format_history();
        }
        expect_each_machine_listed_once(simulator, store_fault.name);
        // No more machines than the limits of two teams need.
        EXPECT_LT(rented_cores(simulator), 40'000 + 16'000) << store_fault.name << "\n"
                                                            << simulator.format_history();
        RecordProperty(std::string("rented ") + store_fault.name,
                       static_cast<int>(simulator.cloud().rentals().size()));
    }
}

INSTANTIATE_TEST_SUITE_P(Moments, FastBootingMachines, testing::Range(0, 4));

/// Guards against a new leader that rents again for the same demand. The machines that its predecessor has
/// rented take longer to boot than the new leader takes to list the machines, and are not in the cloud's list
/// yet.
TEST(RentingLeader, NewLeaderCountsMachinesRentedByItsPredecessor) {
    Simulator simulator(13);
    simulator.add_machine("small", "a");
    simulator.cloud().capacity = 30;
    simulator.cloud().list_lag = simulator.settings.cloud_list_lag;
    simulator.start_nodes();
    for (int i = 0; i < 400 && simulator.cloud().rentals().empty(); ++i) simulator.run(50 * kMillisecond);
    simulator.run(1500 * kMillisecond);  // it takes at most this long until the other controllers know
    const Milli before = rented_cores(simulator);
    simulator.crash(simulator.leader_node(), 20 * kSecond);
    for (int i = 0; i < 200; ++i) {
        simulator.run(100 * kMillisecond);
        ASSERT_LE(rented_cores(simulator), before) << simulator.format_history();
    }
    simulator.run(30 * kSecond);
    expect_each_machine_listed_once(simulator);
    EXPECT_NO_VIOLATIONS(simulator);
}

/// Guards against a leader that is cut off, does not learn that another controller leads, and goes on renting
/// for the demand from before it was cut off.
TEST(RentingLeader, LeaderThatIsCutOffRentsNothingAfterItsAuthorityEnds) {
    auto simulator = settled_simulator(11, 2);
    const int old_leader = simulator->leader_node();
    const Revision term = simulator->node(old_leader)->cache().membership.leader().mod_revision;
    simulator->isolate_controller(old_leader, true);
    simulator->run(controller_lease_duration(simulator->settings) + 2 * kSecond);
    ASSERT_NE(simulator->leader_node(), -1);
    const int before = rentals_of_term(*simulator, term);
    simulator->cloud().capacity = 20;
    simulator->run(60 * kSecond);
    EXPECT_EQ(rentals_of_term(*simulator, term), before) << simulator->format_history();
    EXPECT_GT(simulator->cloud().rentals().size(), 0U) << "the new leader must rent";
    simulator->heal_all_links();
    simulator->run(20 * kSecond);
    EXPECT_LT(rented_cores(*simulator), 40'000 + 16'000) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A machine boots very late, just when a leader that is cut off gives it up. The new leader has added it to
/// a block, so the old one must not delete it.
TEST(RentingLeader, LeaderThatIsCutOffDeletesNoMachineLeasedByItsSuccessor) {
    auto simulator = settled_simulator(12, 1);
    simulator->cloud().list_lag = simulator->settings.cloud_list_lag;
    const int old_leader = simulator->leader_node();
    simulator->submit(simulator->make_job(1, JobKind::Service, 8), 0);  // fills the only machine
    simulator->run(2 * kSecond);
    const Micros boot_time =
        3 * simulator->cloud().types().front().boot_duration + 30 * kSecond + 4 * kSecond;
    const std::string late_machine =
        simulator->cloud().rent_machine("small", "b", false, simulator->now(), boot_time);
    simulator->submit(simulator->make_job(2, JobKind::Array, 8), 20 * kSecond);
    simulator->run(15 * kSecond);
    simulator->isolate_controller(old_leader, true);
    simulator->run(boot_time + 60 * kSecond);
    EXPECT_TRUE(simulator->worker(late_machine)) << simulator->format_history();
    EXPECT_EQ(simulator->reported_stage("req-000002"), "done") << simulator->format_history();
    EXPECT_EQ(simulator->task_starts("req-000002"), 8) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

/// A machine that never comes up is returned only much later. Work must not wait for it longer than a machine
/// may take to boot: a replacement must be there by then.
TEST(LateMachines, MachineThatNeverComesUpIsReplacedInTime) {
    auto simulator = settled_simulator(3, 2);
    simulator->cloud().capacity = 30;
    const auto before = simulator->machine_names();
    JobSpec spec = simulator->make_job(1, JobKind::Service, 20);
    spec.priority_class = PriorityClass::Production;
    spec.spot = false;
    simulator->submit(spec, 0);
    std::size_t machines_never_up = 0;
    for (int i = 0; i < 20 && machines_never_up == 0; ++i) {
        simulator->run(500 * kMillisecond);
        for (auto& [name, m] : simulator->cloud().machines())
            if (!m.booted) m.boot_ends_at = 3600 * kSecond, ++machines_never_up;
    }
    ASSERT_GT(machines_never_up, 0u) << simulator->format_history();
    const Micros boot = small_cluster_machine_types().front().boot_duration;
    simulator->run(2 * boot + simulator->settings.cloud_list_lag + boot + 8 * kSecond);
    EXPECT_EQ(simulator->running_tasks(spec.ref), spec.tasks) << simulator->format_history();
    EXPECT_NO_VIOLATIONS(*simulator);
}

}  // namespace
}  // namespace cottonway::test
