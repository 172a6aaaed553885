#pragma once
// Fakes for the outside systems, written from their published protocol: the state service, the cloud and
// the workers. They are pure state machines; the tests put a simulated network around them, and
// cottonway-standins puts them on loopback for trying things out.

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "protocol/protocol.hpp"

namespace cottonway::fakes {

/// The state service. A watch that has nothing to tell yet gives no reply: ask again until `block_ms` is
/// over.
class StateService {
  public:
    Reply handle(const std::string& method, const std::string& path, const Json& body, Micros now);
    /// The reply to a watch, or nothing while it blocks.
    std::optional<Reply> watch(const std::string& path, bool last);
    static Micros block_time(const std::string& path);
    void set_down(bool down, Micros now);
    void expire_leases(Micros now);
    bool down() const { return down_; }
    /// Puts a record there before anybody looks, beside all limits.
    void put(const std::string& key, Json value) { items_[key] = {std::move(value), store_revision_, 0}; }
    /// What it takes; more is answered 400, and changes beyond the rate 429. They may be lowered at any time.
    struct Limits {
        std::size_t value_bytes = 64 * 1024;
        std::size_t txn_ops = 1000;
        double write_rps = 0;  // 0: any
    };
    Limits limits;

  private:
    struct Item {
        Json value;
        std::uint64_t mod_revision = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        Micros ttl = 0;
        Micros until = 0;
    };
    struct Event {
        std::string key;
        Json value;  // null: dropped
        std::uint64_t mod_revision = 0;
    };
    Reply commit(const Json& body, Micros now);
    void drop_lease(std::uint64_t id);
    void note(const std::string& key, const Json& value);

    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Event> events_;
    std::uint64_t store_revision_ = 1;
    std::uint64_t next_lease_ = 1;
    bool down_ = false;
    double writes_left_ = 0;
    Micros writes_at_ = 0;
};

/// Records of jobs that were finished before anything else, as controllers leave them behind.
void add_finished_jobs(StateService& state, int jobs);

/// What a worker needs to know of a job; users upload it.
struct JobInfo {
    JobSpec spec;
    Micros run_time = 0;
    Micros image_fetch_time =
        0;  // of its image on any machine; -1: as long as its size takes at the machine's rate
    bool always_fails = false;  // submitted with a mistake: fails wherever it starts
};

/// The world that the workers' tasks live in.
class TaskObserver {
  public:
    virtual ~TaskObserver() = default;
    virtual const JobInfo* job(const std::string& ref) = 0;
    /// A task has its image and is on the machine from now on.
    virtual void on_task_started(const std::string& machine, const std::string& job, int task,
                                 std::int64_t attempt) = 0;
    virtual void on_task_stopped(const std::string& machine, const std::string& job, int task,
                                 std::int64_t attempt) = 0;
    /// A task has completed (its result is kept).
    virtual void on_task_completed(const std::string& job, int task, std::int64_t attempt) = 0;
    /// True once every task of the gang's attempt waits or runs somewhere.
    virtual bool is_gang_complete(const std::string& job, std::int64_t attempt) = 0;
    /// False once a task of the gang's attempt is gone.
    virtual bool is_gang_intact(const std::string& job, std::int64_t attempt) = 0;
};

class Worker {
  public:
    Worker(std::string name, std::string addr, MachineType type, std::string zone, bool spot, Micros lease,
           Micros gang_wait, TaskObserver& observer, Micros now);
    ~Worker();

    /// POST /do, GET /show.
    Reply handle(const std::string& method, const std::string& path, const Json& body, Micros now);
    /// A report's body; `sent` is needed when it is answered.
    Json report(Micros now);
    void on_report_answered(const Json& body, std::uint64_t session_then, Micros sent, Micros now);
    void advance(Micros now);
    /// Ends the session if its lease is over; a machine that hangs does no more than that.
    void expire_session(Micros now);
    void kill_all_tasks();
    /// Tasks that take room here: all that have not exited.
    std::vector<std::pair<std::string, int>> occupying_tasks() const;

    std::uint64_t session() const { return session_; }
    std::uint64_t token() const { return token_; }
    const std::string& name() const { return name_; }
    const std::string& addr() const { return addr_; }
    const MachineType& type() const { return type_; }
    const std::string& zone() const { return zone_; }
    bool spot() const { return spot_; }
    std::optional<Micros> reclaim_deadline;
    bool faulty = false;  // whatever starts here fails
    bool has_unreported_changes = false;

  private:
    struct Task {
        std::string job;
        int task = 0;
        std::int64_t attempt = 0;
        Phase phase = Phase::Fetching;
        const char* cause = "";
        Micros since = 0;
        bool on = false;
    };
    void execute(const Json& orders, Micros now);
    void exit(Task& t, const char* cause);
    /// Images that tasks wait for share the machine's rate; the least recently used leave its cache.
    void fetch(Micros now);
    bool has_image(const JobSpec& spec) const;
    void use_image(const JobSpec& spec, Micros now);

    std::string name_, addr_;
    MachineType type_;
    std::string zone_;
    bool spot_;
    Micros lease_, gang_wait_;
    TaskObserver& observer_;
    std::uint64_t session_ = 1, seq_ = 0, token_ = 0;
    Micros leased_from_;
    std::vector<Task> tasks_;
    struct Image {
        double gb = 0;
        double left = 0;  // to be fetched
        Micros used = 0;
    };
    std::map<std::string, Image> images_;
    Micros fetched_at_ = 0;
    std::set<std::string> results_;
};

class Cloud {
  public:
    struct Machine {
        CloudMachine info;
        Micros rented_at = 0;
        Micros boot_ends_at = 0;
        bool booted = false;
        bool listed = false;
        Micros deleted_at = 0;  // 0: it is there
    };
    explicit Cloud(std::vector<MachineType> types) : types_(std::move(types)) {}

    Reply handle(const std::string& method, const std::string& path, const Json& body, Micros now);
    std::string rent_machine(const std::string& type, const std::string& zone, bool spot, Micros now,
                             Micros boot);
    std::map<std::string, Machine>& machines() { return machines_; }
    const std::vector<MachineType>& types() const { return types_; }
    const MachineType* type(const std::string& name) const;
    std::function<void(const std::string&)> on_delete;
    int capacity = 1000;
    bool down = false;
    std::string machine_name_prefix = "n-";  // of machines
    /// A list is as old as this, or up to twice as old: new machines are missing until then, and those that
    /// are gone still appear. Once listed, a machine stays listed until it is gone.
    Micros list_lag = 0;
    /// Names of the rentals that were carried out, with how many machines each got.
    const std::map<std::string, std::vector<std::string>>& rentals() const { return requests_; }

  private:
    void list(const std::string& name, Machine& m, Micros as_of, Json& to) const;

    std::vector<MachineType> types_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, Machine> gone_;  // and maybe still listed
    std::minstd_rand random_;
    std::map<std::string, std::vector<std::string>> requests_;
    int next_ = 1;
};

}  // namespace cottonway::fakes
