#pragma once
// Reports that arrive whenever a test likes, and what became of a machine.

#include <vector>

#include "settled_simulator.hpp"

namespace cottonway::test {

/// A report that is on its way from now on.
inline Json on_its_way(simulation::Simulator& w, const std::string& machine) {
    return w.worker(machine)->report(w.now());
}

inline void arrives(simulation::Simulator& w, int node, const Json& report) {
    const std::string bytes = wire::encode(report);
    if (w.node(node)) w.node(node)->handle({"POST", "/v1/report", bytes, false}, [](const auto&) {});
}

inline void arrives_everywhere(simulation::Simulator& w, const Json& report) {
    for (int i = 0; i < w.node_count(); ++i) arrives(w, i, report);
}

inline bool leased(simulation::Simulator& w, const std::string& machine) {
    for (int i = 0; i < w.node_count(); ++i)
        if (w.node(i))
            for (const auto& [name, owner] : w.node(i)->owners())
                if (owner && owner->machines().count(machine)) return true;
    return false;
}

inline void cut_from_all(simulation::Simulator& w, const std::string& machine) {
    for (int i = 0; i < w.node_count(); ++i) w.cut_link(host(i), machine);
}

/// A service of one task (job 1), whose machine hangs until the task is started elsewhere, and then goes on
/// without it. That machine, and a report of before that shows the task there.
struct Superseded {
    std::string machine;
    Json running;
};
inline Superseded supersede(simulation::Simulator& w) {
    w.submit(w.make_job(1, JobKind::Service, 1), 0);
    w.run(3 * kSecond);
    const std::string machine = *w.machines_running("req-000001").begin();
    const Json running = on_its_way(w, machine);
    w.set_hung(machine, true);
    w.run(25 * kSecond);
    w.set_hung(machine, false);
    w.run(5 * kSecond);
    EXPECT_EQ(w.machines_running("req-000001").count(machine), 0u) << w.format_history();
    return {machine, running};
}

/// Nothing is returned for being idle.
inline Settings patient(double cpu_share = 1.0) {
    Settings site = simulation::small_cluster_settings();
    site.ops.idle_return = 600 * kSecond;
    site.cpu_share = cpu_share;  // where there is little: several shards
    return site;
}

/// Lines of the story that tell this, e.g. starts on a machine.
inline int told_times(const simulation::Simulator& w, const std::string& what) {
    int n = 0;
    for (const auto& line : w.event_history) n += line.find(what) != std::string::npos;
    return n;
}

/// From now until the condition holds, at most so long; what it took.
template <class F>
Micros until(simulation::Simulator& w, Micros most, F holds) {
    const Micros from = w.now();
    while (!holds() && w.now() - from < most) w.run(100 * kMillisecond);
    return w.now() - from;
}

}  // namespace cottonway::test
