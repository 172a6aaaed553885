#pragma once
// A deterministic simulation around real controllers: fakes of the external systems, a network that delays,
// loses and holds back messages, and users. Every rule of the protocol is checked at each step. A seed
// determines the whole run.

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "controller/controller.hpp"
#include "fakes/fakes.hpp"
#include "simulation/acceptance_checker.hpp"
#include "simulation/consistency_checker.hpp"

namespace cottonway::simulation {

Settings small_cluster_settings();
std::vector<MachineType> small_cluster_machine_types();

class Simulator : public fakes::TaskObserver {
  public:
    explicit Simulator(std::uint64_t seed, Settings settings = small_cluster_settings(),
                       std::vector<MachineType> types = small_cluster_machine_types());
    ~Simulator() override;

    // Simulated time.
    Micros now() const { return now_; }
    void run(Micros span);
    void schedule_at(Micros when, std::function<void()> action);

    // The simulated cluster: controllers ("nodes"), machines and external systems.
    std::string add_machine(const std::string& type, const std::string& zone, bool spot = false);
    /// Starts the controllers. Those in `old` run the previous version, which doesn't announce the newer
    /// format that it can read, until `upgrade`.
    void start_nodes(int count = 3, std::set<int> old = {});
    /// Restarts a controller with the current version.
    void upgrade(int node, Micros back_after);
    /// Ends a controller's process, which starts again after `back_after`.
    void crash(int node, Micros back_after);
    /// Returns nullptr while the process is down.
    Controller* node(int i) { return nodes_[static_cast<std::size_t>(i)].controller.get(); }
    int node_count() const { return static_cast<int>(nodes_.size()); }
    /// Returns the index of the current leader, or -1.
    int leader_node() const;
    /// Returns the index of a node that owns an active shard with machines, or -1.
    int owner_node();
    /// Returns the index of the node whose shards have the most machines, or -1.
    int busiest_node();
    /// Returns a node's active shard that has machines, or nullptr.
    ShardOwner* owner_at(int node);
    fakes::Worker* worker(const std::string& name);
    fakes::StateService& state() { return state_; }
    fakes::Cloud& cloud() { return cloud_; }
    std::vector<std::string> machine_names() const;
    void kill_machine(const std::string& name);
    void set_hung(const std::string& name, bool on);
    /// Freezes a controller's process while its clocks run on: messages to it wait, and all timers that came
    /// due are run when it continues.
    void freeze_process(int node, Micros span);

    // The network. Its hosts are "loom-0" and so on (controllers), "state", "cloud", the machines and
    // "users".
    /// Cuts the link between two hosts in both directions. Messages are held until it is healed.
    void cut_link(const std::string& a, const std::string& b);
    /// Restores a link and delivers the messages that were held.
    void heal_link(const std::string& a, const std::string& b);
    void heal_all_links();
    bool is_link_cut(const std::string& a, const std::string& b) const;
    /// Holds back the next message from one host to another; other messages between them pass.
    void hold_next_message(const std::string& from, const std::string& to);
    /// Delivers all messages that `hold_next_message` held back.
    void release_held_messages();
    /// Holds messages in one direction. No new connection between the two can be opened either.
    void cut_link_one_way(const std::string& from, const std::string& to);
    /// Has the state service answer this node, and no other, with 503.
    void refuse_state_requests(int node, bool on);
    /// Leaves the process without sockets for calls to workers, so that none of its commands is sent. Workers
    /// that have a connection to it continue to report.
    void exhaust_sockets(int node, bool on);
    /// Cuts a controller off from the state service and the other controllers, but not from workers or users.
    void isolate_controller(int node, bool on);
    /// Drops answers and direct commands to a machine. Its reports still arrive.
    void block_messages_to(const std::string& machine, bool on);
    /// Keeps a machine's reports from all controllers. Direct commands still reach it, and their answers
    /// reach the controller that sent them.
    void block_reports_from(const std::string& machine, bool on);
    /// Fraction of the machines rented from now on that boot within two seconds.
    double fast_boot_rate = 0;
    Micros max_extra_link_delay = 0;  // added to the delay of messages between all hosts
    double message_loss_rate = 0;
    double state_answer_loss_rate = 0;
    /// Fraction of all reports, commands, transactions, cloud requests and user requests that arrive a second
    /// time, up to `max_duplicate_delay` later. Nobody waits for the answers to the copies. The protocol's
    /// rules for delayed messages apply to the copies.
    double duplicate_rate = 0;
    Micros max_duplicate_delay = 8 * kSecond;
    /// Fraction of the transactions that get no answer and are carried out 2 to 12 s later, after newer ones,
    /// if their conditions still hold.
    double delayed_write_rate = 0;
    static constexpr Micros kMaxWriteDelay = 12 * kSecond;
    /// Delays the next transaction that writes or deletes a key with this prefix: it gets no answer and is
    /// carried out `after` later, if its conditions still hold. Each call applies to one transaction.
    void delay_next_write(const std::string& prefix, Micros after) {
        write_delays_.emplace_back(prefix, after);
    }
    /// Returns the number of such delays that no transaction has matched yet.
    std::size_t pending_write_delays() const { return write_delays_.size(); }
    /// Fraction of the transactions that are carried out at once but whose answer is lost, while other
    /// controllers read what they wrote. `delay_next_write` with 0 does this to the next transaction on a
    /// key.
    double unanswered_write_rate = 0;
    /// Upper bound of a random extra delay of the state service's answers.
    Micros max_state_answer_delay = 0;
    /// Fraction of the direct commands that get no answer and are executed once, 2 to 16 s later, if token
    /// and session still match.
    double delayed_command_rate = 0;
    static constexpr Micros kMaxCommandDelay = 16 * kSecond;
    /// Fraction of the workers' reports of which a copy arrives at the same node again, between 2 s and two
    /// and a half leases later.
    double late_report_copy_rate = 0;
    static constexpr Micros max_report_copy_delay(Micros lease) { return lease * 5 / 2; }
    /// Fraction of the workers' reports of which a copy is kept until another controller becomes the leader,
    /// or the same one after a restart. The copy then reaches all controllers.
    double replayed_report_rate = 0;
    /// Keeps a copy of a machine's next report in the same way.
    void replay_next_report(const std::string& machine) { replay_requests_.insert(machine); }
    std::size_t pending_report_replays() const { return reports_to_replay_.size(); }
    /// Duplicates also commands that were executed. The protocol has one that must not be executed again: a
    /// launch whose attempt was cleared.
    bool duplicate_commands = false;
    /// Cuts off a zone with its controllers or, if `ends`, ends every process and machine in it.
    void fail_zone(const std::string& zone, bool ends);
    /// Brings a zone back: its controllers at once, and new machines in place of those that ended.
    void restore_zone(const std::string& zone);

