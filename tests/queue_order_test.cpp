// The priority plan: who goes first, and what of a team's limit is kept for whom. Each property is over
// queues that RapidCheck makes up.

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

Queued waiting(std::size_t index, Tier tier, Milli cores, Micros age, int tasks = 1) {
    Queued q;
    q.index = index;
    q.team = "red";
    q.tier = tier;
    q.rank = tier == Tier::Live         ? PriorityClass::Production
             : tier == Tier::Urgent     ? PriorityClass::High
             : tier == Tier::BestEffort ? PriorityClass::Low
                                        : PriorityClass::Normal;
    q.age = age;
    q.weight = static_cast<double>(cores);
    q.task = {cores * kCore, 0, 0};
    q.waits = {cores * kCore * tasks, 0, 0};
    return q;
}

std::map<std::string, TeamUse> red(Milli limit, std::map<Tier, Resources> used = {}) {
    return {{"red", {{limit * kCore, 0, 0}, std::move(used)}}};
}

/// The turn of a job that is not for being overdue, as cores.
Milli most_of(const std::vector<Turn>& order, std::size_t index) {
    for (const auto& t : order)
        if (t.index == index && !t.overdue) return t.most_cores / kCore;
    return -1;
}

TEST(Priority, OfTwentyCoresThatLiveWorkLeavesNormalWorkIsDueItsFloorFromHighWork) {
    const auto teams = red(88, {{Tier::Live, {68 * kCore, 0, 0}}, {Tier::Urgent, {14 * kCore, 0, 0}}});
    const auto order =
        turns({waiting(0, Tier::Urgent, 2, 0, 50), waiting(1, Tier::Batch, 2, 0, 9)}, teams, {});
    EXPECT_EQ(order.front().index, 0u) << "rank decides who goes first";
    EXPECT_EQ(most_of(order, 0), 84) << "a fifth of 20 is not for it";
    EXPECT_EQ(most_of(order, 1), 88);
}

TEST(Priority, NothingIsKeptForATierThatDoesNotWaitOrHasItsPart) {
    const std::vector<Queued> alone{waiting(0, Tier::Urgent, 2, 0, 50)};
    EXPECT_EQ(most_of(turns(alone, red(20), {}), 0), 20);
    const std::vector<Queued> both{waiting(0, Tier::Urgent, 2, 0, 50), waiting(1, Tier::Batch, 2, 0, 9)};
    EXPECT_EQ(most_of(turns(both, red(20, {{Tier::Batch, {4 * kCore, 0, 0}}}), {}), 0), 20);
}

TEST(Priority, AFloorOfLessThanATaskIsOneTaskWhereThatLeavesHalf) {
    const std::vector<Queued> queue{waiting(0, Tier::Urgent, 1, 0, 50), waiting(1, Tier::Batch, 8, 0, 9)};
    EXPECT_EQ(most_of(turns(queue, red(20), {}), 0), 12);
    const std::vector<Queued> large{waiting(0, Tier::Urgent, 1, 0, 50), waiting(1, Tier::Batch, 16, 0, 9)};
    EXPECT_EQ(most_of(turns(large, red(20), {}), 0), 20) << "that waits until it is overdue";
}

TEST(Priority, WhatIsOverdueGoesBeforeOtherBatchAndTheLimitIsKeptForOneStartOfIt) {
    const auto teams = red(88, {{Tier::Live, {68 * kCore, 0, 0}}, {Tier::Urgent, {20 * kCore, 0, 0}}});
    auto large = waiting(1, Tier::Batch, 16, 121 * kSecond, 3);
    const std::vector<Queued> queue{waiting(0, Tier::Urgent, 2, 0, 50), large, waiting(2, Tier::Live, 2, 0)};
    const auto order = turns(queue, teams, {});
    ASSERT_EQ(order.size(), 4u);
    EXPECT_EQ(order[0].index, 2u) << "live work first";
    EXPECT_EQ(order[0].most_cores, 88 * kCore);
    EXPECT_TRUE(order[1].overdue);
    EXPECT_EQ(order[1].index, 1u);
    EXPECT_EQ(order[1].most_cores, 86 * kCore) << "2 are live work's";
    EXPECT_EQ(most_of(order, 0), 70) << "2 for live work, 16 for what is overdue";
    large.begun = true;
    EXPECT_EQ(turns({queue[0], large, queue[2]}, teams, {}).size(), 3u);
}

