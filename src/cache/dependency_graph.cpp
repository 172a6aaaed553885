#include "cache/dependency_graph.hpp"

#include <algorithm>
#include <utility>

namespace cottonway {

namespace {
// What a step takes besides its tasks' run time: binding, launching, fetching the image, telling.
constexpr Micros kStep = 4 * kSecond;

/// The slowest of several tasks, and estimates that are too low.
Micros takes(Micros estimate) {
    return estimate + estimate / 3 + kStep;
}
}  // namespace

DependencyStatus DependencyGraph::preview(const JobSpec& spec, const Lookup& lookup) {
    DependencyStatus s;
    for (const auto& need : spec.dependencies) {
        const Known known = lookup(need);
        if (known.fate == Fate::Cancelled) s.cancelled_by_dependency = true;
        if (known.fate != Fate::Done) s.open = false;
        s.since_ms = std::max(s.since_ms, known.ended_ms);
    }
    if (!s.open) s.since_ms = 0;
    return s;
}

void DependencyGraph::put(const JobSpec& spec, std::int64_t submitted_ms, const Lookup& lookup) {
    const std::string& ref = spec.ref;
    unknown_.erase(ref);
    auto found = nodes_.find(ref);
    if (spec.dependencies.empty() && found == nodes_.end()) return;
    Node& node = nodes_[ref];
    if (std::exchange(node.live, true)) return;
    node.own_rank = spec.priority_class;
    node.own_due_ms = spec.deadline ? submitted_ms + *spec.deadline / kMillisecond : INT64_MAX;
    node.estimate = spec.estimated_duration;
    weigh_due_ = true;
    changed_.insert(ref);
    std::string cancelled;
    for (const auto& need : spec.dependencies) {
        const Known known = lookup(need);
        if (known.fate == Fate::Done) {
            node.since_ms = std::max(node.since_ms, known.ended_ms);
            continue;
        }
        node.waits.insert(need);
        if (known.fate == Fate::Cancelled) {
            cancelled = need;  // over: nothing more will be heard of it
            continue;
        }
        if (known.fate == Fate::Unknown) unknown_.insert(need);
        nodes_[need].dependents.insert(ref);
    }
    if (!cancelled.empty()) orphan(ref, cancelled);
}

void DependencyGraph::orphan(const std::string& ref, const std::string& with) {
    std::vector<std::string> next{ref};
    while (!next.empty()) {
        const std::string name = std::move(next.back());
        next.pop_back();
        Node& node = nodes_[name];
        if (std::exchange(node.cancelled_by_dependency, true)) continue;
        node.with = with;
        changed_.insert(name);
        next.insert(next.end(), node.dependents.begin(), node.dependents.end());
    }
    weigh_due_ = true;
}

void DependencyGraph::over(const std::string& ref, bool done, std::int64_t ended_ms) {
    unknown_.erase(ref);
    auto it = nodes_.find(ref);
    if (it == nodes_.end()) return;
    Node node = std::move(it->second);
    nodes_.erase(it);
    weigh_due_ = true;
    for (const auto& name : node.dependents) {
        Node& d = nodes_[name];
        // One that is cancelled stays in its dependents' way for good.
        if (!done) {
            orphan(name, ref);
            continue;
        }
        d.waits.erase(ref);
        d.since_ms = std::max(d.since_ms, ended_ms);
        if (d.waits.empty()) changed_.insert(name);
    }
    for (const auto& need : node.waits) {
        auto n = nodes_.find(need);
        if (n == nodes_.end()) continue;
        n->second.dependents.erase(ref);
        changed_.insert(need);
        drop_if_idle(need);
    }
}

void DependencyGraph::drop_if_idle(const std::string& ref) {
    auto it = nodes_.find(ref);
    if (it != nodes_.end() && !it->second.live && it->second.dependents.empty()) {
        nodes_.erase(it);
        unknown_.erase(ref);
    }
}

DependencyStatus DependencyGraph::dependency_status(const std::string& ref) const {
    DependencyStatus s;
    auto it = nodes_.find(ref);
    if (it == nodes_.end()) return s;
    const Node& n = it->second;
    s.open = n.waits.empty();
    s.cancelled_by_dependency = n.cancelled_by_dependency;
    s.needed = std::any_of(n.dependents.begin(), n.dependents.end(),
                           [this](const std::string& d) { return !nodes_.at(d).cancelled_by_dependency; });
    s.since_ms = n.since_ms;
    s.rank = n.rank;
    s.due_ms = n.due_ms;
    return s;
}

bool DependencyGraph::unclear(const std::string& ref,
                              const std::function<bool(const std::string&)>& doubted) const {
    auto it = nodes_.find(ref);
    if (it == nodes_.end() || it->second.cancelled_by_dependency) return false;
    // Also through those before it, which wait themselves.
    std::set<std::string> seen;
    std::vector<std::string> next{ref};
    while (!next.empty()) {
        const std::string name = std::move(next.back());
        next.pop_back();
        if (!seen.insert(name).second) continue;
        if (unknown_.count(name) || doubted(name)) return true;
        if (auto n = nodes_.find(name); n != nodes_.end())
            next.insert(next.end(), n->second.waits.begin(), n->second.waits.end());
    }
    return false;
}

std::string DependencyGraph::cancelled_with(const std::string& ref) const {
    auto it = nodes_.find(ref);
    return it == nodes_.end() ? "" : it->second.with;
}

std::vector<std::string> DependencyGraph::waits_for(const std::string& ref) const {
    auto it = nodes_.find(ref);
    if (it == nodes_.end()) return {};
    return {it->second.waits.begin(), it->second.waits.end()};
}

std::vector<std::string> DependencyGraph::waiting() const {
    std::vector<std::string> out;
    for (const auto& [ref, n] : nodes_)
        if (n.live && !n.waits.empty()) out.push_back(ref);
    return out;
}

/// A job can name only jobs that have been accepted before it is, so no job comes to need itself, and those
/// that nothing needs can be weighed first, then what they need, and so on.
void DependencyGraph::weigh() {
    if (!std::exchange(weigh_due_, false)) return;
    std::map<std::string, std::size_t> missing;
    std::vector<std::string> ready;
    for (const auto& [ref, n] : nodes_) {
        missing[ref] = n.dependents.size();
        if (n.dependents.empty()) ready.push_back(ref);
    }
    while (!ready.empty()) {
        const std::string ref = std::move(ready.back());
        ready.pop_back();
        Node& n = nodes_.at(ref);
        PriorityClass rank = PriorityClass::Low;
        std::int64_t due = INT64_MAX;
        for (const auto& name : n.dependents) {
            const Node& d = nodes_.at(name);
            if (d.cancelled_by_dependency) continue;
            rank = std::min({rank, d.rank, d.own_rank});
            const std::int64_t by = std::min(d.due_ms, d.own_due_ms);
            if (by != INT64_MAX) due = std::min(due, by - takes(d.estimate) / kMillisecond);
        }
        if (rank != n.rank || due != n.due_ms) changed_.insert(ref);
        n.rank = rank;
        n.due_ms = due;
        for (const auto& need : n.waits)
            if (auto m = missing.find(need); m != missing.end() && --m->second == 0) ready.push_back(need);
    }
}

}  // namespace cottonway
