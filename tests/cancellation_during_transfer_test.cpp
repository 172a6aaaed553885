// Jobs are cancelled while a controller's shard moves to another controller: one job every 50 ms, from before
// the transfer until long after the new holder has loaded the shard. Every third combination of a transfer
// and a simultaneous fault is run, and with WORLD_ALL=1 every one.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr Micros kCancellationInterval = 50 * kMillisecond;
constexpr int kJobCount = 120;

struct Transfer {
    const char* name;
    bool several_shards;
    Micros lead_time;  // how long before the origin of the cancellation times it starts
    void (*start)(Simulator&, int holder);
};
const Transfer kTransfers[] = {
    {"transferred by its holder", false, 0,
     [](Simulator& simulator, int holder) { commit_shard_transfer(simulator, holder, (holder + 1) % 3); }},
    {"transferred and transferred back", false, 0,
     [](Simulator& simulator, int holder) {
         commit_shard_transfer(simulator, holder, (holder + 1) % 3);
         simulator.schedule_at(simulator.now() + 1500 * kMillisecond, [&simulator, holder] {
             if (simulator.owner_at((holder + 1) % 3))
                 commit_shard_transfer(simulator, (holder + 1) % 3, holder);
         });
     }},
    {"acquired after a crash", false, 2 * kSecond,
     [](Simulator& simulator, int holder) { simulator.crash(holder, 60 * kSecond); }},
    {"acquired again after a restart", false, 0,
     [](Simulator& simulator, int holder) { simulator.crash(holder, 300 * kMillisecond); }},
    {"acquired after a crash, and transferred back", true, 8 * kSecond,
     [](Simulator& simulator, int holder) { simulator.crash(holder, 4 * kSecond); }},
    {"acquired from a node that is cut off", false, 2 * kSecond,
     [](Simulator& simulator, int holder) {
         simulator.isolate_controller(holder, true);
         simulator.schedule_at(simulator.now() + 20 * kSecond,
                               [&simulator, holder] { simulator.isolate_controller(holder, false); });
     }},
};

struct Fault {
    const char* name;
    // Commands or refreshes are late, so a task may start after its job's cancellation is confirmed to the
    // user.
    bool allows_late_starts;
    void (*start)(Simulator&, int holder);
};
const Fault kFaults[] = {
    {"nothing", false, [](Simulator&, int) {}},
    {"the next message to each machine is delayed", true,
     [](Simulator& simulator, int holder) {
         for (const auto& m : simulator.machine_names()) simulator.hold_next_message(host(holder), m);
         simulator.schedule_at(simulator.now() + 12 * kSecond,
                               [&simulator] { simulator.release_held_messages(); });
     }},
    {"commands are late", true, [](Simulator& simulator, int) { simulator.delayed_command_rate = 0.5; }},
    {"the write of the shard record is executed late", false,
     [](Simulator& simulator, int) { simulator.delay_next_write("c/domain/", 3 * kSecond); }},
    {"the write of the shard record gets no answer", false,
     [](Simulator& simulator, int) { simulator.delay_next_write("c/domain/", 0); }},
    {"writes of job records are executed late", false,
     [](Simulator& simulator, int) {
         for (int i = 0; i < 60; ++i)
             simulator.delay_next_write("c/active/", i % 2 ? 2 * kSecond : 6 * kSecond);
     }},
    {"writes of job records get no answer", false,
     [](Simulator& simulator, int) {
         for (int i = 0; i < 100; ++i) simulator.delay_next_write("c/active/", 0);
     }},
    {"the store is slow", true,
     [](Simulator& simulator, int) { simulator.max_state_answer_delay = 600 * kMillisecond; }},
};

class CancellationDuringTransfer : public testing::TestWithParam<int> {};