TEST(Priority, NothingOfALimitIsKeptForWhatLacksRoom) {
    auto large = waiting(1, Tier::Batch, 8, 121 * kSecond);
    large.lacks_room = true;
    const auto order = turns({waiting(0, Tier::Urgent, 2, 0, 50), large}, red(20), {});
    EXPECT_TRUE(order.front().overdue) << "it is tried first all the same";
    EXPECT_EQ(most_of(order, 0), 20);
}

TEST(Priority, LeftoverWorkIsDueNothingUntilItIsOverdue) {
    std::vector<Queued> queue{waiting(0, Tier::Urgent, 2, 0, 50), waiting(1, Tier::BestEffort, 4, 0)};
    EXPECT_EQ(most_of(turns(queue, red(20), {}), 0), 20);
    queue[1].age = 121 * kSecond;
    EXPECT_EQ(most_of(turns(queue, red(20), {}), 0), 16);
}

// ---------------------------------------------------------------- gathering

/// Two machines of 8 cores: one with a long task and one with two short ones, of 4 cores each.
View two_machines() {
    View v;
    auto running = [&v](std::size_t machine, Micros estimate, JobKind kind) {
        JobView j;
        j.spec.ref = "run-" + std::to_string(v.jobs.size());
        j.spec.kind = kind;
        j.spec.request = {4 * kCore, 0, 0};
        j.spec.estimated_duration = estimate;
        j.bound = 1;
        TaskView t;
        t.job = v.jobs.size();
        t.machine = machine;
        v.jobs.push_back(j);
        v.machines[machine].tasks.push_back(v.tasks.size());
        v.machines[machine].reserved += j.spec.request;
        v.tasks.push_back(t);
    };
    for (const char* name : {"m1", "m2"}) {
        MachineView m;
        m.name = name;
        m.zone = "a";
        m.usable = true;
        m.size = {8 * kCore, 0, 0};
        v.machines.push_back(m);
    }
    running(0, 300 * kSecond, JobKind::Array);
    running(1, 10 * kSecond, JobKind::Array);
    running(1, 20 * kSecond, JobKind::Array);
    return v;
}

JobView large(Milli cores, Micros waited) {
    JobView j;
    j.spec.ref = "large";
    j.spec.request = {cores * kCore, 0, 0};
    j.spec.tasks = j.idle = 1;
    j.waiting = waited;
    return j;
}

TEST(Gathering, IsDoneForTheLargestThatIsOverdueWhereItIsThereSoonest) {
    View v = two_machines();
    v.jobs.push_back(large(8, 119 * kSecond));
    EXPECT_TRUE(gather(v, {}).empty()) << "it may still begin by itself";
    v.jobs.back().waiting = 121 * kSecond;
    EXPECT_EQ(gather(v, {}), (std::vector<Gather>{{"large", "m2", 1}}));
    v.jobs.push_back(large(6, 200 * kSecond));
    v.jobs.back().spec.ref = "smaller";
    EXPECT_EQ(gather(v, {}).front().job, "large");
    v.jobs[3].cancelled = true;
    EXPECT_EQ(gather(v, {}).front().job, "smaller");
}

TEST(Gathering, IsNotDoneForWhatHasRoomOrNeverWill) {
    View v = two_machines();
    v.jobs.push_back(large(4, 121 * kSecond));
    EXPECT_TRUE(gather(v, {}).empty()) << "4 cores are free on m1";
    v.jobs.back() = large(9, 121 * kSecond);
    EXPECT_TRUE(gather(v, {}).empty()) << "no machine is that large";
    v.jobs.back() = large(8, 121 * kSecond);
    v.machines[1].usable = false;
    v.jobs[0].spec.kind = JobKind::Service;
    EXPECT_TRUE(gather(v, {}).empty()) << "a service on m1 does not end";
}