    // Users and their jobs.
    /// Returns a small job of team "red" whose name is derived from the number.
    JobSpec make_job(int number, JobKind kind, int tasks, double cores = 1);
    /// Submits a job until it is accepted or refused, then polls it. Its tasks take
    /// `task_duration` each; their image takes `image_fetch_time` to load.
    void submit(const JobSpec& spec, Micros task_duration, Micros image_fetch_time = 200 * kMillisecond,
                bool always_fails = false);
    int preferred_node = -1;             // that users ask while it is up; -1: a random one
    int poll_frequency_factor = 1;       // users poll so many times as often
    Micros min_poll_interval = kSecond;  // the maximum is three times as long
    /// Declares all faults over: from now on accepted jobs must get answered polls and, where there is free
    /// capacity, start.
    void mark_faults_over();
    /// Returns the outcome so far of every accepted job.
    std::vector<JobOutcome> job_outcomes() const;
    /// Returns how many requests a node has sent to the state service.
    std::uint64_t state_requests(int node) const {
        return nodes_[static_cast<std::size_t>(node)].state_requests;
    }
    /// Returns, for each task with its job's class, the time from the acceptance of the job to the task's
    /// first start.
    const std::vector<std::pair<std::string, Micros>>& task_start_delays() const {
        return task_start_delays_;
    }
    /// Returns, for each restart of a replica with its job's class, how long the replica was down.
    const std::vector<std::pair<std::string, Micros>>& replica_downtimes() const {
        return replica_downtimes_;
    }
    /// Returns the number of starts of tasks that `record_running_tasks` had recorded, which needn't have
    /// started again.
    std::size_t unnecessary_starts() const { return unnecessary_starts_; }
    /// Records which tasks are on machines now; a later start of one of them counts as unnecessary.
    void record_running_tasks();
    std::vector<std::string> job_refs() const;
    void cancel(const std::string& ref);
    /// Has users cancel up to `count` running jobs within a fifth of a second: services, and jobs that have
    /// at least half of their run time left. Up to eight of the jobs' machines hang for `hang`. Returns the
    /// jobs.
    std::vector<std::string> cancel_random_jobs(int count, Micros hang);
    /// Fraction of the jobs that their users cancel within 100 ms of their completion.
    double cancel_on_completion_rate = 0;
    /// Runs `query_all_nodes` whenever a job was accepted, has ended or was reported cancelled. A tenth of
    /// the users cancel their job as soon as it is accepted.
    bool query_after_changes = false;
    /// Has a job's user query all nodes, repeat the submission and any cancellation it wanted, several times
    /// within 100 ms.
    void query_all_nodes(const std::string& ref);
    /// Queries a job at one node and submits it there again.
    void query_and_resubmit(const JobSpec& spec, int node);
    /// Has users repeat submissions of unfinished jobs, some with a changed body, cancel jobs that are done,
    /// query jobs that nobody submitted, and submit jobs that fit no machine or lack a field.
    bool send_unusual_requests = false;
    /// Sends a job that must not be accepted to a node until the node answers 400 or 422; -1: to each node.
    void submit_invalid_job(const Json& body, int node = -1);
    /// Returns the checker of all answers to users.
    const ConsistencyChecker& consistency_checker() const { return consistency_checker_; }
    /// Sends a request to a node and runs the simulation until it is answered, for 5 s at most.
    ApiResponse request(int node, const std::string& method, const std::string& path, const Json& body);
    ApiResponse request_raw(int node, const std::string& method, const std::string& path,
                            const std::string& body);
    /// Returns the stage that was last reported to the user of a job: "", "accepted", "done" or "cancelled".
    std::string reported_stage(const std::string& ref) const;
    /// Returns the number of task attempts on machines.
    int running_tasks(const std::string& ref) const;
    std::set<std::string> machines_running(const std::string& ref) const;
    int task_starts(const std::string& ref) const;
    int completed_tasks(const std::string& ref) const;

