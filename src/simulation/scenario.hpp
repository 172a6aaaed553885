#pragma once
// An experiment: a world as a TOML file describes it, played with one seed after another, every rule of the
// protocol checked as it goes. The same seed gives the same run. All figures are of simulated machines and
// systems; processor time is not charged.

#include <boost/histogram.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "simulation/simulator.hpp"

namespace cottonway::simulation {

/// Jobs of a class, as they come.
struct Workload {
    JobSpec job;
    Micros task_duration = 0;
    Micros image_fetch_time = 0;
    Micros mean_lifetime = 0;  // on average until its user cancels it; 0: never
    double per_minute = 0;
    Micros arrivals_end = 0;  // no more come, 0: to the end
    int initial_jobs = 0;
    int image_count = 5;               // that its jobs take turns with
    int min_tasks = 1, max_tasks = 1;  // evenly, or
    double tasks_median = 0;           // if it is set: lognormal, 95% below `tasks_p95`, within the two
    double tasks_p95 = 0;
    /// From `burst_at`, for `burst_span`, arrivals come `burst` times as often.
    double burst_factor = 1;
    Micros burst_start = 0, burst_duration = 0;

    int draw_tasks(std::mt19937_64& random) const;
    std::vector<Micros> arrivals(Micros end, std::mt19937_64& random) const;
};

struct Fault {
    Micros start = 0;
    std::string kind;            // see docs/lab.md
    Micros duration = 0;         // how long it lasts, or until a process is back
    Micros return_interval = 0;  // between the processes' returns
    int node = -1;               // -1: all
    enum class Target {
        Node,
        Any,
        Leader,
        Busiest
    } target = Target::Node;  // the last three as of its beginning
    int count = 0;
    int repetitions = 1;
    Micros interval = 0;  // between two times
    std::string zone;
    bool ends_zone = false;               // a lost zone ends, instead of being cut off
    double fraction = 0;                  // of messages that are repeated or late, or of machines
    Micros max_delay = 0;                 // how much later than its end the last of these messages may arrive
    bool duplicates_commands = false;     // those that were carried out as well
    bool only_answers_lost = false;       // transactions are carried out, and only their answers lost
    bool replays_to_next_leader = false;  // copies of reports are kept for the next leader

    /// When the last of it is over.
    Micros end_time(int nodes) const;
};

struct MachineGroup {
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
};

struct Scenario {
    std::string name;
    std::uint64_t seed = 1;
    int seeds = 1;
    Micros duration = 60 * kSecond;
    int controllers = 3;
    int finished_jobs = 0;   // jobs that were finished before
    int cloud_capacity = 0;  // machines that the cloud still has to give
    Micros min_poll_interval = kSecond;
    Micros max_extra_link_delay = 0;   // messages take up to so much longer
    double fast_boot_rate = 0;         // part of the machines that are up within two seconds
    bool limits_state_writes = false;  // the state service refuses what is beyond its rate
    bool checks_acceptance = true;     // whether the rules of acceptance count
    Settings settings;
    std::vector<MachineType> machine_types;
    std::vector<MachineGroup> machine_groups;
    std::vector<Workload> workloads;
    std::vector<Fault> faults;

    /// Throws std::runtime_error with one line that names the key and the reason.
    static Scenario load(const std::string& path);
    /// When all troubles are over.
    Micros faults_end() const;
};

/// Microseconds, from a millisecond to ten minutes, for percentiles.
class DurationHistogram {
  public:
    void add(Micros t);
    std::size_t count() const { return count_; }
    /// Upper end of the bin that holds the share; 0 if there is nothing.
    Micros quantile(double share) const;
    Micros max() const { return worst_; }
    void merge(const DurationHistogram& other);

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    decltype(boost::histogram::make_histogram(Axis())) bins_ =
        boost::histogram::make_histogram(Axis(400, 1e3, 600e6));
    std::size_t count_ = 0;
    Micros worst_ = 0;
};

/// What runs have shown, added up over seeds.
struct ScenarioResults {
    int runs = 0;
    std::vector<std::string> violations;  // rules, with the seed
    std::size_t jobs_submitted = 0, jobs_accepted = 0, jobs_finished = 0, task_starts = 0,
                unnecessary_starts = 0;
    std::map<std::string, DurationHistogram>
        start_delays;  // by class: from acceptance to each task's first start
    std::map<std::string, ServedShare>
        within_wait_objective;  // by class: tasks that started within its wait aim
    std::map<std::string, DurationHistogram>
        replica_downtimes;             // by class: time without a replica that started again
    DurationHistogram time_to_active;  // of shards: from the return of their process, or the end of another
    DurationHistogram time_to_first_bind;  // from active
    std::size_t max_shards_per_node = 0;   // shards with machines at one node, 2 s after all were back
    std::size_t launches = 0, stops = 0, repeated_orders = 0;  // in the first ten seconds of shards
    std::size_t state_requests_after_restarts =
        0;  // to the store, of all nodes in the 2 s after all were back
    std::size_t restarts_of_all = 0;
    std::map<std::string, std::uint64_t> changes_by_purpose;  // by purpose
    AcceptanceResult acceptance;

    /// Whether no rule was broken, of the protocol or of acceptance.
    bool passed() const { return violations.empty() && acceptance.violations.empty(); }
    Json to_json() const;
    std::string table() const;
    std::string csv() const;
};

/// Plays one seed and adds what it shows.
void run_scenario(const Scenario& e, std::uint64_t seed, ScenarioResults& into);

}  // namespace cottonway::simulation