TEST(Gathering, AGangGetsAllOfItsRoomOrNone) {
    View v = two_machines();
    v.jobs.push_back(large(6, 121 * kSecond));
    v.jobs.back().spec.kind = JobKind::Gang;
    v.jobs.back().spec.tasks = v.jobs.back().idle = 2;
    EXPECT_EQ(gather(v, {}), (std::vector<Gather>{{"large", "m1", 1}, {"large", "m2", 1}}));
    v.jobs.back().spec.tasks = v.jobs.back().idle = 3;
    EXPECT_TRUE(gather(v, {}).empty());
}

// ---------------------------------------------------------------- properties

std::vector<Queued> some_queue() {
    std::vector<Queued> queue;
    const int n = *rc::gen::inRange(0, 12);
    for (int i = 0; i < n; ++i) {
        const auto tier = *rc::gen::element(Tier::Live, Tier::Urgent, Tier::Batch, Tier::BestEffort);
        auto q = waiting(static_cast<std::size_t>(i), tier, *rc::gen::inRange(1, 40),
                         *rc::gen::inRange(0, 300) * kSecond, *rc::gen::inRange(1, 9));
        q.team = *rc::gen::element<std::string>("red", "blue", "guest");
        q.begun = *rc::gen::arbitrary<bool>();
        q.lacks_room = *rc::gen::inRange(0, 4) == 0;
        q.within_guarantee = *rc::gen::arbitrary<bool>();
        q.weight = *rc::gen::inRange(0, 3);
        queue.push_back(q);
    }
    return queue;
}

std::map<std::string, TeamUse> some_teams() {
    std::map<std::string, TeamUse> teams;
    for (const char* team : {"red", "blue"}) {
        TeamUse& u = teams[team];
        u.limit.cores = *rc::gen::inRange(0, 100) * kCore;
        for (const Tier t : {Tier::Live, Tier::Urgent, Tier::Batch, Tier::BestEffort})
            u.used[t].cores = *rc::gen::inRange(0, 30) * kCore;
    }
    teams["guest"].limit = {kNoLimit, kNoLimit, 0};
    return teams;
}

RC_GTEST_PROP(PriorityAlways, LiveWorkIsFirstAndHasNoCapButTheLimit, ()) {
    const auto queue = some_queue();
    const auto teams = some_teams();
    bool batch = false;
    for (const auto& t : turns(queue, teams, {})) {
        const Queued& q = queue[t.index];
        if (q.tier != Tier::Live) {
            batch = true;
            continue;
        }
        RC_ASSERT(!batch);
        RC_ASSERT(t.most_cores == teams.at(q.team).limit.cores);
    }
}

RC_GTEST_PROP(PriorityAlways, NobodyIsLetBeyondTheLimitAndEverybodyHasATurn, ()) {
    const auto queue = some_queue();
    const auto teams = some_teams();
    std::multiset<std::size_t> seen;
    for (const auto& t : turns(queue, teams, {})) {
        RC_ASSERT(t.most_cores <= teams.at(queue[t.index].team).limit.cores);
        if (!t.overdue) seen.insert(t.index);
    }
    RC_ASSERT(seen.size() == queue.size());
    RC_ASSERT(std::set<std::size_t>(seen.begin(), seen.end()).size() == queue.size());
}

RC_GTEST_PROP(PriorityAlways, TheOrderDoesNotDependOnThatOfTheInput, ()) {
    const auto queue = some_queue();
    const auto teams = some_teams();
    const auto other = *rc::gen::exec([&] {
        auto q = queue;
        for (std::size_t i = q.size(); i > 1; --i)
            std::swap(q[i - 1], q[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(i)))]);
        return q;
    });
    RC_ASSERT(turns(queue, teams, {}) == turns(other, teams, {}));
}

RC_GTEST_PROP(PriorityAlways, TheOrderIsThatOfRankWhereNothingIsOverdue, ()) {
    auto queue = some_queue();
    for (auto& q : queue) q.age %= 120 * kSecond;
    PriorityClass last = PriorityClass::Production;
    for (const auto& t : turns(queue, some_teams(), {})) {
        RC_ASSERT(queue[t.index].rank >= last);
        last = queue[t.index].rank;
    }
}

