// Every team is at its limit when jobs are called off, their machines can't be asked, and the leader changes.
// The world counts as the operators do: what may still run counts, also on a machine that hangs or is cut
// off. What is freed is used again. Every sixth of all combinations is played, and with WORLD_ALL=1 each.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr Micros kUsedAgain = 90 * kSecond;

Settings site(bool several) {
    Settings s = small_cluster_settings();
    if (several) s.cpu_share = 0.001;
    s.ops.idle_return = 600 * kSecond;
    return s;
}

/// Cores that jobs which go on have on machines.
Milli in_use(const Simulator& w, const std::map<std::string, JobSpec>& jobs, const std::string& team) {
    Milli sum = 0;
    for (const auto& [ref, s] : jobs)
        if (s.team == team && w.reported_stage(ref) != "cancelled")
            sum += w.running_tasks(ref) * s.request.cores;
    return sum;
}

/// Both teams have twice the work that their limits allow: arrays, gangs and services of tasks of one core.
std::map<std::string, JobSpec> fill(Simulator& w) {
    std::map<std::string, JobSpec> jobs;
    int number = 1;
    for (const char* team : {"red", "blue"})
        for (int i = 0; i < 10; ++i) {
            const bool red = team == std::string("red");
            const JobKind kind = i % 5 == 3 ? JobKind::Gang : i % 5 == 4 ? JobKind::Service : JobKind::Array;
            JobSpec s = w.make_job(number++, kind, kind != JobKind::Array ? 2 : red ? 7 : 4);
            s.team = team;
            if (i % 2) s.checkpoint = 5 * kSecond, s.save = kSecond;
            w.submit(s, 400 * kSecond);
            jobs[s.ref] = s;
        }
    return jobs;
}

struct Unasked {  // why machines can't be asked, and for how long
    const char* what;
    Micros span;
};
const Unasked kUnasked[] = {{"cut", 6 * kSecond},   {"cut", 25 * kSecond},  {"hang", 6 * kSecond},
                            {"hang", 25 * kSecond}, {"deaf", 25 * kSecond}, {"mute", 25 * kSecond}};
const char* const kChanges[] = {"none", "ends", "ends for long", "cut off", "refused", "stands still"};

void unask(Simulator& w, const Unasked& how, const std::set<std::string>& machines, bool on) {
    for (const auto& m : machines) {
        const std::string what = how.what;
        if (what == "hang") w.set_hung(m, on);
        if (what == "deaf") w.block_messages_to(m, on);
        if (what == "mute") w.block_reports_from(m, on);
        for (int i = 0; what == "cut" && i < w.node_count(); ++i)
            on ? w.cut_link(host(i), m) : w.heal_link(host(i), m);
    }
}

void change(Simulator& w, const std::string& what, int node, Micros span) {
    if (what == "ends") w.crash(node, 300 * kMillisecond);
    if (what == "ends for long") w.crash(node, span);
    if (what == "stands still") w.freeze_process(node, span);
    if (what == "cut off") {
        w.isolate_controller(node, true);
        w.schedule_at(w.now() + span, [&w, node] { w.isolate_controller(node, false); });
    }
    if (what == "refused") {
        w.refuse_state_requests(node, true);
        w.schedule_at(w.now() + span, [&w, node] { w.refuse_state_requests(node, false); });
    }
}

/// Whether a job waits though its team's limit has room for a task of it, or for all of a gang.
bool waits(const Simulator& w, const std::map<std::string, JobSpec>& jobs) {
    return std::any_of(jobs.begin(), jobs.end(), [&](const auto& j) {
        const auto& [ref, s] = j;
        const int missing = s.tasks - w.running_tasks(ref);
        const Milli at_once = s.kind == JobKind::Gang ? s.tasks : 1;
        return w.reported_stage(ref) != "cancelled" && missing > 0 &&
               in_use(w, jobs, s.team) + s.request.cores * at_once <= (s.team == "red" ? 24'000 : 16'000);
    });
}

/// Until no job waits that its team's limit has room for; how long that took, at most `most`.
Micros until_full(Simulator& w, const std::map<std::string, JobSpec>& jobs, Micros most) {
    const Micros since = w.now();
    while (w.now() - since < most && waits(w, jobs)) w.run(500 * kMillisecond);
    return w.now() - since;
}

