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
struct Load {
    JobSpec job;
    Micros run = 0;
    Micros fetch = 0;
    Micros lasts = 0;  // on average until its user cancels it; 0: never
    double per_minute = 0;
    Micros until = 0;  // no more come, 0: to the end
    int initial = 0;
    int images = 5;                     // that its jobs take turns with
    int tasks_low = 1, tasks_high = 1;  // evenly, or
    double tasks_median = 0;            // if it is set: lognormal, 95% below `tasks_p95`, within the two
    double tasks_p95 = 0;
    /// From `burst_at`, for `burst_span`, arrivals come `burst` times as often.
    double burst = 1;
    Micros burst_at = 0, burst_span = 0;

    int draw_tasks(std::mt19937_64& random) const;
    std::vector<Micros> arrivals(Micros end, std::mt19937_64& random) const;
};

struct Fault {
    Micros at = 0;
    std::string kind;  // see docs/lab.md
    Micros span = 0;   // how long it lasts, or until a process is back
    Micros apart = 0;  // between the processes' returns
    int node = -1;     // -1: all
    enum class Who { Node, Any, Leader, Busiest } who = Who::Node;  // the last three as of its beginning
    int count = 0;
    int times = 1;
    Micros every = 0;  // between two times
    std::string zone;
    bool ends = false;      // a lost zone ends, instead of being cut off
    double part = 0;        // of messages that are repeated or late, or of machines
    Micros late = 0;        // how much later than its end the last of these messages may arrive
    bool commands = false;  // those that were carried out as well
    bool at_once = false;   // transactions are carried out, and only their answers lost
    bool for_next = false;  // copies of reports are kept for the next leader

    /// When the last of it is over.
    Micros over(int nodes) const;
};

struct Machines {
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
    int history = 0;   // jobs that were finished before
    int capacity = 0;  // machines that the cloud still has to give
    Micros poll_pause = kSecond;
    Micros slow_links = 0;        // messages take up to so much longer
    double swift_boots = 0;       // part of the machines that are up within two seconds
    bool writes_bounded = false;  // the state service refuses what is beyond its rate
    bool acceptance = true;       // whether the rules of acceptance count
    Settings settings;
    std::vector<MachineType> types;
    std::vector<Machines> machines;
    std::vector<Load> loads;
    std::vector<Fault> faults;

    /// Throws std::runtime_error with one line that names the key and the reason.
    static Scenario load(const std::string& path);
    /// When all troubles are over.
    Micros faults_end() const;
};

/// Microseconds, from a millisecond to ten minutes, for percentiles.
class Times {
  public:
    void add(Micros t);
    std::size_t count() const { return count_; }
    /// Upper end of the bin that holds the share; 0 if there is nothing.
    Micros at(double share) const;
    Micros worst() const { return worst_; }
    void merge(const Times& other);

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    decltype(boost::histogram::make_histogram(Axis())) bins_ =
        boost::histogram::make_histogram(Axis(400, 1e3, 600e6));
    std::size_t count_ = 0;
    Micros worst_ = 0;
};

/// What runs have shown, added up over seeds.
struct Results {
    int runs = 0;
    std::vector<std::string> broken;  // rules, with the seed
    std::size_t jobs = 0, accepted = 0, over = 0, starts = 0, started_again = 0;
    std::map<std::string, Times> waits;   // by class: from acceptance to each task's first start
    std::map<std::string, Share> in_aim;  // by class: tasks that started within its wait aim
    std::map<std::string, Times> gaps;    // by class: time without a replica that started again
    Times to_active;            // of shards: from the return of their process, or the end of another
    Times to_first_bind;        // from active
    std::size_t most_held = 0;  // shards with machines at one node, 2 s after all were back
    std::size_t launches = 0, stops = 0, orders_again = 0;  // in the first ten seconds of shards
    std::size_t requests_of_starts = 0;  // to the store, of all nodes in the 2 s after all were back
    std::size_t starts_of_all = 0;
    std::map<std::string, std::uint64_t> changes;  // by purpose
    Acceptance acceptance;

    /// Whether no rule was broken, of the protocol or of acceptance.
    bool fine() const { return broken.empty() && acceptance.broken.empty(); }
    Json value() const;
    std::string table() const;
    std::string csv() const;
};

/// Plays one seed and adds what it shows.
void play(const Scenario& e, std::uint64_t seed, Results& into);

}  // namespace cottonway::simulation