/// A team with room on machines for all that its limit allows; time in seconds.
struct Shop {
    struct Running {
        Tier tier;
        Milli cores;
        int until;
    };
    struct Waiting {
        Queued q;
        int since;
        int run;
    };
    Milli limit, live;
    std::vector<Running> running;
    std::vector<Waiting> queue;
    std::size_t next = 0;
    int now = 0;
    std::vector<std::pair<Queued, int>> begun;  // with how long it waited

    Milli used(Tier tier) const {
        Milli sum = 0;
        for (const auto& r : running) sum += r.tier == tier ? r.cores : 0;
        return sum;
    }
    /// Endless work of a tier is a queue that never gets empty.
    void arrive(Tier tier, Milli cores, int run) {
        const auto same = std::count_if(queue.begin(), queue.end(), [&](const Waiting& w) {
            return w.q.tier == tier && w.q.task.cores == cores * kCore;
        });
        if (same >= 8) return;
        queue.push_back({waiting(next++, tier, cores, 0), now, run});
    }
    void second() {
        ++now;
        std::erase_if(running, [this](const Running& r) { return r.until <= now; });
        std::map<Tier, Resources> use{{Tier::Live, {live * kCore, 0, 0}}};
        for (const auto& r : running) use[r.tier].cores += r.cores * kCore;
        std::vector<Queued> asked;
        for (auto& w : queue) {
            w.q.age = (now - w.since) * kSecond;
            asked.push_back(w.q);
        }
        Milli sum = live + used(Tier::Urgent) + used(Tier::Batch);
        for (const auto& t : turns(asked, red(limit, use), {})) {
            auto w = std::find_if(queue.begin(), queue.end(),
                                  [&](const Waiting& x) { return x.q.index == t.index; });
            if (w == queue.end()) continue;  // begun in its turn for being overdue
            const Milli cores = w->q.task.cores / kCore;
            if ((sum + cores) * kCore > t.most_cores) continue;
            sum += cores;
            running.push_back({w->q.tier, cores, now + w->run});
            begun.emplace_back(w->q, now - w->since);
            queue.erase(w);
        }
        RC_ASSERT(sum <= limit);
    }
};

RC_GTEST_PROP(PriorityOverTime, EndlessHighWorkLeavesNormalWorkItsFloor, ()) {
    const Milli rest = *rc::gen::inRange<Milli>(10, 40);
    Shop shop{60 + rest, 60, {}, {}, 0, 0, {}};
    const int longest = 20;
    const Milli floor = rest / 5;
    for (int t = 0; t < 80; ++t) {
        for (int i = 0; i < 5; ++i)
            shop.arrive(Tier::Urgent, *rc::gen::inRange<Milli>(1, 4), *rc::gen::inRange(1, longest + 1));
        shop.arrive(Tier::Batch, 1, *rc::gen::inRange(1, longest + 1));
        shop.arrive(Tier::Batch, 1, *rc::gen::inRange(1, longest + 1));
        shop.second();
        if (t > longest + 1 + rest) RC_ASSERT(shop.used(Tier::Batch) >= std::min<Milli>(floor, 2));
    }
    RC_ASSERT(shop.used(Tier::Urgent) >= rest / 2);
}

RC_GTEST_PROP(PriorityOverTime, LargeNormalWorkBeginsSoonAfterItIsOverdueWhateverElseArrives, ()) {
    const Milli rest = *rc::gen::inRange<Milli>(10, 30);
    Shop shop{60 + rest, 60, {}, {}, 0, 0, {}};
    const int longest = *rc::gen::inRange(5, 30);
    for (int t = 0; t < 320; ++t) {
        for (int i = 0; i < 4; ++i) shop.arrive(Tier::Urgent, 1 + t % 3, 1 + (t * 7 + i) % longest);
        if (t % 3 == 0) shop.arrive(Tier::Batch, 1, 1 + t % longest);
        if (t % 90 == 0) shop.arrive(Tier::Batch, *rc::gen::inRange<Milli>(rest / 2 + 1, rest + 1), longest);
        shop.second();
    }
    int large = 0;
    for (const auto& [q, waited] : shop.begun) {
        if (q.task.cores / kCore <= rest / 2) continue;
        ++large;
        RC_ASSERT(waited <= 120 + 2 * longest + 1);
    }
    RC_ASSERT(large >= 2);
}

}  // namespace
}  // namespace cottonway::test
