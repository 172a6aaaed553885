#pragma once
// Which jobs need which. A job's gate opens when all that it needs are done, it is cancelled when one before
// it is, and it is treated with the priority and the deadline of what needs it. Both facts that this rests
// on, done and cancelled, are final in the store, so every controller comes to the same result and none has
// to be told. Knows only jobs that need others or are needed, and that are not over.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/protocol.hpp"

namespace cottonway {

/// How a job stands among those that need one another.
struct DependencyStatus {
    bool dependencies_done = true;          // all that it needs are done
    bool cancelled_by_dependency = false;   // one before it is cancelled
    bool has_dependents = false;            // others wait for it
    std::int64_t dependencies_done_ms = 0;  // when the last job that it needs was done, 0: it needs none
    PriorityClass inherited_priority = PriorityClass::Low;  // the highest of those that need it
    std::int64_t inherited_deadline_ms = INT64_MAX;         // by when it has to be done for the sake of those
};

class DependencyGraph {
  public:
    enum class Outcome { Unknown, Unfinished, Done, Cancelled };
    struct KnownOutcome {
        Outcome outcome = Outcome::Unknown;
        std::int64_t ended_ms = 0;
    };
    using OutcomeLookup = std::function<KnownOutcome(const std::string& ref)>;

    /// A job that is not over, when it is first heard of.
    void add_job(const JobSpec& spec, std::int64_t submitted_ms, const OutcomeLookup& lookup);
    /// A job that is over: done, or cancelled.
    void mark_finished(const std::string& ref, bool done, std::int64_t ended_ms);
    DependencyStatus dependency_status(const std::string& ref) const;
    /// How a job would stand that has not been admitted yet.
    static DependencyStatus preview(const JobSpec& spec, const OutcomeLookup& lookup);

    /// Jobs that are needed and of which nothing is known here: their records must be read.
    const std::set<std::string>& unknown_dependencies() const { return unknown_; }
    /// Whether it is not clear yet if the job is cancelled: something is not known of one before it, or
    /// `doubted` says so.
    bool is_cancellation_uncertain(const std::string& ref,
                                   const std::function<bool(const std::string&)>& doubted) const;
    /// Which cancelled job a job is cancelled with, and what it still waits for.
    std::string cancelling_dependency(const std::string& ref) const;
    std::vector<std::string> unfinished_dependencies(const std::string& ref) const;

    /// Ranks and deadlines flow backwards; to be called now and then.
    void propagate_priorities();
    /// Jobs whose standing has changed since this was last asked.
    std::set<std::string> take_changed() { return std::exchange(changed_, {}); }
    bool has_changes() const { return !changed_.empty(); }
    /// All that wait for others.
    std::vector<std::string> waiting_jobs() const;

  private:
    struct Node {
        bool live = false;  // heard of itself; false: only needed by others
        std::set<std::string> waits;
        std::set<std::string> dependents;
        bool cancelled_by_dependency = false;
        std::string with;  // the cancelled job
        std::int64_t since_ms = 0;
        PriorityClass own_rank = PriorityClass::Low;
        std::int64_t own_due_ms = INT64_MAX;
        Micros estimate = 0;
        PriorityClass rank = PriorityClass::Low;
        std::int64_t due_ms = INT64_MAX;
    };
    void orphan(const std::string& ref, const std::string& with);
    void drop_if_idle(const std::string& ref);

    std::map<std::string, Node> nodes_;
    std::set<std::string> unknown_;
    std::set<std::string> changed_;
    bool weigh_due_ = false;
};

}  // namespace cottonway
