// Checks every rule of the protocol at each step of simulations with random faults. The seeds are fixed; a
// failure prints its seed and the last events.

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

class ProtocolRules : public testing::TestWithParam<int> {};

/// Every second seed has several shards: its controllers may use too little processor time for one to own all
/// machines.
Settings cluster_settings(int seed) {
    Settings settings = small_cluster_settings();
    if (seed % 3 == 0) {
        settings.max_value_bytes = 1024;
        settings.max_txn_ops = 4;
        settings.next_write_rps = 150;
    }
    if (seed % 2 == 0) settings.cpu_cores = 0.001;
    if (seed % 4 == 0) settings.state_write_rps = 25;
    return settings;
}

TEST_P(ProtocolRules, HoldUnderRandomFaults) {
    Simulator simulator(static_cast<std::uint64_t>(GetParam()), cluster_settings(GetParam()));
    auto draw_below = [&](int n) {
        return static_cast<int>(simulator.random() % static_cast<std::uint64_t>(n));
    };
    const int machines = GetParam() % 2 == 0 ? 12 : 6;
    // With every fifth seed processes restart within a second, while their old keys still exist, often twice
    // in a row, and messages are duplicated.
    const bool fast_restarts = GetParam() % 5 == 0 || std::getenv("WORLD_SWIFT");
    auto draw_restart_delay = [&, draw_below](int span) {
        return static_cast<Micros>(fast_restarts ? 50 + draw_below(950) : 500 + draw_below(span)) *
               kMillisecond;
    };
    if (fast_restarts) simulator.duplicate_rate = 0.05;
    simulator.duplicate_commands = std::getenv("WORLD_COMMANDS") != nullptr;
    for (int i = 0; i < machines; ++i)
        simulator.add_machine(i % 3 == 0 ? "large" : "small", i % 2 ? "a" : "b", i % 6 >= 4);
    simulator.cloud().capacity = 6;
    simulator.message_loss_rate = draw_below(3) == 0 ? 0.01 : 0;
    // Every third seed begins with the previous version, upgrades node by node with crashes in between, and
    // has pipelines only after that. Later its state service lowers its limits.
    const bool has_rolling_upgrade = GetParam() % 3 == 0;
    if (has_rolling_upgrade) {
        simulator.start_nodes(3, {0, 1, 2});
        for (int i = 0; i < 3; ++i)
            simulator.schedule_at((10 + 8 * i) * kSecond, [&simulator, i, draw_restart_delay] {
                simulator.upgrade(i, draw_restart_delay(3000));
            });
        simulator.schedule_at(60 * kSecond, [&simulator] {
            simulator.record_event("the state service lowers its limits");
            simulator.state().limits = {simulator.settings.max_value_bytes, simulator.settings.max_txn_ops,
                                        simulator.settings.next_write_rps};
        });
    } else {
        simulator.start_nodes();
    }
    const Micros end = 150 * kSecond;
    int number = 1;
    // Pipelines: each job is submitted as soon as those that it needs are accepted.
    std::function<void(std::vector<JobSpec>)> submit_chain = [&](std::vector<JobSpec> chain) {
        if (chain.empty()) return;
        const bool ready = std::all_of(
            chain.front().dependencies.begin(), chain.front().dependencies.end(),
            [&](const auto& dependency) { return !simulator.reported_stage(dependency).empty(); });
        if (ready) {
            simulator.submit(chain.front(), static_cast<Micros>(1000 + draw_below(4000)) * kMillisecond,
                             300 * kMillisecond, draw_below(20) == 0);
            if (draw_below(5) == 0)
                simulator.schedule_at(simulator.now() + static_cast<Micros>(draw_below(12000)) * kMillisecond,
                                      [&simulator, ref = chain.front().ref] { simulator.cancel(ref); });
            chain.erase(chain.begin());
        }
        simulator.schedule_at(simulator.now() + 300 * kMillisecond,
                              [&submit_chain, chain] { submit_chain(chain); });
    };
    for (Micros t = (has_rolling_upgrade ? 40 : 6) * kSecond; t < end - 50 * kSecond; t += 7 * kSecond) {
        simulator.schedule_at(t, [&simulator, &number, &submit_chain, draw_below] {
            std::vector<JobSpec> chain;
            for (int i = 0, stages = 2 + draw_below(4); i < stages; ++i) {
                JobSpec spec = simulator.make_job(
                    number++, draw_below(4) == 0 ? JobKind::Gang : JobKind::Array, 1 + draw_below(3));
                spec.priority_class = i + 1 == stages ? PriorityClass::High
                                      : draw_below(2) ? PriorityClass::Low
                                                      : PriorityClass::Normal;
                if (i + 1 == stages) spec.deadline = 40 * kSecond;
                for (const auto& before : chain)
                    if (&before == &chain.back() || draw_below(3) == 0)
                        spec.dependencies.push_back(before.ref);
                chain.push_back(spec);
            }
            submit_chain(chain);
        });
    }
    for (Micros t = 2 * kSecond; t < end; t += static_cast<Micros>(500 + draw_below(3000)) * kMillisecond) {
        simulator.schedule_at(t, [&simulator, &number, draw_below] {
            const JobKind kind = draw_below(4) == 0   ? JobKind::Service
                                 : draw_below(4) == 0 ? JobKind::Gang
                                                      : JobKind::Array;
            JobSpec spec = simulator.make_job(
                number++, kind, 1 + draw_below(kind == JobKind::Service ? 3 : 6), 1 + draw_below(3));
            spec.team = draw_below(3) == 0 ? "blue" : "red";
            spec.priority_class = static_cast<PriorityClass>(draw_below(4));
            // Some jobs are of team "guests", sometimes with many tasks.
            if (draw_below(6) == 0 && kind != JobKind::Service) {
                spec.team = "guests";
                spec.priority_class = PriorityClass::Low;
                if (kind == JobKind::Array && draw_below(3) == 0) spec.tasks = 60;
            }
            spec.spot = kind != JobKind::Service;
            spec.spread = kind == JobKind::Service && spec.tasks > 1;
            spec.one_zone = kind == JobKind::Gang && draw_below(2);
            if (draw_below(3) == 0) spec.checkpoint_interval = 3 * kSecond, spec.save_duration = kSecond;
            spec.request.cores = std::min<Milli>(spec.request.cores, 16'000 / spec.tasks);
            const bool always_fails = draw_below(12) == 0;
            simulator.submit(spec, static_cast<Micros>(2000 + draw_below(9000)) * kMillisecond,
                             static_cast<Micros>(draw_below(1500)) * kMillisecond, always_fails);
            if (draw_below(3) == 0 || kind == JobKind::Service || always_fails)
                simulator.schedule_at(simulator.now() + static_cast<Micros>(draw_below(15000)) * kMillisecond,
                                      [&simulator, ref = spec.ref] { simulator.cancel(ref); });
        });
    }
    for (Micros t = 6 * kSecond; t < end - 40 * kSecond;
         t += static_cast<Micros>(2 + draw_below(9)) * kSecond) {
        simulator.schedule_at(t, [&simulator, draw_below, draw_restart_delay, fast_restarts] {
            const std::string node = "loom-" + std::to_string(draw_below(3));
            const auto names = simulator.machine_names();
            const std::string machine =
                names.empty() ? ""
                              : names[static_cast<std::size_t>(draw_below(static_cast<int>(names.size())))];
            const Micros span = static_cast<Micros>(1 + draw_below(25)) * kSecond;
            switch (draw_below(15)) {
                case 14:
                    simulator.record_event("answers of the state service get lost");
                    simulator.state_answer_loss_rate = 0.3;
                    return simulator.schedule_at(simulator.now() + span,
                                                 [&simulator] { simulator.state_answer_loss_rate = 0; });
                case 10:
                    return simulator.freeze_process(draw_below(3), span);
                case 11:
                    simulator.record_event("users poll 8 times as often");
                    simulator.poll_frequency_factor = 8;
                    return simulator.schedule_at(simulator.now() + span,
                                                 [&simulator] { simulator.poll_frequency_factor = 1; });
                case 12:
                    simulator.cut_link_one_way("state", node);
                    return simulator.schedule_at(simulator.now() + span,
                                                 [&simulator, node] { simulator.heal_link(node, "state"); });
                case 0: {
                    const int i = draw_below(3);
                    if (fast_restarts)
                        simulator.schedule_at(
                            simulator.now() + static_cast<Micros>(draw_below(4000)) * kMillisecond,
                            [&simulator, i, draw_restart_delay] {
                                simulator.crash(i, draw_restart_delay(0));
                            });
                    return simulator.crash(i, draw_restart_delay(6000));
                }
                case 1:
                    for (int i = 0; i < 3; ++i) simulator.crash(i, draw_restart_delay(4000));
                    return;
                case 2:
                    simulator.record_event("state service is down");
                    simulator.state().set_down(true, simulator.now());
                    return simulator.schedule_at(simulator.now() + span, [&simulator] {
                        simulator.record_event("state service is back");
                        simulator.state().set_down(false, simulator.now());
                    });
                case 3:
                    simulator.cut_link(node, "state");
                    return simulator.schedule_at(simulator.now() + span,
                                                 [&simulator, node] { simulator.heal_link(node, "state"); });
                case 4:
                    if (machine.empty()) return;
                    simulator.cut_link(node, machine);
                    return simulator.schedule_at(simulator.now() + span, [&simulator, node, machine] {
                        simulator.heal_link(node, machine);
                    });
                case 5:
                    for (const auto& m : names) simulator.cut_link(node, m);
                    return simulator.schedule_at(simulator.now() + span, [&simulator, node, names] {
                        for (const auto& m : names) simulator.heal_link(node, m);
                    });
                case 6: {
                    const int i = node[5] - '0';
                    simulator.refuse_state_requests(i, true);
                    return simulator.schedule_at(simulator.now() + span, [&simulator, i] {
                        simulator.refuse_state_requests(i, false);
                    });
                }
                case 7:
                    if (machine.empty()) return;
                    simulator.set_hung(machine, true);
                    return simulator.schedule_at(simulator.now() + span, [&simulator, machine] {
                        simulator.set_hung(machine, false);
                    });
                case 8: {  // a node can't reach one of the others
                    const std::string other = "loom-" + std::to_string(draw_below(3));
                    if (other == node) return;
                    simulator.cut_link(node, other);
                    return simulator.schedule_at(simulator.now() + span, [&simulator, node, other] {
                        simulator.heal_link(node, other);
                    });
                }
                case 9: {  // the zones can't reach each other
                    std::vector<std::pair<std::string, std::string>> links;
                    for (int i = 0; i < 3; ++i) {
                        for (const auto& m : names)
                            if (simulator.worker(m)->zone() != (i % 2 ? "b" : "a"))
                                links.emplace_back("loom-" + std::to_string(i), m);
                        if (i != 1) links.emplace_back("loom-1", "loom-" + std::to_string(i));
                    }
                    for (const auto& [a, b] : links) simulator.cut_link(a, b);
                    return simulator.schedule_at(simulator.now() + span, [&simulator, links] {
                        for (const auto& [a, b] : links) simulator.heal_link(a, b);
                    });
                }
                default:
                    if (!machine.empty() && names.size() > 3) simulator.kill_machine(machine);
                    return;
            }
        });
    }
    simulator.run(end);
    simulator.heal_all_links();
    simulator.duplicate_rate = 0;
    // All faults are over by then.
    simulator.schedule_at(simulator.now() + 20 * kSecond, [&simulator] { simulator.mark_faults_over(); });
    simulator.run(100 * kSecond);
    const AcceptanceResult acceptance =
        evaluate_acceptance(simulator.job_outcomes(), simulator.settings.teams, simulator.now());
    EXPECT_LT(acceptance.longest_unanswered, kMaxPollGap) << simulator.format_history(400);
    EXPECT_TRUE(simulator.violations.empty())
        << "seed " << GetParam() << ": " << simulator.violations.front() << "\n"
        << simulator.format_history(400);
    int accepted = 0, finished = 0, started = 0;
    for (int i = 1; i < number; ++i) {
        char ref[32];
        std::snprintf(ref, sizeof ref, "req-%06d", i);
        accepted += simulator.reported_stage(ref) != "";
        finished += simulator.reported_stage(ref) == "done" || simulator.reported_stage(ref) == "cancelled";
        started += simulator.task_starts(ref) > 0;
    }
    // The cluster must have been busy, or nothing was tested.
    EXPECT_GT(accepted, number / 2);
    EXPECT_GT(finished, accepted / 2) << simulator.format_history();
    EXPECT_GT(started, accepted / 4);
}

/// WORLD_SEEDS="100 400" runs these seeds instead of the fixed ones.
std::pair<int, int> seeds() {
    int from = 1, to = 17;
    if (const char* range = std::getenv("WORLD_SEEDS")) std::sscanf(range, "%d %d", &from, &to);
    return {from, to};
}

INSTANTIATE_TEST_SUITE_P(Seeds, ProtocolRules, testing::Range(seeds().first, seeds().second));

}  // namespace
}  // namespace cottonway::test