TEST(SharesOfALimit, WhatIsTooLittleForATaskInEachDomainIsUsedTogether) {
    // Three shares of 8 cores. A task of each shard's fits into all of what they don't use, and into none's
    // alone; one that is too large for all of it holds none back.
    for (const int widest : {5, 10}) {
        auto w = settled_simulator(static_cast<std::uint64_t>(widest), 9, site(true));
        for (int i = 1; i <= 9; ++i) {
            JobSpec s = w->make_job(i, JobKind::Gang, i == 7 ? widest / 5 : 1, 5);
            w->submit(s, 400 * kSecond);  // all at once, so that some wait in each shard
        }
        w->run(20 * kSecond);
        int running = 0;
        for (const auto& ref : w->job_refs()) running += w->running_tasks(ref);
        EXPECT_EQ(running, 4) << "of 5 cores each, 24 at most\n" << w->format_history();
        const auto marks = [&] {
            Revision sum = 0;
            for (int i = 0; i < 3; ++i)
                sum += *wire::count(w->state().handle("GET", "/store/c/share/" + host(i), {}, w->now()).body,
                                    "mark");
            return sum;
        };
        const Revision before = marks();
        w->run(20 * kSecond);
        EXPECT_EQ(marks(), before) << "nothing goes to and fro\n" << w->format_history();
        EXPECT_NO_VIOLATIONS(*w);
    }
}

TEST(SharesOfALimit, WhatFindsNoRoomKeepsNoShareFromWhatWould) {
    auto w = settled_simulator(3, 6, site(true));  // two machines of 8 cores a shard
    const auto submit = [&](int number, const char* team, int tasks) {
        JobSpec s = w->make_job(number, JobKind::Array, tasks);
        s.team = team;
        w->submit(s, 400 * kSecond);
        w->run(6 * kSecond);
        return s.ref;
    };
    const std::string first = submit(1, "red", 14), other = submit(2, "red", 16);
    submit(3, "guests", 16);  // so that no shard has machines to give
    ASSERT_EQ(w->running_tasks(first), 14) << w->format_history();
    ASSERT_EQ(w->running_tasks(other), 10) << "all of the limit is in use\n" << w->format_history();
    w->kill_machine(*w->machines_running(first).begin());
    w->run(30 * kSecond);  // in doubt for as long
    const int left = w->running_tasks(first);
    ASSERT_LT(left, 14);
    w->run(60 * kSecond);
    EXPECT_EQ(w->running_tasks(other), std::min(16, 24 - left)) << w->format_history();
    EXPECT_NO_VIOLATIONS(*w);
}

class AtTheLimit : public testing::TestWithParam<int> {};

TEST_P(AtTheLimit, HoldAndAreUsedAgain) {
    // One way of not being asked a test, with every change of hands, of the leader or of another holder.
    const Unasked& how = kUnasked[GetParam() % 6];
    const bool several = GetParam() < 6;
    int number = 0;
    for (const std::string what : kChanges)
        for (const Micros cancelled : {-400 * kMillisecond, 600 * kMillisecond, 3 * kSecond}) {
            if ((++number + GetParam()) % 6 > 0 && !std::getenv("WORLD_ALL")) continue;
            auto w =
                settled_simulator(static_cast<std::uint64_t>(100 * GetParam() + number), 12, site(several));
            if (number % 2) w->delay_next_write("c/share/", number % 4 == 1 ? 6 * kSecond : 0);
            auto jobs = fill(*w);
            const Micros filled = number % 3 ? 60 * kSecond : kSecond;
            if (until_full(*w, jobs, filled) >= filled) {
                ASSERT_EQ(number % 3, 0) << w->format_history();
            }
            // Else while shares are still on their way.
            w->run(1500 * kMillisecond);
            std::vector<std::string> off;
            std::set<std::string> machines;
            int turn = 0;  // every other job
            for (const auto& [ref, s] : jobs)
                if (w->running_tasks(ref) > 0 && ++turn % 2) {
                    off.push_back(ref);
                    for (const auto& m : w->machines_running(ref))
                        if (machines.size() < 5) machines.insert(m);
                }
            const Micros begin = w->now() + 500 * kMillisecond;
            const int node = number % 2 ? w->leader_node() : w->busiest_node();
            w->schedule_at(begin - 100 * kMillisecond, [&] { unask(*w, how, machines, true); });
            w->schedule_at(begin, [&] { change(*w, what, node, 20 * kSecond); });
            w->schedule_at(begin + cancelled, [&] {
                for (const auto& ref : off) w->cancel(ref);
            });
            w->schedule_at(begin + how.span, [&] { unask(*w, how, machines, false); });
            w->run(500 * kMillisecond + std::max(how.span, 20 * kSecond));
            w->mark_faults_over();
            const std::string name =
                fmt::format("{} for {} s, leader: {}, cancelled {} ms after, {}", how.what,
                            how.span / kSecond, what, cancelled / kMillisecond, number);
            const Micros took = until_full(*w, jobs, kUsedAgain);
            EXPECT_LT(took, kUsedAgain) << name << "\n" << w->format_history();
            for (const auto& ref : off) EXPECT_EQ(w->reported_stage(ref), "cancelled") << name;
            EXPECT_TRUE(w->violations.empty()) << name << ": " << w->violations.front() << "\n"
                                               << w->format_history(150);
        }
}

INSTANTIATE_TEST_SUITE_P(Meetings, AtTheLimit, testing::Range(0, 12));

}  // namespace
}  // namespace cottonway::test
