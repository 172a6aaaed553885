// The migration plan: its rules one by one, and random histories by RapidCheck in which owners fail, writes
// are lost or delayed, and tasks stop, vanish and start.

#include "scheduling/migrations.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>

namespace cottonway::test {
namespace {

using namespace scheduling;

constexpr std::int64_t kTimeoutMs = 120'000;

/// A shard with two services of two tasks, an array of three, and a large job that waits for capacity.
class FakeShard : public MigrationPlan::ShardQuery {
  public:
    struct Task {
        std::string machine;
        std::int64_t attempt = 1;
        bool stopping = false;
    };
    std::map<std::string, std::vector<Task>> jobs{{"web", {{"m0"}, {"m1"}}},
                                                  {"api", {{"m1"}, {"m2"}}},
                                                  {"sums", {{"m0"}, {"m0"}, {"m3"}}},
                                                  {"large", {{""}}}};
    std::set<std::string> cancelled_jobs, unusable_machines;

    TaskState task(const std::string& job, int task) const override {
        const Task& found = jobs.at(job).at(static_cast<std::size_t>(task));
        return {true, cancelled_jobs.count(job) > 0, found.machine, found.attempt, found.stopping};
    }
    JobState job(const std::string& ref) const override {
        JobState state{true, cancelled_jobs.count(ref) > 0, ref == "web" || ref == "api", 0};
        for (const Task& each : jobs.at(ref)) state.waiting_tasks += each.machine.empty();
        return state;
    }
    int tasks_on(const std::string& job, const std::string& machine) const override {
        return static_cast<int>(std::count_if(jobs.at(job).begin(), jobs.at(job).end(),
                                              [&](const Task& each) { return each.machine == machine; }));
    }
    bool is_machine_usable(const std::string& machine) const override {
        return !unusable_machines.count(machine);
    }
    Task& task_at(const std::string& job, int task) {
        return jobs.at(job).at(static_cast<std::size_t>(task));
    }
};

policy::Budgets test_budgets(int moves_per_minute = 30) {
    policy::Budgets budgets;
    budgets.moves_per_minute = moves_per_minute;
    return budgets;
}

std::size_t add_balance_move(MigrationPlan& plan, const FakeShard& shard, const std::string& job, int task,
                             const std::string& to, std::int64_t now_ms = 0, int moves_per_minute = 30) {
    return plan.add({{job, task, shard.task(job, task).machine, to, MoveReason::Balance, ""}}, {}, now_ms,
                    test_budgets(moves_per_minute), shard);
}

/// Reserves m0 for the large job, with moves of both tasks of the array that run there.
std::size_t reserve_for_large_job(MigrationPlan& plan, const FakeShard& shard, int moves_per_minute = 30) {
    return plan.add({{"sums", 0, "m0", "m1", MoveReason::MakeRoom, "large"},
                     {"sums", 1, "m0", "", MoveReason::MakeRoom, "large"}},
                    {{"large", "m0", 1}}, 0, test_budgets(moves_per_minute), shard);
}

void store(MigrationPlan& plan) {
    plan.begin_write();
    plan.finish_write(true);
}

TEST(MigrationPlan, NothingIsStoppedOrReservedBeforeItIsStored) {
    FakeShard shard;
    MigrationPlan plan;
    EXPECT_EQ(reserve_for_large_job(plan, shard), 3u);
    EXPECT_TRUE(plan.advance(shard, 0, kTimeoutMs).needs_write);
    plan.begin_write();
    EXPECT_FALSE(plan.advance(shard, 0, kTimeoutMs).needs_write);  // one write at a time
    EXPECT_TRUE(plan.advance(shard, 0, kTimeoutMs).tasks_to_stop.empty());
    plan.finish_write(false);
    EXPECT_TRUE(plan.advance(shard, 0, kTimeoutMs).tasks_to_stop.empty());
    EXPECT_TRUE(plan.reserved_by_machine().empty());
    EXPECT_TRUE(plan.advance(shard, 0, kTimeoutMs).needs_write);
    store(plan);
    EXPECT_EQ(plan.advance(shard, 0, kTimeoutMs).tasks_to_stop.size(), 2u);
    EXPECT_EQ(plan.reserved_by_machine().at("m0").size(), 1u);
    EXPECT_EQ(plan.destination("sums", 0), "m1");
}

TEST(MigrationPlan, ATaskThatWasStartedAgainIsNotMovedAgainByTheNextHolder) {
    FakeShard shard;
    MigrationPlan plan;
    add_balance_move(plan, shard, "web", 0, "m3");
    store(plan);
    const Json stored = plan.to_value();
    // Started again on the machine that it was to leave, because no other one had capacity.
    shard.task_at("web", 0) = {"m0", 2, false};
    EXPECT_TRUE(plan.advance(shard, 0, kTimeoutMs).needs_write);
    EXPECT_TRUE(plan.empty());
    MigrationPlan next;
    ASSERT_TRUE(next.restore(stored));
    EXPECT_TRUE(next.advance(shard, 0, kTimeoutMs).tasks_to_stop.empty());
    EXPECT_TRUE(next.empty());
}

TEST(MigrationPlan, AReservationIsAddedWithAllOfItsMovesOrNotAtAll) {
    FakeShard shard;
    MigrationPlan plan;
    EXPECT_EQ(reserve_for_large_job(plan, shard, 1), 0u);
    EXPECT_TRUE(plan.empty());
    shard.task_at("sums", 1).stopping = true;
    EXPECT_EQ(reserve_for_large_job(plan, shard), 0u);
    EXPECT_TRUE(plan.empty());
}

TEST(MigrationPlan, UnneededReservationIsDroppedWithItsMovesExceptThoseAlreadyStopping) {
    FakeShard shard;
    MigrationPlan plan;
    reserve_for_large_job(plan, shard);
    store(plan);
    shard.task_at("sums", 0).stopping = true;
    shard.cancelled_jobs.insert("large");
    EXPECT_TRUE(plan.advance(shard, 0, kTimeoutMs).tasks_to_stop.empty());
    EXPECT_FALSE(plan.reserved_by_machine().count("m0"));
    ASSERT_EQ(plan.moves().size(), 1u);
    EXPECT_EQ(plan.moves()[0].move.task, 0);  // the stopping task still prefers its destination
}

TEST(MigrationPlan, AnUnusableDestinationIsClearedAndTheMoveContinues) {
    FakeShard shard;
    MigrationPlan plan;
    add_balance_move(plan, shard, "web", 0, "m3");
    store(plan);
    shard.task_at("web", 0).machine = "";
    shard.unusable_machines.insert("m3");
    EXPECT_TRUE(plan.advance(shard, 0, kTimeoutMs).needs_write);
    EXPECT_EQ(plan.destination("web", 0), "");
    EXPECT_FALSE(plan.empty());
}

TEST(MigrationPlan, AServiceHasNoSecondMoveAndNoneWhileATaskIsMissing) {
    FakeShard shard;
    MigrationPlan plan;
    EXPECT_EQ(add_balance_move(plan, shard, "web", 0, "m3"), 1u);
    EXPECT_EQ(add_balance_move(plan, shard, "web", 1, "m3"), 0u);
    EXPECT_EQ(add_balance_move(plan, shard, "web", 0, "m2"), 0u);
    shard.task_at("api", 1).machine = "";
    EXPECT_EQ(add_balance_move(plan, shard, "api", 0, "m3"), 0u);
}

TEST(MigrationPlan, TheBudgetPerMinuteSurvivesAChangeOfHolder) {
    FakeShard shard;
    MigrationPlan plan;
    EXPECT_EQ(add_balance_move(plan, shard, "web", 0, "m3", 0, 1), 1u);
    MigrationPlan next;
    ASSERT_TRUE(next.restore(plan.to_value()));
    EXPECT_EQ(add_balance_move(next, shard, "api", 0, "m3", 59'000, 1), 0u);
    EXPECT_EQ(add_balance_move(next, shard, "api", 0, "m3", 60'000, 1), 1u);
}

TEST(MigrationPlan, TheValueIsBoundedAndADamagedOneGivesAnEmptyPlanToStore) {
    FakeShard shard;
    MigrationPlan plan;
    for (int i = 0; i < 200; ++i)
        plan.add({}, {{"large", "machine-" + std::to_string(i), 1}}, 1'700'000'000'000, test_budgets(),
                 shard);
    EXPECT_LE(plan.to_value().dump().size(), MigrationPlan::kMaxValueBytes);
    EXPECT_GT(plan.reservations().size(), 30u);
    MigrationPlan restored;
    ASSERT_TRUE(restored.restore(plan.to_value()));
    EXPECT_EQ(restored.reservations(), plan.reservations());
    reserve_for_large_job(plan, shard);
    for (const char* text :
         {R"({})", R"({"v":2,"m":[],"g":[]})", R"({"v":1,"m":[["web"]],"g":[]})",
          R"({"v":1,"m":[["web",0,1,"m0","m1",2,"",0]],"g":[]})",
          R"({"v":1,"m":[],"g":[["a","m",1,0,0],["a","m",1,0,0]]})", R"({"v":1,"m":{},"g":[]})"}) {
        EXPECT_FALSE(plan.restore(Json::parse(text))) << text;
        EXPECT_TRUE(plan.empty());
        EXPECT_TRUE(plan.advance(shard, 0, kTimeoutMs).needs_write);
    }
}

// ---------------------------------------------------------------- histories

/// A shard with one owner at a time, and a store that accepts a write only if the record has the revision
/// that the write expects.
class History {
  public:
    void run(int event, unsigned argument) {
        const std::string job = std::array{"web", "api", "sums"}[argument % 3];
        const int task = static_cast<int>(argument / 3 % shard.jobs[job].size());
        const std::string machine = "m" + std::to_string(argument / 9 % 4);
        switch (event) {
            case 0:
                propose({{job, task, shard.task(job, task).machine, machine, MoveReason::Balance, ""}}, {});
                break;
            case 1:
                propose({{"sums", 0, "m0", machine, MoveReason::MakeRoom, "large"},
                         {"sums", 1, "m0", "", MoveReason::MakeRoom, "large"}},
                        {{"large", "m0", 1}});
                break;
            case 2:
            case 3:
            case 4:
                advance();
                break;
            case 5:
                finish_write(true, true);
                break;
            case 6:
                finish_write(false, false);
                break;
            case 7:
                finish_write(true, false);
                break;  // the write is applied, but its answer is lost
            case 8:
                delayed_writes_.push_back(*write_or_invalid());
                finish_write(false, false);
                break;
            case 9:
                if (!delayed_writes_.empty()) {
                    apply(delayed_writes_.back());
                    delayed_writes_.pop_back();
                }
                break;
            case 10:
                change_owner();
                break;
            case 11:
            case 12:
                end_stopping_tasks();
                break;
            case 13:
                start(job, task, machine);
                break;
            case 14:
                shard.task_at(job, task).machine = "", shard.task_at(job, task).stopping = false;
                break;
            case 15:
                if (!shard.unusable_machines.erase(machine)) shard.unusable_machines.insert(machine);
                break;
            case 16:
                shard.task_at("large", 0).machine = shard.task_at("large", 0).machine.empty() ? "m0" : "";
                break;
            case 17:
                now_ms_ += argument % 40'000;
                break;
            case 18:
                if (argument % 5 == 0) shard.cancelled_jobs.insert(argument % 2 ? "large" : job);
                break;
            default:
                break;
        }
        check();
    }

    /// Lets time pass without further events, after which the plan has to be empty in memory and in the
    /// store.
    void quiesce() {
        delayed_writes_.clear();
        for (int i = 0; i < 8; ++i) {
            end_stopping_tasks();
            advance();
            finish_write(true, true);
            now_ms_ += kTimeoutMs / 4;
        }
        RC_ASSERT(plan_.empty());
        MigrationPlan stored;
        if (stored_.has_value()) RC_ASSERT(stored.restore(*stored_));
        RC_ASSERT(stored.empty());
    }

    FakeShard shard;

  private:
    struct Write {
        Json value;
        int expected_revision = 0;
    };
    std::optional<Write> write_or_invalid() { return write_ ? *write_ : Write{Json(), -1}; }

    void propose(const std::vector<Move>& moves, const std::vector<Reservation>& reservations) {
        if (!plan_.add(moves, reservations, now_ms_, test_budgets(5), shard)) return;
        for (const Move& move : moves)
            planned_attempts_.insert({move.job, move.task, shard.task(move.job, move.task).attempt});
    }
    void advance() {
        const MigrationPlan::Actions actions = plan_.advance(shard, now_ms_, kTimeoutMs);
        for (const Move& move : actions.tasks_to_stop) {
            FakeShard::Task& task = shard.task_at(move.job, move.task);
            // A task is stopped only if its move is stored, and only the attempt that the move was planned
            // for.
            MigrationPlan stored;
            RC_ASSERT(stored_ && stored.restore(*stored_));
            RC_ASSERT(stored.stored_move(move.job, move.task) != nullptr);
            RC_ASSERT(stored.stored_move(move.job, move.task)->attempt == task.attempt);
            RC_ASSERT(planned_attempts_.count({move.job, move.task, task.attempt}));
            RC_ASSERT(task.machine == move.from && !task.stopping && !shard.cancelled_jobs.count(move.job));
            task.stopping = true;
        }
        if (!actions.needs_write) return;
        RC_ASSERT(!write_);
        write_ = Write{plan_.to_value(), revision_};
        plan_.begin_write();
    }
    bool apply(const Write& write) {
        if (write.expected_revision != revision_) return false;
        ++revision_;
        stored_ = write.value;
        return true;
    }
    void finish_write(bool reaches_store, bool answer_arrives) {
        if (!write_) return;
        const bool applied = reaches_store && apply(*write_);
        write_.reset();
        plan_.finish_write(applied && answer_arrives);
    }
    void change_owner() {
        write_.reset();
        delayed_writes_.clear();  // refused from now on, because the shard's revision has changed
        plan_ = MigrationPlan();
        if (stored_.has_value()) RC_ASSERT(plan_.restore(*stored_));
    }
    void end_stopping_tasks() {
        for (auto& [ref, tasks] : shard.jobs)
            for (FakeShard::Task& task : tasks)
                if (task.stopping) task = {"", task.attempt, false};
    }
    void start(const std::string& job, int task_index, const std::string& machine) {
        FakeShard::Task& task = shard.task_at(job, task_index);
        if (!task.machine.empty() || shard.cancelled_jobs.count(job)) return;
        const std::string destination = plan_.destination(job, task_index);
        task = {destination.empty() ? machine : destination, task.attempt + 1, false};
    }
    /// Checks that no service has two moves, and that reserved capacity is stored.
    void check() {
        std::map<std::string, int> moves_by_job;
        for (const PlannedMove& planned : plan_.moves()) ++moves_by_job[planned.move.job];
        RC_ASSERT(moves_by_job["web"] <= 1 && moves_by_job["api"] <= 1);
        for (const auto& [machine, reservations] : plan_.reserved_by_machine()) {
            MigrationPlan stored;
            RC_ASSERT(stored_ && stored.restore(*stored_));
            RC_ASSERT(stored.reserved_by_machine().count(machine));
        }
    }

    MigrationPlan plan_;
    std::int64_t now_ms_ = 0;
    std::optional<Json> stored_;
    int revision_ = 0;
    std::optional<Write> write_;
    std::vector<Write> delayed_writes_;
    std::set<std::tuple<std::string, int, std::int64_t>> planned_attempts_;  // that a move was planned for
};

RC_GTEST_PROP(MigrationPlanProperties, TasksAreStoppedOnceAndForStoredMovesOnlyAndThePlanEmpties, ()) {
    using Event = std::pair<int, unsigned>;
    const auto events = *rc::gen::container<std::vector<Event>>(
        rc::gen::pair(rc::gen::inRange(0, 19), rc::gen::inRange(0u, 100'000u)));
    History history;
    for (int i = 0; i < 4; ++i)
        for (const auto& [event, argument] : events) history.run(event, argument + static_cast<unsigned>(i));
    history.quiesce();
}

}  // namespace
}  // namespace cottonway::test
