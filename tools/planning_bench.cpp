// Measures the time of one planning pass of a shard owner by number of machines and waiting tasks: with
// capacity for all tasks, and with none. The state service and the workers never answer. See
// docs/measurements.md.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <memory>

#include "logging/log.hpp"
#include "shard/shard_owner.hpp"

using namespace cottonway;

namespace {

/// A runtime whose clock is set by hand and whose calls are never answered.
class ManualRuntime : public Runtime {
  public:
    Micros now() override { return now_; }
    Micros listening_time() override { return now_; }
    std::int64_t wall_clock_ms() override { return 1'790'000'000'000 + now_ / kMillisecond; }
    void call(Call, ReplyHandler) override {}
    void after(Micros, std::function<void()>) override {}
    std::mt19937_64& random() override { return random_; }
    void advance(Micros span) { now_ += span; }

  private:
    Micros now_ = kSecond;
    std::mt19937_64 random_{7};
};

class BenchContext : public ShardContext {
  public:
    BenchContext() : settings_(make_settings()), store_(runtime_, settings_) {}
    Runtime& runtime() override { return runtime_; }
    StoreClient& store() override { return store_; }
    const Settings& settings() override { return settings_; }
    const MachineType* machine_type(const std::string&) override { return &type_; }
    void on_ownership_lost(const std::string&) override {}
    void wake() override {}
    Resources available_quota(const std::string&, const std::string&) const override {
        return {kNoLimit, kNoLimit, kNoLimit};
    }
    bool within_guarantee(const std::string&) override { return true; }
    DependencyStatus dependency_status(const std::string&) const override { return {}; }
    bool is_read_by_all(std::uint64_t) const override { return true; }
    void on_job_finalized(const std::string&, const Json&, Revision) override {}
    std::optional<Micros> peer_lease_end(std::size_t) const override { return std::nullopt; }
    void edit_machine(const std::string&, const std::string&, MachineEdit,
                      std::function<void(bool)>) override {}
    void advance(Micros span) { runtime_.advance(span); }

  private:
    static Settings make_settings() {
        Settings settings;
        settings.teams = {{"red", {kNoLimit, kNoLimit, 0}, {kNoLimit, kNoLimit, 0}}};
        settings.objectives = {{"wait", "push", 2 * kSecond}, {"finished", "push", 100 * kSecond}};
        return settings;
    }
    ManualRuntime runtime_;
    Settings settings_;
    StoreClient store_;
    MachineType type_{"small", {16'000, 0, 64'000}, 50'000, 1.0, 1.0, 0.4, 10 * kSecond, {"a", "b"}};
};

/// Returns an owner whose machines have all reported.
std::unique_ptr<ShardOwner> make_owner(BenchContext& context, int machines) {
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
        Report report;
        report.machine = fmt::format("m-{}", i);
        report.type = "small";
        report.zone = i % 2 ? "a" : "b";
        report.session = report.seq = report.token = 1;
        owner->on_report(report, true);
    }
    return owner;
}

/// Adds array jobs of 50 tasks with `cores` cores each; the jobs use five different images.
void add_jobs(ShardOwner& owner, int tasks, int cores, int first_job_number) {
    for (int i = 0; i < tasks / 50; ++i) {
        JobSpec spec;
        spec.ref = fmt::format("req-{}", first_job_number + i);
        spec.job_class = "push";
        spec.team = "red";
        spec.priority_class = PriorityClass::High;
        spec.tasks = 50;
        spec.request = {cores * 1000, 0, cores * 3000};
        spec.spot = true;
        spec.image = fmt::format("push-{}", i % 5);
        spec.image_gb = 500;
        spec.estimated_duration = 30 * kSecond;
        const Json record{{"s", "queued"}, {"k", 50},   {"dom", "d"}, {"d", wire::job_value(spec)},
                          {"at", 0},       {"ps", 100}, {"fd", 0},    {"fr", 0}};
        owner.on_job(spec.ref, RecordLocation::Active, record, 1);
    }
}

void room_for_all(benchmark::State& state) {
    for (auto _ : state) {
        state.PauseTiming();
        BenchContext context;
        auto owner = make_owner(context, static_cast<int>(state.range(0)));
        add_jobs(*owner, static_cast<int>(state.range(1)), 1, 100'000);
        context.advance(kSecond);
        state.ResumeTiming();
        owner->run_pending_work();
        state.PauseTiming();
        owner.reset();
        state.ResumeTiming();
    }
}

void no_room(benchmark::State& state) {
    BenchContext context;
    auto owner = make_owner(context, static_cast<int>(state.range(0)));
    add_jobs(*owner, (static_cast<int>(state.range(0)) + 49) / 50 * 50, 16, 100'000);
    context.advance(kSecond);
    owner->run_pending_work();
    add_jobs(*owner, static_cast<int>(state.range(1)), 1, 200'000);
    for (auto _ : state) {
        context.advance(200 * kMillisecond);
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
