#pragma once
// A scenario: a simulated cluster as a TOML file describes it, run with one seed after another while every
// rule of the protocol is checked. A seed determines the whole run. All figures are those of simulated
// machines and systems; controllers' processor time takes no simulated time.

#include <boost/histogram.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "simulation/simulator.hpp"

namespace cottonway::simulation {

/// The jobs of one class and their arrivals.
struct Workload {
    JobSpec job;
    Micros task_duration = 0;
    Micros image_fetch_time = 0;
    Micros mean_lifetime = 0;  // until its user cancels it, exponentially distributed; 0: never cancelled
    double per_minute = 0;
    Micros arrivals_end = 0;  // 0: at the end of the run
    int initial_jobs = 0;
    int image_count = 5;               // the jobs use these in turn
    int min_tasks = 1, max_tasks = 1;  // uniformly distributed
    /// If `tasks_median` is set, the number of tasks is lognormal instead, with this median and 95th
    /// percentile, clamped to the range above.
    double tasks_median = 0;
    double tasks_p95 = 0;
    /// From `burst_start`, for `burst_duration`, jobs arrive `burst_factor` times as often.
    double burst_factor = 1;
    Micros burst_start = 0, burst_duration = 0;

    int draw_tasks(std::mt19937_64& random) const;
    std::vector<Micros> arrivals(Micros end, std::mt19937_64& random) const;
};

struct Fault {
    Micros start = 0;
    std::string kind;            // see docs/lab.md
    Micros duration = 0;         // or the time until a process is back
    Micros return_interval = 0;  // between the returns of two processes
    int node = -1;               // -1: all
    enum class Target {
        Node,
        Any,
        Leader,
        Busiest
    } target = Target::Node;  // the last three are chosen when the fault begins
    int count = 0;
    int repetitions = 1;
    Micros interval = 0;  // between two repetitions
    std::string zone;
    bool ends_zone = false;            // a lost zone's processes and machines end, instead of being cut off
    double fraction = 0;               // of messages that are repeated or late, or of machines
    Micros max_delay = 0;              // the last of its messages may arrive so long after its end
    bool duplicates_commands = false;  // also commands that were executed
    bool only_answers_lost = false;  // transactions are carried out at once, and only their answers are lost
    bool replays_to_next_leader = false;  // copies of reports are kept until the leader changes

    /// Returns when the effects of the last repetition are over.
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
    int finished_jobs = 0;   // in the history at the start
    int cloud_capacity = 0;  // machines that can still be rented
    Micros min_poll_interval = kSecond;
    Micros max_extra_link_delay = 0;   // of messages
    double fast_boot_rate = 0;         // fraction of the machines that boot within two seconds
    bool limits_state_writes = false;  // the state service refuses writes beyond its rate
    bool checks_acceptance = true;     // the acceptance criteria must hold
    Settings settings;
    std::vector<MachineType> machine_types;
    std::vector<MachineGroup> machine_groups;
    std::vector<Workload> workloads;
    std::vector<Fault> faults;

    /// Throws std::runtime_error with one line that names the key and the reason.
    static Scenario load(const std::string& path);
    /// Returns when the effects of all faults are over.
    Micros faults_end() const;
};

/// A histogram of durations from a millisecond to ten minutes, for percentiles.
class DurationHistogram {
  public:
    void add(Micros duration);
    std::size_t count() const { return count_; }
    /// Returns the upper end of the bin that holds the quantile; 0 if the histogram is empty.
    Micros quantile(double share) const;
    Micros max() const { return max_; }
    void merge(const DurationHistogram& other);

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    decltype(boost::histogram::make_histogram(Axis())) bins_ =
        boost::histogram::make_histogram(Axis(400, 1e3, 600e6));
    std::size_t count_ = 0;
    Micros max_ = 0;
};

/// The results of runs, added up over their seeds.
struct ScenarioResults {
    int runs = 0;
    std::vector<std::string> violations;  // with the seed
    std::size_t jobs_submitted = 0, jobs_accepted = 0, jobs_finished = 0, task_starts = 0,
                unnecessary_starts = 0;
    std::map<std::string, DurationHistogram>
        start_delays;  // by class: from a job's acceptance to each task's first start
    std::map<std::string, ServedShare> within_wait_objective;    // by class: tasks that started in time
    std::map<std::string, DurationHistogram> replica_downtimes;  // by class: of replicas that started again
    DurationHistogram time_to_active;      // of shards, from the return of their node's process
    DurationHistogram time_to_first_bind;  // of shards, from active
    std::size_t max_shards_per_node = 0;   // with machines, 2 s after all processes were back
    std::size_t launches = 0, stops = 0, repeated_orders = 0;  // of shards in their first ten seconds
    /// Requests of all nodes to the state service, from the restart of all until 2 s after all were back.
    std::size_t state_requests_after_restarts = 0;
    std::size_t restarts_of_all = 0;  // times that all processes were restarted
    std::map<std::string, std::uint64_t> changes_by_purpose;
    AcceptanceResult acceptance;

    /// Returns true if no rule of the protocol and no acceptance criterion was violated.
    bool passed() const { return violations.empty() && acceptance.violations.empty(); }
    Json to_json() const;
    std::string table() const;
    std::string csv() const;
};

/// Runs a scenario with one seed and adds its figures to `results`.
void run_scenario(const Scenario& scenario, std::uint64_t seed, ScenarioResults& results);

}  // namespace cottonway::simulation