    /// Called, in order and with the encoded body, for every request that a controller sends (`who`: its
    /// name, `what`: method and path) and for every answer that it gives to a worker or a user (`what`:
    /// status and retry delay).
    using TrafficObserver =
        std::function<void(const std::string& who, const std::string& what, const std::string& body)>;
    TrafficObserver on_traffic;

    // Results.
    std::vector<std::string> violations;  // "rule: what happened"
    std::vector<std::string> event_history;
    /// Adds a line with the simulated time to the event history.
    void record_event(const std::string& line);
    /// Returns the last events, one a line.
    std::string format_history(std::size_t last = 60) const;

    // TaskObserver.
    const fakes::JobInfo* job(const std::string& ref) override;
    void on_task_started(const std::string& machine, const std::string& ref, int task,
                         std::int64_t attempt) override;
    void on_task_stopped(const std::string& machine, const std::string& ref, int task,
                         std::int64_t attempt) override;
    void on_task_completed(const std::string& ref, int task, std::int64_t attempt) override;
    bool is_gang_complete(const std::string& ref, std::int64_t attempt) override;
    bool is_gang_intact(const std::string& ref, std::int64_t attempt) override;

    Settings settings;
    std::mt19937_64 random;

  private:
    class NodeRuntime;
    friend class NodeRuntime;
    struct Node {
        std::shared_ptr<NodeRuntime> runtime;
        std::unique_ptr<Controller> controller;
        bool state_refused = false;
        bool sockets_exhausted = false;
        std::uint64_t invariant_violations = 0;  // reported by its own run-time checks so far
        std::uint64_t state_requests = 0;
        bool runs_old_version = false;
        bool frozen = false;
        std::vector<std::function<void()>> deferred_timers;    // due while it is frozen
        std::vector<std::function<void()>> deferred_messages;  // received while it is frozen
    };
    struct WorkerState {
        std::unique_ptr<fakes::Worker> worker;
        int report_node = 0;
        bool report_in_flight = false;
        bool hung = false;
        bool inbound_blocked = false;
        bool reports_blocked = false;
        Micros next_report_at = 0;
        Micros last_report_at = 0;
        std::uint64_t report_number = 0;
        std::vector<std::function<void()>> deferred_requests;  // received while it hung
    };
    struct JobState {
        fakes::JobInfo info;
        std::string reported_stage;
        Micros cancellation_reported_at = 0;
        bool cancel_requested = false;
        bool poll_scheduled = false;
        std::set<int> completed_tasks;
        int task_starts = 0;
        std::map<std::string, int> tasks_by_zone;  // that are on machines
        Micros accepted_at = 0;
        std::set<int> started_tasks;
        Micros first_started_at = -1, all_started_at = -1, completed_at = -1;
        Micros last_answered_at = 0;    // of its polls
        Micros longest_unanswered = 0;  // between answered polls, since all faults were over
    };
    struct LostZone {
        std::vector<std::pair<std::string, std::string>> links;
        std::vector<std::tuple<std::string, bool>> machines;  // type and spot flag of those that ended
    };

