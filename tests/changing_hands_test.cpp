// Jobs are called off in the seconds in which one controller's work changes hands: one job at each step of
// 50 ms, from before the change until its taker has long read everything. Every third of all combinations is
// played, and with WORLD_ALL=1 each.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr Micros kStep = 50 * kMillisecond;
constexpr int kJobs = 120;

struct Change {
    const char* what;
    bool several;   // shards
    Micros before;  // how long before the sweep's origin it begins
    void (*begin)(Simulator&, int holder);
};
const Change kChanges[] = {
    {"given by its holder", false, 0, [](Simulator& w, int h) { commit_shard_transfer(w, h, (h + 1) % 3); }},
    {"given and back", false, 0,
     [](Simulator& w, int h) {
         commit_shard_transfer(w, h, (h + 1) % 3);
         w.schedule_at(w.now() + 1500 * kMillisecond, [&w, h] {
             if (w.owner_at((h + 1) % 3)) commit_shard_transfer(w, (h + 1) % 3, h);
         });
     }},
    {"taken after an end", false, 2 * kSecond, [](Simulator& w, int h) { w.crash(h, 60 * kSecond); }},
    {"taken back after an end", false, 0, [](Simulator& w, int h) { w.crash(h, 300 * kMillisecond); }},
    {"taken, and handed back", true, 8 * kSecond, [](Simulator& w, int h) { w.crash(h, 4 * kSecond); }},
    {"taken from one that is cut off", false, 2 * kSecond,
     [](Simulator& w, int h) {
         w.isolate_controller(h, true);
         w.schedule_at(w.now() + 20 * kSecond, [&w, h] { w.isolate_controller(h, false); });
     }},
};

struct Beside {
    const char* what;
    bool held;  // commands or looks are late, so that a launch may come after the answer to its user
    void (*begin)(Simulator&, int holder);
};
const Beside kBeside[] = {
    {"nothing", false, [](Simulator&, int) {}},
    {"the next message to each machine is kept back", true,
     [](Simulator& w, int h) {
         for (const auto& m : w.machine_names()) w.hold_next_message(host(h), m);
         w.schedule_at(w.now() + 12 * kSecond, [&w] { w.release_held_messages(); });
     }},
    {"commands are late", true, [](Simulator& w, int) { w.delayed_command_rate = 0.5; }},
    {"the record of the domain is written late", false,
     [](Simulator& w, int) { w.delay_next_write("c/domain/", 3 * kSecond); }},
    {"the record of the domain is written unanswered", false,
     [](Simulator& w, int) { w.delay_next_write("c/domain/", 0); }},
    {"records of jobs are written late", false,
     [](Simulator& w, int) {
         for (int i = 0; i < 60; ++i) w.delay_next_write("c/active/", i % 2 ? 2 * kSecond : 6 * kSecond);
     }},
    {"records of jobs are written unanswered", false,
     [](Simulator& w, int) {
         for (int i = 0; i < 100; ++i) w.delay_next_write("c/active/", 0);
     }},
    {"the store is slow", true, [](Simulator& w, int) { w.max_state_answer_delay = 600 * kMillisecond; }},
};

class ChangingHands : public testing::TestWithParam<int> {};

TEST_P(ChangingHands, NothingStartsThatWasCalledOff) {
    const Change& change = kChanges[GetParam()];
    int turn = GetParam();
    for (const Beside& beside : kBeside) {
        if (turn++ % 3 > 0 && !std::getenv("WORLD_ALL")) continue;
        Settings site = small_cluster_settings();
        if (change.several) site.cpu_share = 0.001;
        site.ops.idle_return = 600 * kSecond;
        auto w = settled_simulator(static_cast<std::uint64_t>(GetParam()), 6, site);
        const std::string name = fmt::format("{}, {}", change.what, beside.what);
        const int holder = w->owner_node();
        const Micros origin = w->now() + 4 * kSecond + change.before;
        std::vector<std::string> refs;
        for (int k = 0; k < kJobs; ++k) {
            const JobKind kind = k % 6 < 2 ? JobKind::Gang : k % 6 < 4 ? JobKind::Service : JobKind::Array;
            const JobSpec s = w->make_job(k + 1, kind, 2, 0.1);
            refs.push_back(s.ref);
            // Half of them run by then; of the others the launch is on its way, or not even that.
            const Micros off = origin - kSecond + k * kStep;
            w->schedule_at(
                k % 2 ? off - (50 + w->random() % 300) * kMillisecond : w->now() + k * 5 * kMillisecond,
                [&w, s] { w->submit(s, 400 * kSecond); });
            w->schedule_at(off, [&w, ref = s.ref] { w->cancel(ref); });
        }
        w->schedule_at(origin - 100 * kMillisecond, [&] { beside.begin(*w, holder); });
        w->schedule_at(origin - change.before, [&] { change.begin(*w, holder); });
        std::map<std::string, std::pair<Micros, int>> told;  // when, and starts until shortly after
        const Micros end = origin + kJobs * kStep + 25 * kSecond;
        while (w->now() < end) {
            w->run(kStep);
            if (w->now() > origin + kJobs * kStep) w->delayed_command_rate = w->max_state_answer_delay = 0;
            for (const auto& ref : refs)
                if (w->reported_stage(ref) == "cancelled") {
                    auto& t = told.try_emplace(ref, w->now(), 0).first->second;
                    if (w->now() - t.first <= 3 * kStep) t.second = w->task_starts(ref);
                }
        }
        w->run(w->settings.cancel);
        const JobSpec all = w->make_job(900, JobKind::Array, 24);
        w->submit(all, 400 * kSecond);
        w->run(10 * kSecond);
        EXPECT_EQ(w->running_tasks(all.ref), 24) << name << ": the room is used again\n"
                                                 << w->format_history();
        int late = 0;
        for (const auto& ref : refs) {
            EXPECT_EQ(w->reported_stage(ref), "cancelled") << name << " " << ref;
            EXPECT_EQ(w->running_tasks(ref), 0) << name << " " << ref << "\n" << w->format_history();
            if (w->task_starts(ref) > told[ref].second) ++late;
        }
        if (!beside.held) {
            EXPECT_EQ(late, 0) << name << ": started after their users were told\n" << w->format_history(200);
        }
        EXPECT_TRUE(w->violations.empty()) << name << ": " << w->violations.front() << "\n"
                                           << w->format_history(150);
    }
}

INSTANTIATE_TEST_SUITE_P(Meetings, ChangingHands, testing::Range(0, 6));

}  // namespace
}  // namespace cottonway::test
