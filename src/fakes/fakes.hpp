#pragma once
// Fakes of the external systems, written from their published protocols: the state service, the cloud and the
// workers. They are state machines without I/O: the simulator connects them through a simulated network, and
// cottonway-standins and the soak test serve them on loopback.

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

/// The state service: a key-value store with revisions, transactions, leases and watches. A watch without
/// events gives no reply; the caller repeats it until the `block_ms` of the request are over.
class StateService {
  public:
    Reply handle(const std::string& method, const std::string& path, const Json& body, Micros now);
    /// Returns the reply to a watch, or nullopt while the watch blocks: it has no events, and its deadline is
    /// not reached. The reply is 410 if events since the requested revision are no longer kept.
    std::optional<Reply> watch(const std::string& path, bool deadline_reached);
    /// Returns the `block_ms` of a watch request.
    static Micros block_time(const std::string& path);
    /// Starts or ends an outage. When it ends, every lease lasts for its full TTL again.
    void set_down(bool down, Micros now);
    /// Removes expired leases and the keys attached to them.
    void expire_leases(Micros now);
    bool down() const { return down_; }
    /// Stores a record directly, without an event and without regard to the limits; for initial data.
    void put(const std::string& key, Json value) { items_[key] = {std::move(value), store_revision_, 0}; }
    /// Limits on requests. A larger value or transaction is answered 400, writes beyond the rate 429. They
    /// may be lowered at any time.
    struct Limits {
        std::size_t value_bytes = 64 * 1024;
        std::size_t txn_ops = 1000;
        double write_rps = 0;  // 0: unlimited
    };
    Limits limits;

  private:
    struct Item {
        Json value;
        std::uint64_t mod_revision = 0;
        std::uint64_t lease_id = 0;
    };
    struct Lease {
        Micros ttl = 0;
        Micros expires_at = 0;
    };
    struct Event {
        std::string key;
        Json value;  // null: the key was deleted
        std::uint64_t mod_revision = 0;
    };
    Reply commit(const Json& body, Micros now);
    void revoke_lease(std::uint64_t id);
    void record_event(const std::string& key, const Json& value);

    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Event> events_;
    std::uint64_t store_revision_ = 1;
    std::uint64_t next_lease_id_ = 1;
    bool down_ = false;
    double write_budget_ = 0;
    Micros write_budget_updated_at_ = 0;
};

/// Adds records of `jobs` finished jobs, in the form in which controllers store them.
void add_finished_jobs(StateService& state, int jobs);

/// A job as its tasks on the worker see it.
struct JobInfo {
    JobSpec spec;
    Micros run_time = 0;
    Micros image_fetch_time = 0;  // on any machine; -1: image size over the machine's fetch rate
    bool always_fails = false;    // its tasks fail on every machine
};

/// Tells the workers about jobs and gangs, and is notified when their tasks start and stop.
class TaskObserver {
  public:
    virtual ~TaskObserver() = default;
    /// Returns nullptr if the job is unknown.
    virtual const JobInfo* job(const std::string& ref) = 0;
    /// Called when a task's image has been fetched and the task starts on the machine.
    virtual void on_task_started(const std::string& machine, const std::string& job, int task,
                                 std::int64_t attempt) = 0;
    /// Called when a task no longer runs on the machine, for whatever reason.
    virtual void on_task_stopped(const std::string& machine, const std::string& job, int task,
                                 std::int64_t attempt) = 0;
    /// Called when a task has completed; its result is kept.
    virtual void on_task_completed(const std::string& job, int task, std::int64_t attempt) = 0;
    /// Returns true once every task of the gang's attempt has started on some machine.
    virtual bool is_gang_complete(const std::string& job, std::int64_t attempt) = 0;
    /// Returns false once a task of the gang's attempt has stopped before the gang finished.
    virtual bool is_gang_intact(const std::string& job, std::int64_t attempt) = 0;
};

/// A worker: runs tasks on one machine as long as its session's lease lasts.
class Worker {
  public:
    Worker(std::string name, std::string addr, MachineType type, std::string zone, bool spot, Micros lease,
           Micros gang_wait, TaskObserver& observer, Micros now);
    ~Worker();