TEST_P(CancellationDuringTransfer, NoCancelledJobStartsTasks) {
    const Transfer& transfer = kTransfers[GetParam()];
    int combination = GetParam();
    for (const Fault& fault : kFaults) {
        if (combination++ % 3 > 0 && !std::getenv("WORLD_ALL")) continue;
        Settings settings = small_cluster_settings();
        if (transfer.several_shards) settings.cpu_cores = 0.001;
        settings.operators.idle_return_delay = 600 * kSecond;
        auto simulator = settled_simulator(static_cast<std::uint64_t>(GetParam()), 6, settings);
        const std::string combination_name = fmt::format("{}, {}", transfer.name, fault.name);
        const int holder = simulator->owner_node();
        const Micros origin = simulator->now() + 4 * kSecond + transfer.lead_time;
        std::vector<std::string> refs;
        for (int number = 0; number < kJobCount; ++number) {
            const JobKind kind = number % 6 < 2   ? JobKind::Gang
                                 : number % 6 < 4 ? JobKind::Service
                                                  : JobKind::Array;
            const JobSpec job = simulator->make_job(number + 1, kind, 2, 0.1);
            refs.push_back(job.ref);
            // Half of the jobs are running when they are cancelled. The tasks of the others are being
            // launched, or are not even launched yet.
            const Micros cancel_at = origin - kSecond + number * kCancellationInterval;
            simulator->schedule_at(number % 2 ? cancel_at - (50 + simulator->random() % 300) * kMillisecond
                                              : simulator->now() + number * 5 * kMillisecond,
                                   [&simulator, job] { simulator->submit(job, 400 * kSecond); });
            simulator->schedule_at(cancel_at, [&simulator, ref = job.ref] { simulator->cancel(ref); });
        }
        simulator->schedule_at(origin - 100 * kMillisecond, [&] { fault.start(*simulator, holder); });
        simulator->schedule_at(origin - transfer.lead_time, [&] { transfer.start(*simulator, holder); });
        // When each job's cancellation was confirmed to its user, and how often its tasks had started shortly
        // after that.
        std::map<std::string, std::pair<Micros, int>> confirmed_cancellations;
        const Micros end = origin + kJobCount * kCancellationInterval + 25 * kSecond;
        while (simulator->now() < end) {
            simulator->run(kCancellationInterval);
            if (simulator->now() > origin + kJobCount * kCancellationInterval)
                simulator->delayed_command_rate = simulator->max_state_answer_delay = 0;
            for (const auto& ref : refs)
                if (simulator->reported_stage(ref) == "cancelled") {
                    auto& confirmed =
                        confirmed_cancellations.try_emplace(ref, simulator->now(), 0).first->second;
                    if (simulator->now() - confirmed.first <= 3 * kCancellationInterval)
                        confirmed.second = simulator->task_starts(ref);
                }
        }
        simulator->run(simulator->settings.cancel_deadline);
        const JobSpec filler = simulator->make_job(900, JobKind::Array, 24);
        simulator->submit(filler, 400 * kSecond);
        simulator->run(10 * kSecond);
        EXPECT_EQ(simulator->running_tasks(filler.ref), 24)
            << combination_name << ": the freed capacity must be used again\n"
            << simulator->format_history();
        int late_starts = 0;
        for (const auto& ref : refs) {
            EXPECT_EQ(simulator->reported_stage(ref), "cancelled") << combination_name << " " << ref;
            EXPECT_EQ(simulator->running_tasks(ref), 0) << combination_name << " " << ref << "\n"
                                                        << simulator->format_history();
            if (simulator->task_starts(ref) > confirmed_cancellations[ref].second) ++late_starts;
        }
        if (!fault.allows_late_starts) {
            EXPECT_EQ(late_starts, 0)
                << combination_name
                << ": jobs started tasks after their users were told that they are cancelled\n"
                << simulator->format_history(200);
        }
        EXPECT_TRUE(simulator->violations.empty())
            << combination_name << ": " << simulator->violations.front() << "\n"
            << simulator->format_history(150);
    }
}

INSTANTIATE_TEST_SUITE_P(Transfers, CancellationDuringTransfer, testing::Range(0, 6));

}  // namespace
}  // namespace cottonway::test
