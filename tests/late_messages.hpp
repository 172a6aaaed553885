#pragma once
// Helpers for tests that deliver reports late or repeatedly and check what becomes of a machine.

#include <vector>

#include "settled_simulator.hpp"

namespace cottonway::test {

/// Returns the report that the machine's worker would send now, to be delivered later.
inline Json current_report(simulation::Simulator& simulator, const std::string& machine) {
    return simulator.worker(machine)->report(simulator.now());
}

inline void deliver_report(simulation::Simulator& simulator, int node, const Json& report) {
    const std::string bytes = wire::encode(report);
    if (simulator.node(node))
        simulator.node(node)->handle_request({"POST", "/v1/report", bytes, false}, [](const auto&) {});
}

inline void deliver_report_to_all(simulation::Simulator& simulator, const Json& report) {
    for (int i = 0; i < simulator.node_count(); ++i) deliver_report(simulator, i, report);
}

inline bool is_leased(simulation::Simulator& simulator, const std::string& machine) {
    for (int i = 0; i < simulator.node_count(); ++i)
        if (simulator.node(i))
            for (const auto& [name, owner] : simulator.node(i)->owners())
                if (owner && owner->machines().count(machine)) return true;
    return false;
}

inline void cut_from_all_nodes(simulation::Simulator& simulator, const std::string& machine) {
    for (int i = 0; i < simulator.node_count(); ++i) simulator.cut_link(host(i), machine);
}

/// A machine that hung until its only task (of service job 1) was restarted on another machine, and an old
/// report of it that still shows the task.
struct RestartedElsewhere {
    std::string machine;
    Json old_report;
};
inline RestartedElsewhere restart_elsewhere(simulation::Simulator& simulator) {
    simulator.submit(simulator.make_job(1, JobKind::Service, 1), 0);
    simulator.run(3 * kSecond);
    const std::string machine = *simulator.machines_running("req-000001").begin();
    const Json old_report = current_report(simulator, machine);
    simulator.set_hung(machine, true);
    simulator.run(25 * kSecond);
    simulator.set_hung(machine, false);
    simulator.run(5 * kSecond);
    EXPECT_EQ(simulator.machines_running("req-000001").count(machine), 0u) << simulator.format_history();
    return {machine, old_report};
}

/// Settings with which no machine is returned to the cloud for being idle.
inline Settings settings_without_idle_return(double cpu_share = 1.0) {
    Settings settings = simulation::small_cluster_settings();
    settings.operators.idle_return_delay = 600 * kSecond;
    settings.cpu_cores = cpu_share;  // a small value spreads the machines over several shards
    return settings;
}

/// Counts the lines of the trace that contain a text, e.g. starts on a machine.
inline int count_trace_lines(const simulation::Simulator& simulator, const std::string& text) {
    int count = 0;
    for (const auto& line : simulator.event_history) count += line.find(text) != std::string::npos;
    return count;
}

/// Runs until the condition holds, for at most `timeout`. Returns how long that took.
template <class Predicate>
Micros run_until(simulation::Simulator& simulator, Micros timeout, Predicate condition) {
    const Micros started_at = simulator.now();
    while (!condition() && simulator.now() - started_at < timeout) simulator.run(100 * kMillisecond);
    return simulator.now() - started_at;
}

}  // namespace cottonway::test
