// What a pass of planning costs one owner, by machines and waiting tasks: with room for all of them, and with
// none. The store and the workers never answer. See docs/measurements.md.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <memory>

#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

using namespace cottonway;

namespace {

/// A clock that is set by hand, and calls that nobody answers.
class StillRuntime : public Runtime {
  public:
    Micros now() override { return now_; }
    Micros listening_time() override { return now_; }
    std::int64_t wall_clock_ms() override { return 1'790'000'000'000 + now_ / kMillisecond; }
    void call(Call, ReplyHandler) override {}
    void after(Micros, std::function<void()>) override {}
    std::mt19937_64& random() override { return random_; }
    void pass(Micros span) { now_ += span; }

  private:
    Micros now_ = kSecond;
    std::mt19937_64 random_{7};
};

class Context : public ShardContext {
  public:
    Context() : settings_(site()), store_(runtime_, settings_) {}
    Runtime& runtime() override { return runtime_; }
    StoreClient& store() override { return store_; }
    const Settings& settings() override { return settings_; }
    const MachineType* machine_type(const std::string&) override { return &type_; }
    void on_ownership_lost(const std::string&) override {}
    void wake() override {}
    Resources quota_share(const std::string&, const std::string&) const override {
        return {kNoLimit, kNoLimit, kNoLimit};
    }
    bool within_guarantee(const std::string&) override { return true; }
    DependencyStatus dependency_status(const std::string&) const override { return {}; }
    bool all_can_read(std::uint64_t) const override { return true; }
    void on_job_finalized(const std::string&, const Json&, Revision) override {}
    std::optional<Micros> peer_authority_end(std::size_t) const override { return std::nullopt; }
    void edit_machine(const std::string&, const std::string&, MachineEdit,
                      std::function<void(bool)>) override {}
    void pass(Micros span) { runtime_.pass(span); }

  private:
    static Settings site() {
        Settings s;
        s.teams = {{"red", {kNoLimit, kNoLimit, 0}, {kNoLimit, kNoLimit, 0}}};
        s.objectives = {{"wait", "push", 2 * kSecond}, {"finished", "push", 100 * kSecond}};
        return s;
    }
    StillRuntime runtime_;
    Settings settings_;
    StoreClient store_;
    MachineType type_{"small", {16'000, 0, 64'000}, 50'000, 1.0, 1.0, 0.4, 10 * kSecond, {"a", "b"}};
};

/// An owner whose machines are all up, each with an image of one of five.
std::unique_ptr<ShardOwner> owner_of(Context& context, int machines) {
    auto owner = std::make_unique<ShardOwner>(context, "d", 1, 0);
    for (int i = 0; i < machines; ++i) {
        Block block;
        block.id = fmt::format("b-{}", i);
        block.shard = "d";
        block.type = "small";
        block.zone = i % 2 ? "a" : "b";
        block.spot = i % 3 == 0;
        block.mod_revision = 1;
        owner->on_machine(block, {fmt::format("m-{}", i), "10.0.0.1:1", 1, false, false});
    }
    owner->activate();
    for (int i = 0; i < machines; ++i) {
        Report r;
        r.machine = fmt::format("m-{}", i);
        r.type = "small";
        r.zone = i % 2 ? "a" : "b";
        r.session = r.seq = r.token = 1;
        owner->on_report(r, true);
    }
    return owner;
}

/// Arrays of fifty tasks, one core each unless `cores` says more.
void add_jobs(ShardOwner& owner, int tasks, int cores, int first) {
    for (int i = 0; i < tasks / 50; ++i) {
        JobSpec s;
        s.ref = fmt::format("req-{}", first + i);
        s.job_class = "push";
        s.team = "red";
        s.priority_class = PriorityClass::High;
        s.tasks = 50;
        s.request = {cores * 1000, 0, cores * 3000};
        s.spot = true;
        s.image = fmt::format("push-{}", i % 5);
        s.image_gb = 500;
        s.estimated_duration = 30 * kSecond;
        const Json record{{"s", "queued"}, {"k", 50},   {"dom", "d"}, {"d", wire::job_value(s)},
                          {"at", 0},       {"ps", 100}, {"fd", 0},    {"fr", 0}};
        owner.on_job(s.ref, RecordLocation::Active, record, 1);
    }
}

void room_for_all(benchmark::State& state) {
    for (auto _ : state) {
        state.PauseTiming();
        Context context;
        auto owner = owner_of(context, static_cast<int>(state.range(0)));
        add_jobs(*owner, static_cast<int>(state.range(1)), 1, 100'000);
        context.pass(kSecond);
        state.ResumeTiming();
        owner->run_pending_work();
        state.PauseTiming();
        owner.reset();
        state.ResumeTiming();
    }
}

void no_room(benchmark::State& state) {
    Context context;
    auto owner = owner_of(context, static_cast<int>(state.range(0)));
    add_jobs(*owner, (static_cast<int>(state.range(0)) + 49) / 50 * 50, 16, 100'000);
    context.pass(kSecond);
    owner->run_pending_work();
    add_jobs(*owner, static_cast<int>(state.range(1)), 1, 200'000);
    for (auto _ : state) {
        context.pass(200 * kMillisecond);
        owner->tick();
    }
}

}  // namespace

BENCHMARK(room_for_all)
    ->Args({453, 1000})
    ->Args({2265, 1000})
    ->Args({2265, 5000})
    ->Unit(benchmark::kMillisecond);
BENCHMARK(no_room)->Args({453, 1000})->Args({2265, 1000})->Args({2265, 5000})->Unit(benchmark::kMillisecond);

int main(int argc, char** argv) {
    start_logging("bench", "error");
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
}
