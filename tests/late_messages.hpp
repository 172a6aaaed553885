#pragma once
// Reports that arrive whenever a test likes, and what became of a machine.

#include <vector>

#include "settled_simulator.hpp"

namespace cottonway::test {

/// A report that is on its way from now on.
inline Json current_report(simulation::Simulator& w, const std::string& machine) {
    return w.worker(machine)->report(w.now());
}

inline void deliver_report(simulation::Simulator& w, int node, const Json& report) {
    const std::string bytes = wire::encode(report);
    if (w.node(node)) w.node(node)->handle_request({"POST", "/v1/report", bytes, false}, [](const auto&) {});
}

inline void deliver_report_to_all(simulation::Simulator& w, const Json& report) {
    for (int i = 0; i < w.node_count(); ++i) deliver_report(w, i, report);
}

inline bool is_leased(simulation::Simulator& w, const std::string& machine) {
    for (int i = 0; i < w.node_count(); ++i)
        if (w.node(i))
            for (const auto& [name, owner] : w.node(i)->owners())
                if (owner && owner->machines().count(machine)) return true;
    return false;
}

inline void cut_from_all_nodes(simulation::Simulator& w, const std::string& machine) {
    for (int i = 0; i < w.node_count(); ++i) w.cut(host(i), machine);
}

/// A service of one task (job 1), whose machine hangs until the task is started elsewhere, and then goes on
/// without it. That machine, and a report of before that shows the task there.
struct RestartedElsewhere {
    std::string machine;
    Json old_report;
};
inline RestartedElsewhere restart_elsewhere(simulation::Simulator& w) {
    w.submit(w.job(1, JobKind::Service, 1), 0);
    w.run(3 * kSecond);
    const std::string machine = *w.machines_of("req-000001").begin();
    const Json running = current_report(w, machine);
    w.hang(machine, true);
    w.run(25 * kSecond);
    w.hang(machine, false);
    w.run(5 * kSecond);
    EXPECT_EQ(w.machines_of("req-000001").count(machine), 0u) << w.story();
    return {machine, running};
}

/// Nothing is returned for being idle.
inline Settings settings_without_idle_return(double cpu_share = 1.0) {
    Settings site = simulation::small_site();
    site.ops.idle_return = 600 * kSecond;
    site.cpu_share = cpu_share;  // where there is little: several shards
    return site;
}

/// Lines of the story that tell this, e.g. starts on a machine.
inline int count_trace_lines(const simulation::Simulator& w, const std::string& what) {
    int n = 0;
    for (const auto& line : w.trace) n += line.find(what) != std::string::npos;
    return n;
}

/// From now until the condition holds, at most so long; what it took.
template <class F>
Micros run_until(simulation::Simulator& w, Micros most, F holds) {
    const Micros from = w.now();
    while (!holds() && w.now() - from < most) w.run(100 * kMillisecond);
    return w.now() - from;
}

}  // namespace cottonway::test
