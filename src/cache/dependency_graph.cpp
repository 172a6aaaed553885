#include "cache/dependency_graph.hpp"

#include <algorithm>
#include <utility>

namespace cottonway {

namespace {
// Time that a job takes besides the run time of its tasks: binding, launch, image fetch and reporting.
constexpr Micros kTaskOverhead = 4 * kSecond;

/// Adds a third to the estimate, for the slowest of several tasks and for estimates that are too low.
Micros padded_duration(Micros estimate) {
    return estimate + estimate / 3 + kTaskOverhead;
}
}  // namespace

DependencyStatus DependencyGraph::preview(const JobSpec& spec, const OutcomeLookup& lookup) {
    DependencyStatus status;
    for (const auto& dependency : spec.dependencies) {
        const KnownOutcome known = lookup(dependency);
        if (known.outcome == Outcome::Cancelled) status.cancelled_by_dependency = true;
        if (known.outcome != Outcome::Done) status.dependencies_met = false;
        status.dependencies_met_ms = std::max(status.dependencies_met_ms, known.ended_ms);
    }
    if (!status.dependencies_met) status.dependencies_met_ms = 0;
    return status;
}

void DependencyGraph::add_job(const JobSpec& spec, std::int64_t submitted_ms, const OutcomeLookup& lookup) {
    const std::string& ref = spec.ref;
    unknown_dependencies_.erase(ref);
    auto found = nodes_.find(ref);
    if (spec.dependencies.empty() && found == nodes_.end()) return;
    Node& node = nodes_[ref];
    if (std::exchange(node.added, true)) return;
    node.own_priority = spec.priority_class;
    node.own_deadline_ms = spec.deadline ? submitted_ms + *spec.deadline / kMillisecond : INT64_MAX;
    node.estimate = spec.estimated_duration;
    propagation_due_ = true;
    changed_.insert(ref);
    std::string cancelled;
    for (const auto& dependency : spec.dependencies) {
        const KnownOutcome known = lookup(dependency);
        if (known.outcome == Outcome::Done) {
            node.dependencies_met_ms = std::max(node.dependencies_met_ms, known.ended_ms);
            continue;
        }
        node.unfinished_dependencies.insert(dependency);
        if (known.outcome == Outcome::Cancelled) {
            cancelled = dependency;  // it is final, so no update of it follows
            continue;
        }
        if (known.outcome == Outcome::Unknown) unknown_dependencies_.insert(dependency);
        nodes_[dependency].dependents.insert(ref);
    }
    if (!cancelled.empty()) cancel_with_dependents(ref, cancelled);
}

void DependencyGraph::cancel_with_dependents(const std::string& ref,
                                             const std::string& cancelled_dependency) {
    std::vector<std::string> next{ref};
    while (!next.empty()) {
        const std::string name = std::move(next.back());
        next.pop_back();
        Node& node = nodes_[name];
        if (std::exchange(node.cancelled_by_dependency, true)) continue;
        node.cancelling_dependency = cancelled_dependency;
        changed_.insert(name);
        next.insert(next.end(), node.dependents.begin(), node.dependents.end());
    }
    propagation_due_ = true;
}

void DependencyGraph::mark_finished(const std::string& ref, bool done, std::int64_t ended_ms) {
    unknown_dependencies_.erase(ref);
    auto it = nodes_.find(ref);
    if (it == nodes_.end()) return;
    Node node = std::move(it->second);
    nodes_.erase(it);
    propagation_due_ = true;
    for (const auto& name : node.dependents) {
        Node& dependent = nodes_[name];
        // A cancelled dependency stays among the unfinished ones of its dependents: they never start.
        if (!done) {
            cancel_with_dependents(name, ref);
            continue;
        }
        dependent.unfinished_dependencies.erase(ref);
        dependent.dependencies_met_ms = std::max(dependent.dependencies_met_ms, ended_ms);
        if (dependent.unfinished_dependencies.empty()) changed_.insert(name);
    }
    for (const auto& dependency : node.unfinished_dependencies) {
        auto dependency_node = nodes_.find(dependency);
        if (dependency_node == nodes_.end()) continue;
        dependency_node->second.dependents.erase(ref);
        changed_.insert(dependency);
        erase_if_unneeded(dependency);
    }
}

void DependencyGraph::erase_if_unneeded(const std::string& ref) {
    auto it = nodes_.find(ref);
    if (it != nodes_.end() && !it->second.added && it->second.dependents.empty()) {
        nodes_.erase(it);
        unknown_dependencies_.erase(ref);
    }
}

DependencyStatus DependencyGraph::dependency_status(const std::string& ref) const {
    DependencyStatus status;
    auto it = nodes_.find(ref);
    if (it == nodes_.end()) return status;
    const Node& node = it->second;
    status.dependencies_met = node.unfinished_dependencies.empty();
    status.cancelled_by_dependency = node.cancelled_by_dependency;
    status.has_dependents = std::any_of(
        node.dependents.begin(), node.dependents.end(),
        [this](const std::string& dependent) { return !nodes_.at(dependent).cancelled_by_dependency; });
    status.dependencies_met_ms = node.dependencies_met_ms;
    status.inherited_priority = node.inherited_priority;
    status.inherited_deadline_ms = node.inherited_deadline_ms;
    return status;
}

bool DependencyGraph::is_cancellation_uncertain(
    const std::string& ref, const std::function<bool(const std::string&)>& is_uncertain) const {
    auto it = nodes_.find(ref);
    if (it == nodes_.end() || it->second.cancelled_by_dependency) return false;
    // Follows indirect dependencies as well: the direct ones may wait for others.
    std::set<std::string> seen;
    std::vector<std::string> next{ref};
    while (!next.empty()) {
        const std::string name = std::move(next.back());
        next.pop_back();
        if (!seen.insert(name).second) continue;
        if (unknown_dependencies_.count(name) || is_uncertain(name)) return true;
        if (auto waiting_node = nodes_.find(name); waiting_node != nodes_.end())
            next.insert(next.end(), waiting_node->second.unfinished_dependencies.begin(),
                        waiting_node->second.unfinished_dependencies.end());
    }
    return false;
}

std::string DependencyGraph::cancelling_dependency(const std::string& ref) const {
    auto it = nodes_.find(ref);
    return it == nodes_.end() ? "" : it->second.cancelling_dependency;
}

std::vector<std::string> DependencyGraph::unfinished_dependencies(const std::string& ref) const {
    auto it = nodes_.find(ref);
    if (it == nodes_.end()) return {};
    return {it->second.unfinished_dependencies.begin(), it->second.unfinished_dependencies.end()};
}

std::vector<std::string> DependencyGraph::waiting_jobs() const {
    std::vector<std::string> out;
    for (const auto& [ref, node] : nodes_)
        if (node.added && !node.unfinished_dependencies.empty()) out.push_back(ref);
    return out;
}

/// A job can depend only on jobs that were accepted before it, so the graph has no cycles and can be
/// processed in reverse topological order: jobs without dependents first, then their dependencies, and so on.
void DependencyGraph::propagate_priorities() {
    if (!std::exchange(propagation_due_, false)) return;
    std::map<std::string, std::size_t> unprocessed_dependents;
    std::vector<std::string> ready;
    for (const auto& [ref, node] : nodes_) {
        unprocessed_dependents[ref] = node.dependents.size();
        if (node.dependents.empty()) ready.push_back(ref);
    }
    while (!ready.empty()) {
        const std::string ref = std::move(ready.back());
        ready.pop_back();
        Node& node = nodes_.at(ref);
        PriorityClass priority = PriorityClass::Low;
        std::int64_t deadline_ms = INT64_MAX;
        for (const auto& name : node.dependents) {
            const Node& dependent = nodes_.at(name);
            if (dependent.cancelled_by_dependency) continue;
            priority = std::min({priority, dependent.inherited_priority, dependent.own_priority});
            const std::int64_t dependent_deadline_ms =
                std::min(dependent.inherited_deadline_ms, dependent.own_deadline_ms);
            if (dependent_deadline_ms != INT64_MAX)
                deadline_ms = std::min(
                    deadline_ms, dependent_deadline_ms - padded_duration(dependent.estimate) / kMillisecond);
        }
        if (priority != node.inherited_priority || deadline_ms != node.inherited_deadline_ms)
            changed_.insert(ref);
        node.inherited_priority = priority;
        node.inherited_deadline_ms = deadline_ms;
        for (const auto& dependency : node.unfinished_dependencies)
            if (auto count = unprocessed_dependents.find(dependency);
                count != unprocessed_dependents.end() && --count->second == 0)
                ready.push_back(dependency);
    }
}

}  // namespace cottonway
