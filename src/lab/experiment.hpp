#pragma once
// An experiment: a world as a TOML file describes it, played with one seed after another, every rule of the
// protocol checked as it goes. The same seed gives the same run. All figures are of simulated machines and
// systems; processor time is not charged.

#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <vector>

#include "lab/world.hpp"

namespace cottonway::lab {

/// Jobs of a class, as they come.
struct Load {
    JobSpec job;
    Micros run = 0;
    Micros fetch = 0;
    double per_minute = 0;
    int initial = 0;
    int tasks_low = 1, tasks_high = 1;
};

struct Fault {
    Micros at = 0;
    std::string kind;  // see docs/lab.md
    Micros span = 0;   // how long it lasts, or until a process is back
    Micros apart = 0;  // between the processes' returns
    int node = -1;     // -1: all
    int count = 0;
};

struct Machines {
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
};

struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    int seeds = 1;
    Micros duration = 60 * kSecond;
    int controllers = 3;
    int history = 0;  // jobs that were finished before
    Settings settings;
    std::vector<MachineType> types;
    std::vector<Machines> machines;
    std::vector<Load> loads;
    std::vector<Fault> faults;

    /// Throws std::runtime_error with one line that names the key and the reason.
    static Experiment load(const std::string& path);
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
    std::map<std::string, Times> waits;  // by class: from acceptance to each task's first start
    Times to_active;            // of domains: from the return of their process, or the end of another
    Times to_first_bind;        // from active
    std::size_t most_held = 0;  // domains with machines at one node, 2 s after all were back
    std::size_t launches = 0, stops = 0, orders_again = 0;  // in the first ten seconds of domains
    std::size_t requests_of_starts = 0;  // to the store, of all nodes in the 2 s after all were back
    std::size_t starts_of_all = 0;
    std::map<std::string, std::uint64_t> changes;  // by purpose

    Value value() const;
    std::string table() const;
    std::string csv() const;
};

/// Plays one seed and adds what it shows.
void play(const Experiment& e, std::uint64_t seed, Results& into);

}  // namespace cottonway::lab