    void send(const std::string& from, const std::string& to, std::function<void()> deliver);
    /// Runs an action in a node's process, once the process is no longer frozen.
    void run_on_node(int node, std::function<void()> action, bool timer = false);
    /// Returns the delay of a transaction that is carried out without an answer (0: at once), or nullopt if
    /// it is answered.
    std::optional<Micros> draw_write_delay(const Json& transaction);
    /// Delivers the reports that were kept for the next leader to all controllers, if the leader in the state
    /// service has changed.
    void replay_reports_to_new_leader();
    /// Schedules `again` as a duplicate, with the probability `duplicate_rate`.
    void duplicate_at_random(std::function<void()> again);
    /// Returns true with this probability, without drawing a number for 0.
    bool happens(double probability) {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random) < probability;
    }
    /// Draws from a uniform distribution.
    Micros random_between(Micros least, Micros most) {
        return least + static_cast<Micros>(random() % static_cast<std::uint64_t>(most - least));
    }
    void heal_link(const std::vector<std::pair<std::string, std::string>>& links);
    /// Returns the time since a job's last answered poll, counted from the end of all faults at the earliest;
    /// 0 while faults last.
    Micros time_unanswered(const JobState& job_state) const;
    void observe_answer(int node, const ApiResponse& response) const;
    void tick();
    /// Returns free capacity, remaining limits and waiting jobs, for StarvationChecker.
    ClusterSnapshot take_snapshot();
    void check_starvation();
    void send_report(const std::string& machine);
    void start_node(int i);
    void boot_machines();
    void try_submit(const std::string& ref);
    void try_cancel(const std::string& ref);
    void schedule_poll(const std::string& ref);
    /// Sends a user's request to a node (-1: one that is up). Calls back once, with status 0 after 5 s.
    void call_as_user(const std::string& method, const std::string& path, const Json& body,
                      std::function<void(ApiResponse)> done, int node = -1);
    /// Sends a request about a job. Its answer is checked and recorded before `done` gets it.
    void query_job(RequestKind kind, const std::string& ref, const Json& body,
                   std::function<void(const ApiResponse&)> done, int node = -1);
    void query_state(const std::string& ref, int node);
    void resubmit(const std::string& ref, const Json& body, int node);
    void send_unusual_request();
    void record_answer(const std::string& ref, Micros sent_at, const Json& body);
    void record_violation(const std::string& rule, const std::string& what);
    const std::string& machine_zone(const std::string& machine) { return machine_zones_[machine]; }
    /// Returns true if the user of the job, or of one that it needs, requested its cancellation.
    bool is_cancel_requested(const std::string& ref) const;
    /// Returns when the cancellation of the job, or of one that it needs, was reported to its user; 0: never.
    Micros cancellation_report_time(const std::string& ref) const;
    Micros draw_delay();

    Micros now_ = 0;
    std::uint64_t last_event_number_ = 0;
    std::map<std::pair<Micros, std::uint64_t>, std::function<void()>> events_;
    fakes::StateService state_;
    fakes::Cloud cloud_;
    std::vector<Node> nodes_;
    std::map<std::string, WorkerState> workers_;
    std::set<std::pair<std::string, std::string>> cut_links_;
    std::set<std::pair<std::string, std::string>> one_way_cuts_;
    std::vector<std::tuple<std::string, std::string, std::function<void()>>> held_by_cuts_;
    std::set<std::pair<std::string, std::string>> hold_requests_;
    std::vector<std::function<void()>> held_messages_;
    std::set<std::string> replay_requests_;
    std::vector<std::string> reports_to_replay_;  // bodies, for the next leader
    std::string last_leader_;
    std::set<std::string> boot_time_drawn_;                     // rented machines
    std::vector<std::pair<std::string, Micros>> write_delays_;  // key prefix and delay
    std::map<std::string, JobState> jobs_;
    ConsistencyChecker consistency_checker_;
    int unusual_jobs_sent_ = 0;  // numbers their names
    std::map<std::pair<std::string, int>, std::map<std::string, std::int64_t>> running_on_;
    std::map<std::string, Resources> team_usage_;
    std::map<std::string, std::string> machine_by_address_;
    std::map<std::string, std::string> machine_zones_;  // including terminated machines
    std::set<std::pair<std::string, std::int64_t>> finished_gangs_;
    std::vector<std::pair<std::string, Micros>> task_start_delays_;
    std::vector<std::pair<std::string, Micros>> replica_downtimes_;
    std::map<std::pair<std::string, int>, Micros> replica_stopped_at_;  // of replicas that are on no machine
    std::set<std::pair<std::string, int>> running_before_restart_;
    std::size_t unnecessary_starts_ = 0;
    Micros faults_over_since_ = -1;
    StarvationChecker starvation_checker_;
    std::map<std::string, LostZone> lost_zones_;
};

}  // namespace cottonway::simulation
