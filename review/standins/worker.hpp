#pragma once
// A worker of the protocol page, without I/O: tasks of arrays, gangs and services, image fetches, sessions
// and tokens. Results of completed tasks are kept outside the machine, as the page says of `done`.

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/runtime.hpp"
#include "protocol/protocol.hpp"

namespace review {

/// What a job's tasks do on a machine.
struct JobPlan {
    cottonway::JobSpec spec;
    double run_s = 1;    // of a task; services run until they are stopped
    double vary = 0;     // run times differ by up to this fraction, by task
    double fetch_s = 0;  // of the image, on a machine that does not have it
};

/// What all workers share: the jobs that users uploaded, and the results that are kept.
class Jobs {
  public:
    virtual ~Jobs() = default;
    std::map<std::string, JobPlan> plans;
    std::set<std::pair<std::string, int>> results;
    virtual void on_task_on_machine(const std::string& machine, const std::string& job, int task,
                                    std::int64_t attempt) = 0;
    virtual void on_task_off_machine(const std::string& machine, const std::string& job, int task,
                                     std::int64_t attempt, const std::string& why) = 0;
    virtual void on_session(const std::string& machine, std::uint64_t session, std::size_t killed) = 0;
    const JobPlan* plan(const std::string& job) const {
        auto found = plans.find(job);
        return found == plans.end() ? nullptr : &found->second;
    }
};

class Worker {
  public:
    using Micros = cottonway::Micros;
    using Json = cottonway::Json;
    Worker(std::string name, std::string addr, cottonway::MachineType type, std::string zone, bool spot,
           Micros lease, Jobs& jobs, Micros now)
        : name_(std::move(name)),
          addr_(std::move(addr)),
          type_(std::move(type)),
          zone_(std::move(zone)),
          spot_(spot),
          lease_(lease),
          jobs_(jobs),
          lease_began_(now) {}

    void advance(Micros now);
    Json report(Micros now);
    /// An answer to the report sent at `sent_at` in `session`.
    void on_answer(const Json& body, std::uint64_t session, Micros sent_at, Micros now);
    cottonway::Reply handle(const std::string& method, const std::string& path, const Json& body, Micros now);
    /// The machine is gone.
    void remove();
    const std::string& name() const { return name_; }
    const std::string& addr() const { return addr_; }
    std::uint64_t session() const { return session_; }
    std::uint64_t token() const { return token_; }
    double free_cores() const { return static_cast<double>(type_.size.cores - used_.cores) / 1000; }
    std::size_t listed() const { return tasks_.size(); }
    bool has_changes = false;

  private:
    using Key = std::tuple<std::string, int, std::int64_t>;
    struct Task {
        std::string state = "pulling", cause;
        bool on_machine = false;
        Micros since = 0, run_time = 0;
    };
    void execute(const Json& orders, Micros now);
    void exit(const Key& key, Task& task, const std::string& cause);
    void kill_all(const std::string& why);
    bool fits(const JobPlan& plan) const;

    std::string name_, addr_;
    cottonway::MachineType type_;
    std::string zone_;
    bool spot_;
    Micros lease_;
    Jobs& jobs_;
    Micros lease_began_;
    std::uint64_t session_ = 1, tally_ = 0, token_ = 0;
    std::map<Key, Task> tasks_;
    cottonway::Resources used_;
    std::map<std::string, Micros> images_;  // by name, when it is or will be there
};

}  // namespace review
