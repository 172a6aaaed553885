#pragma once
// Dependencies between jobs. A job can start when all of its dependencies are done, it is cancelled when one
// of them is cancelled, and it inherits the priority and the deadline of its dependents. "Done" and
// "cancelled" are final in the store, so every controller derives the same status without any messages. The
// graph holds only unfinished jobs that have dependencies or dependents.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway {

/// Status of a job that follows from its dependencies and its dependents.
struct DependencyStatus {
    bool dependencies_met = true;          // all dependencies of the job are done
    bool cancelled_by_dependency = false;  // a dependency, direct or indirect, is cancelled
    bool has_dependents = false;           // jobs that are not cancelled wait for this one
    std::int64_t dependencies_met_ms = 0;  // when the last dependency was done, 0: there are none
    PriorityClass inherited_priority = PriorityClass::Low;  // the highest priority of the dependents
    std::int64_t inherited_deadline_ms = INT64_MAX;  // when the job must be done to meet their deadlines
};

class DependencyGraph {
  public:
    enum class Outcome { Unknown, Unfinished, Done, Cancelled };
    struct KnownOutcome {
        Outcome outcome = Outcome::Unknown;
        std::int64_t ended_ms = 0;
    };
    using OutcomeLookup = std::function<KnownOutcome(const std::string& ref)>;

    /// Adds an unfinished job when it is first seen.
    void add_job(const JobSpec& spec, std::int64_t submitted_ms, const OutcomeLookup& lookup);
    /// Removes a finished job: done, or cancelled.
    void mark_finished(const std::string& ref, bool done, std::int64_t ended_ms);
    DependencyStatus dependency_status(const std::string& ref) const;
    /// Returns the status that a job would have if it were admitted now.
    static DependencyStatus preview(const JobSpec& spec, const OutcomeLookup& lookup);

    /// Returns dependencies whose outcome is unknown here; their records must be read.
    const std::set<std::string>& unknown_dependencies() const { return unknown_dependencies_; }
    /// Returns whether the job may be cancelled by a dependency without this process knowing: the outcome of
    /// a direct or indirect dependency is unknown, or `is_uncertain` says so.
    bool is_cancellation_uncertain(const std::string& ref,
                                   const std::function<bool(const std::string&)>& is_uncertain) const;
    /// Returns the cancelled dependency that cancelled the job, "": none did.
    std::string cancelling_dependency(const std::string& ref) const;
    /// Returns the dependencies that are not done yet.
    std::vector<std::string> unfinished_dependencies(const std::string& ref) const;

    /// Propagates priorities and deadlines from dependents to their dependencies, if the graph has changed.
    void propagate_priorities();
    /// Returns the jobs whose status has changed since the last call.
    std::set<std::string> take_changed() { return std::exchange(changed_, {}); }
    bool has_changes() const { return !changed_.empty(); }
    /// Returns the jobs that wait for dependencies.
    std::vector<std::string> waiting_jobs() const;

  private:
    struct Node {
        bool added = false;  // by add_job(); false: only known as a dependency
        std::set<std::string> unfinished_dependencies;
        std::set<std::string> dependents;
        bool cancelled_by_dependency = false;
        std::string cancelling_dependency;
        std::int64_t dependencies_met_ms = 0;
        PriorityClass own_priority = PriorityClass::Low;
        std::int64_t own_deadline_ms = INT64_MAX;
        Micros estimate = 0;
        PriorityClass inherited_priority = PriorityClass::Low;
        std::int64_t inherited_deadline_ms = INT64_MAX;
    };
    void cancel_with_dependents(const std::string& ref, const std::string& cancelled_dependency);
    void erase_if_unneeded(const std::string& ref);

    std::map<std::string, Node> nodes_;
    std::set<std::string> unknown_dependencies_;
    std::set<std::string> changed_;
    bool propagation_due_ = false;
};

}  // namespace cottonway
