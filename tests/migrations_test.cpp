// The ledger of moves and gathered room: what it does by itself, and over histories that RapidCheck makes up,
// in which holders end, writes are lost or come late, and tasks stop, vanish and start.

#include "scheduling/migrations.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>

namespace cottonway::test {
namespace {

using namespace scheduling;

constexpr std::int64_t kGiveUp = 120'000;

/// Two services of two tasks, an array of three, and a large job that waits for room.
class Site : public MigrationPlan::ShardQuery {
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
    std::set<std::string> cancelled, down;

    TaskState task(const std::string& job, int task) const override {
        const Task& t = jobs.at(job).at(static_cast<std::size_t>(task));
        return {true, cancelled.count(job) > 0, t.machine, t.attempt, t.stopping};
    }
    JobState job(const std::string& ref) const override {
        JobState state{true, cancelled.count(ref) > 0, ref == "web" || ref == "api", 0};
        for (const Task& t : jobs.at(ref)) state.waiting_tasks += t.machine.empty();
        return state;
    }
    int tasks_on(const std::string& job, const std::string& machine) const override {
        return static_cast<int>(std::count_if(jobs.at(job).begin(), jobs.at(job).end(),
                                              [&](const Task& t) { return t.machine == machine; }));
    }
    bool machine_usable(const std::string& machine) const override { return !down.count(machine); }
    Task& at(const std::string& job, int task) { return jobs.at(job).at(static_cast<std::size_t>(task)); }
};

policy::Budgets budgets(int per_minute = 30) {
    policy::Budgets b;
    b.moves_per_minute = per_minute;
    return b;
}

std::size_t add_balance(MigrationPlan& plan, const Site& site, const std::string& job, int task,
                        const std::string& to, std::int64_t now = 0, int per_minute = 30) {
    return plan.add({{job, task, site.task(job, task).machine, to, MoveReason::Balance, ""}}, {}, now,
                    budgets(per_minute), site);
}

/// Room on m0 for the large job, which both tasks of the array leave.
std::size_t add_room(MigrationPlan& plan, const Site& site, int per_minute = 30) {
    return plan.add({{"sums", 0, "m0", "m1", MoveReason::MakeRoom, "large"},
                     {"sums", 1, "m0", "", MoveReason::MakeRoom, "large"}},
                    {{"large", "m0", 1}}, 0, budgets(per_minute), site);
}

void store(MigrationPlan& plan) {
    plan.begin_write();
    plan.finish_write(true);
}

TEST(Moves, NothingIsStoppedOrKeptBeforeItIsStored) {
    Site site;
    MigrationPlan plan;
    EXPECT_EQ(add_room(plan, site), 3u);
    EXPECT_TRUE(plan.advance(site, 0, kGiveUp).needs_write);
    plan.begin_write();
    EXPECT_FALSE(plan.advance(site, 0, kGiveUp).needs_write);  // one write at a time
    EXPECT_TRUE(plan.advance(site, 0, kGiveUp).tasks_to_stop.empty());
    plan.finish_write(false);
    EXPECT_TRUE(plan.advance(site, 0, kGiveUp).tasks_to_stop.empty());
    EXPECT_TRUE(plan.reserved_by_machine().empty());
    EXPECT_TRUE(plan.advance(site, 0, kGiveUp).needs_write);
    store(plan);
    EXPECT_EQ(plan.advance(site, 0, kGiveUp).tasks_to_stop.size(), 2u);
    EXPECT_EQ(plan.reserved_by_machine().at("m0").size(), 1u);
    EXPECT_EQ(plan.destination("sums", 0), "m1");
}

TEST(Moves, ATaskThatHasStartedAgainIsNotMovedOnceMoreByWhoeverComesNext) {
    Site site;
    MigrationPlan plan;
    add_balance(plan, site, "web", 0, "m3");
    store(plan);
    const Json stored = plan.to_value();
    site.at("web", 0) = {"m0", 2, false};  // back on the machine that it was to leave: nothing else had room
    EXPECT_TRUE(plan.advance(site, 0, kGiveUp).needs_write);
    EXPECT_TRUE(plan.empty());
    MigrationPlan next;
    ASSERT_TRUE(next.restore(stored));
    EXPECT_TRUE(next.advance(site, 0, kGiveUp).tasks_to_stop.empty());
    EXPECT_TRUE(next.empty());
}

TEST(Moves, RoomComesWithAllOfItsMovesOrNotAtAll) {
    Site site;
    MigrationPlan plan;
    EXPECT_EQ(add_room(plan, site, 1), 0u);
    EXPECT_TRUE(plan.empty());
    site.at("sums", 1).stopping = true;
    EXPECT_EQ(add_room(plan, site), 0u);
    EXPECT_TRUE(plan.empty());
}

TEST(Moves, RoomThatNobodyNeedsAnyMoreIsTakenBackButForWhatHasBeenStopped) {
    Site site;
    MigrationPlan plan;
    add_room(plan, site);
    store(plan);
    site.at("sums", 0).stopping = true;
    site.cancelled.insert("large");
    EXPECT_TRUE(plan.advance(site, 0, kGiveUp).tasks_to_stop.empty());
    EXPECT_FALSE(plan.reserved_by_machine().count("m0"));
    ASSERT_EQ(plan.moves().size(), 1u);
    EXPECT_EQ(plan.moves()[0].move.task, 0);  // it still prefers its destination
}

TEST(Moves, ADestinationThatIsGoneIsForgottenAndTheMoveGoesOn) {
    Site site;
    MigrationPlan plan;
    add_balance(plan, site, "web", 0, "m3");
    store(plan);
    site.at("web", 0).machine = "";
    site.down.insert("m3");
    EXPECT_TRUE(plan.advance(site, 0, kGiveUp).needs_write);
    EXPECT_EQ(plan.destination("web", 0), "");
    EXPECT_FALSE(plan.empty());
}

TEST(Moves, AServiceHasNoSecondMoveAndNoneWhileItLacksATask) {
    Site site;
    MigrationPlan plan;
    EXPECT_EQ(add_balance(plan, site, "web", 0, "m3"), 1u);
    EXPECT_EQ(add_balance(plan, site, "web", 1, "m3"), 0u);
    EXPECT_EQ(add_balance(plan, site, "web", 0, "m2"), 0u);
    site.at("api", 1).machine = "";
    EXPECT_EQ(add_balance(plan, site, "api", 0, "m3"), 0u);
}

TEST(Moves, AMinutesBudgetOutlivesItsHolder) {
    Site site;
    MigrationPlan plan;
    EXPECT_EQ(add_balance(plan, site, "web", 0, "m3", 0, 1), 1u);
    MigrationPlan next;
    ASSERT_TRUE(next.restore(plan.to_value()));
    EXPECT_EQ(add_balance(next, site, "api", 0, "m3", 59'000, 1), 0u);
    EXPECT_EQ(add_balance(next, site, "api", 0, "m3", 60'000, 1), 1u);
}

TEST(Moves, AValueIsBoundedAndADamagedOneIsAnEmptyPlanThatIsStoredAnew) {
    Site site;
    MigrationPlan plan;
    for (int i = 0; i < 200; ++i)
        plan.add({}, {{"large", "machine-" + std::to_string(i), 1}}, 1'700'000'000'000, budgets(), site);
    EXPECT_LE(plan.to_value().dump().size(), MigrationPlan::kMaxValueBytes);
    EXPECT_GT(plan.reservations().size(), 30u);
    MigrationPlan same;
    ASSERT_TRUE(same.restore(plan.to_value()));
    EXPECT_EQ(same.reservations(), plan.reservations());
    add_room(plan, site);
    for (const char* text :
         {R"({})", R"({"v":2,"m":[],"g":[]})", R"({"v":1,"m":[["web"]],"g":[]})",
          R"({"v":1,"m":[["web",0,1,"m0","m1",2,"",0]],"g":[]})",
          R"({"v":1,"m":[],"g":[["a","m",1,0,0],["a","m",1,0,0]]})", R"({"v":1,"m":{},"g":[]})"}) {
        EXPECT_FALSE(plan.restore(Json::parse(text))) << text;
        EXPECT_TRUE(plan.empty());
        EXPECT_TRUE(plan.advance(site, 0, kGiveUp).needs_write);
    }
}

// ---------------------------------------------------------------- histories

/// A shard with one holder at a time, and a store that takes writes on the mark of the record only.
class History {
  public:
    void run(int what, unsigned arg) {
        const std::string job = std::array{"web", "api", "sums"}[arg % 3];
        const int task = static_cast<int>(arg / 3 % site.jobs[job].size());
        const std::string machine = "m" + std::to_string(arg / 9 % 4);
        switch (what) {
            case 0:
                propose({{job, task, site.task(job, task).machine, machine, MoveReason::Balance, ""}}, {});
                break;
            case 1:
                propose({{"sums", 0, "m0", machine, MoveReason::MakeRoom, "large"},
                         {"sums", 1, "m0", "", MoveReason::MakeRoom, "large"}},
                        {{"large", "m0", 1}});
                break;
            case 2:
            case 3:
            case 4:
                step();
                break;
            case 5:
                answer(true, true);
                break;
            case 6:
                answer(false, false);
                break;
            case 7:
                answer(true, false);
                break;  // applied, and nobody learns it
            case 8:
                late_.push_back(*this_or_none());
                answer(false, false);
                break;
            case 9:
                if (!late_.empty()) {
                    apply(late_.back());
                    late_.pop_back();
                }
                break;
            case 10:
                take_over();
                break;
            case 11:
            case 12:
                end_stopping();
                break;
            case 13:
                start(job, task, machine);
                break;
            case 14:
                site.at(job, task).machine = "", site.at(job, task).stopping = false;
                break;
            case 15:
                if (!site.down.erase(machine)) site.down.insert(machine);
                break;
            case 16:
                site.at("large", 0).machine = site.at("large", 0).machine.empty() ? "m0" : "";
                break;
            case 17:
                now_ += arg % 40'000;
                break;
            case 18:
                if (arg % 5 == 0) site.cancelled.insert(arg % 2 ? "large" : job);
                break;
            default:
                break;
        }
        check();
    }

    /// Everything comes to rest: what is left of the plan, here and in the store?
    void come_to_rest() {
        late_.clear();
        for (int i = 0; i < 8; ++i) {
            end_stopping();
            step();
            answer(true, true);
            now_ += kGiveUp / 4;
        }
        RC_ASSERT(plan_.empty());
        MigrationPlan left;
        if (stored_.has_value()) RC_ASSERT(left.restore(*stored_));
        RC_ASSERT(left.empty());
    }

    Site site;

  private:
    struct Write {
        Json value;
        int mod_revision = 0;
    };
    std::optional<Write> this_or_none() { return write_ ? *write_ : Write{Json(), -1}; }

    void propose(const std::vector<Move>& moves, const std::vector<Reservation>& gathers) {
        if (!plan_.add(moves, gathers, now_, budgets(5), site)) return;
        for (const Move& m : moves) meant_.insert({m.job, m.task, site.task(m.job, m.task).attempt});
    }
    void step() {
        const MigrationPlan::Actions doing = plan_.advance(site, now_, kGiveUp);
        for (const Move& m : doing.tasks_to_stop) {
            Site::Task& task = site.at(m.job, m.task);
            // Never without its record, only the attempt that was meant, and never two of a service.
            MigrationPlan stored;
            RC_ASSERT(stored_ && stored.restore(*stored_));
            RC_ASSERT(stored.stored_move(m.job, m.task) != nullptr);
            RC_ASSERT(stored.stored_move(m.job, m.task)->attempt == task.attempt);
            RC_ASSERT(meant_.count({m.job, m.task, task.attempt}));
            RC_ASSERT(task.machine == m.from && !task.stopping && !site.cancelled.count(m.job));
            task.stopping = true;
        }
        if (!doing.needs_write) return;
        RC_ASSERT(!write_);
        write_ = Write{plan_.to_value(), mod_revision_};
        plan_.begin_write();
    }
    bool apply(const Write& w) {
        if (w.mod_revision != mod_revision_) return false;
        ++mod_revision_;
        stored_ = w.value;
        return true;
    }
    void answer(bool reaches, bool told) {
        if (!write_) return;
        const bool applied = reaches && apply(*write_);
        write_.reset();
        plan_.finish_write(applied && told);
    }
    void take_over() {
        write_.reset();
        late_.clear();  // what the former holder sent is refused: the shard's mark is another one
        plan_ = MigrationPlan();
        if (stored_.has_value()) RC_ASSERT(plan_.restore(*stored_));
    }
    void end_stopping() {
        for (auto& [ref, tasks] : site.jobs)
            for (Site::Task& t : tasks)
                if (t.stopping) t = {"", t.attempt, false};
    }
    void start(const std::string& job, int task, const std::string& machine) {
        Site::Task& t = site.at(job, task);
        if (!t.machine.empty() || site.cancelled.count(job)) return;
        const std::string to = plan_.destination(job, task);
        t = {to.empty() ? machine : to, t.attempt + 1, false};
    }
    void check() {
        std::map<std::string, int> moves;
        for (const PlannedMove& p : plan_.moves()) ++moves[p.move.job];
        RC_ASSERT(moves["web"] <= 1 && moves["api"] <= 1);
        for (const auto& [machine, gathers] : plan_.reserved_by_machine()) {
            MigrationPlan stored;
            RC_ASSERT(stored_ && stored.restore(*stored_));
            RC_ASSERT(stored.reserved_by_machine().count(machine));
        }
    }

    MigrationPlan plan_;
    std::int64_t now_ = 0;
    std::optional<Json> stored_;
    int mod_revision_ = 0;
    std::optional<Write> write_;
    std::vector<Write> late_;
    std::set<std::tuple<std::string, int, std::int64_t>> meant_;  // attempts that a move was planned for
};

RC_GTEST_PROP(MovesAlways, NothingIsStoppedUnrecordedOrTwiceAndNothingStaysForEver, ()) {
    using Act = std::pair<int, unsigned>;
    const auto acts = *rc::gen::container<std::vector<Act>>(
        rc::gen::pair(rc::gen::inRange(0, 19), rc::gen::inRange(0u, 100'000u)));
    History history;
    for (int i = 0; i < 4; ++i)
        for (const auto& [what, arg] : acts) history.run(what, arg + static_cast<unsigned>(i));
    history.come_to_rest();
}

}  // namespace
}  // namespace cottonway::test