    /// Handles POST /do and GET /show.
    Reply handle(const std::string& method, const std::string& path, const Json& body, Micros now);
    /// Returns the body of a heartbeat report and clears has_unreported_changes.
    Json report(Micros now);
    /// Takes the answer to a report that was sent at `sent_at` in session `session_at_send`: renews the lease
    /// from `sent_at` on and executes the orders.
    void on_report_answered(const Json& body, std::uint64_t session_at_send, Micros sent_at, Micros now);
    /// Advances lease, image fetches and tasks to `now`.
    void advance(Micros now);
    /// Kills all tasks and starts a new session if the lease has expired. A machine that hangs does only
    /// this.
    void expire_session(Micros now);
    void kill_all_tasks();
    /// Returns job and index of every task that occupies resources here, which is every task that has not
    /// exited.
    std::vector<std::pair<std::string, int>> occupying_tasks() const;

    std::uint64_t session() const { return session_; }
    std::uint64_t token() const { return token_; }
    const std::string& name() const { return name_; }
    const std::string& addr() const { return addr_; }
    const MachineType& type() const { return type_; }
    const std::string& zone() const { return zone_; }
    bool spot() const { return spot_; }
    /// When the cloud takes this spot machine back; set once that is announced.
    std::optional<Micros> reclaim_deadline;
    bool faulty = false;  // every task that runs here fails
    bool has_unreported_changes = false;

  private:
    struct Task {
        std::string job;
        int index = 0;
        std::int64_t attempt = 0;
        Phase phase = Phase::Fetching;
        const char* cause = "";
        Micros phase_since = 0;
        bool on_machine = false;
    };
    void execute_orders(const Json& orders, Micros now);
    void exit(Task& task, const char* cause);
    /// Advances the fetches of images that tasks wait for; they share the machine's fetch rate equally.
    void advance_image_fetches(Micros now);
    bool has_image(const JobSpec& spec) const;
    /// Puts a fetched image into the cache, or marks it as used now; evicts the least recently used images
    /// while the cache exceeds its size.
    void mark_image_used(const JobSpec& spec, Micros now);

    std::string name_, addr_;
    MachineType type_;
    std::string zone_;
    bool spot_;
    Micros lease_duration_, gang_wait_;
    TaskObserver& observer_;
    std::uint64_t session_ = 1, report_sequence_ = 0, token_ = 0;
    Micros lease_started_at_;
    std::vector<Task> tasks_;
    struct Image {
        double size_gb = 0;
        double gb_left = 0;  // not yet fetched
        Micros last_used_at = 0;
    };
    std::map<std::string, Image> images_;
    Micros fetches_advanced_at_ = 0;
    std::set<std::string> completed_tasks_;
};

/// The cloud that machines are rented from.
class Cloud {
  public:
    struct Machine {
        CloudMachine info;
        Micros rented_at = 0;
        Micros boot_ends_at = 0;
        bool booted = false;
        bool listed = false;
        Micros deleted_at = 0;  // 0: not deleted
    };
    explicit Cloud(std::vector<MachineType> types) : types_(std::move(types)) {}

    Reply handle(const std::string& method, const std::string& path, const Json& body, Micros now);
    std::string rent_machine(const std::string& type, const std::string& zone, bool spot, Micros now,
                             Micros boot);
    std::map<std::string, Machine>& machines() { return machines_; }
    const std::vector<MachineType>& types() const { return types_; }
    const MachineType* type(const std::string& name) const;
    std::function<void(const std::string&)> on_delete;  // called with the name of each machine to delete
    int capacity = 1000;                                // machines that can still be rented
    bool down = false;
    std::string machine_name_prefix = "n-";
    /// Age of the list of machines: between this and twice this. New machines are missing from it until then,
    /// and deleted ones still appear. A machine that was listed once stays listed until it is deleted.
    Micros list_lag = 0;
    /// Returns the rentals that were carried out: the request's name, with the names of the machines it got.
    const std::map<std::string, std::vector<std::string>>& rentals() const { return rentals_by_request_; }

  private:
    /// Appends a machine as the cloud knew it at `as_of` to the list, if it was listed then.
    void append_to_list(const std::string& name, Machine& machine, Micros as_of, Json& list) const;

    std::vector<MachineType> types_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, Machine> deleted_machines_;  // may still be listed; see list_lag
    std::minstd_rand random_;
    std::map<std::string, std::vector<std::string>> rentals_by_request_;
    int next_machine_number_ = 1;
};

}  // namespace cottonway::fakes
