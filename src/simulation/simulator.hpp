#pragma once
// A simulated world around real controllers: fakes for the outside systems, a network that delays, loses
// and holds messages, and users who check every rule of the protocol as they go. Same seed, same run.

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

    // Time.
    Micros now() const { return now_; }
    void run(Micros span);
    void schedule_at(Micros when, std::function<void()> what);

    // What the world consists of.
    std::string add_machine(const std::string& type, const std::string& zone, bool spot = false);
    /// `old`: nodes that run the version before, which does not say that it reads more, until `upgrade`.
    void start_nodes(int count = 3, std::set<int> old = {});
    void upgrade(int node, Micros back_after);
    void crash(int node, Micros back_after);
    Controller* node(int i) { return nodes_[static_cast<std::size_t>(i)].controller.get(); }
    int node_count() const { return static_cast<int>(nodes_.size()); }
    /// Index of the node that leads, or -1.
    int leader_node() const;
    int owner_node();                // index of a node that holds machines and is active, or -1
    int busiest_node();              // index of the node that holds the most machines, or -1
    ShardOwner* owner_at(int node);  // of the machines that it holds
    fakes::Worker* worker(const std::string& name);
    fakes::StateService& state() { return state_; }
    fakes::Cloud& cloud() { return cloud_; }
    std::vector<std::string> machine_names() const;
    void kill_machine(const std::string& name);
    void set_hung(const std::string& name, bool on);
    /// The process stands still while its clocks run on: what is sent to it waits, and its timers are all due
    /// afterwards.
    void freeze_process(int node, Micros span);

    // The network. Hosts are "loom-0", "state", "cloud", machines' names and "users".
    void cut_link(const std::string& a, const std::string& b);
    void heal_link(const std::string& a, const std::string& b);
    void heal_all_links();
    bool is_link_cut(const std::string& a, const std::string& b) const;
    /// Keeps back the next message from one host to another, whatever else passes between them.
    void hold_next_message(const std::string& from, const std::string& to);
    void release_held_messages();
    /// Messages one way only are held; no new connection comes about either.
    void cut_link_one_way(const std::string& from, const std::string& to);
    /// 503 for this node alone.
    void refuse_state_requests(int node, bool on);
    /// The process has no socket left to call workers with: none of its commands is sent. Workers that have
    /// a connection to it go on reporting.
    void exhaust_sockets(int node, bool on);
    /// The controller loses the state service and the other controllers, not its workers or users.
    void isolate_controller(int node, bool on);
    /// The machine's reports arrive; answers and direct commands to it are lost.
    void block_messages_to(const std::string& machine, bool on);
    /// The machine reaches no controller, while direct commands reach it, and their answers whoever sent
    /// them.
    void block_messages_from(const std::string& machine, bool on);
    /// Part of the machines that are rented from now on and up within two seconds.
    double fast_boot_rate = 0;
    Micros max_extra_link_delay = 0;  // messages between all hosts take up to so much longer
    double message_loss_rate = 0;
    double state_answer_loss_rate = 0;  // of the state service
    /// Part of all reports, commands, changes, rental and users' requests that arrive once more, up to
    /// `repeat_late` later; nobody waits for the answers. What the protocol says of delayed messages holds.
    double duplicate_rate = 0;
    Micros max_duplicate_delay = 8 * kSecond;
    /// Part of the transactions that get no answer and are carried out 2 to 12 s later, after newer ones, if
    /// their conditions still hold.
    double delayed_write_rate = 0;
    static constexpr Micros kMaxWriteDelay = 12 * kSecond;
    /// The next transaction that writes or drops a key with this prefix gets no answer and is carried out so
    /// much later, if its conditions still hold. Several wait for one each.
    void delay_next_write(const std::string& prefix, Micros after) { late_next_.emplace_back(prefix, after); }
    /// Those that are still waited for.
    std::size_t pending_write_delays() const { return late_next_.size(); }
    /// Part of the transactions that are carried out at once and whose answer alone is lost, while other
    /// controllers read what they wrote. `late_next` with 0 has it happen to the next of a kind.
    double unanswered_write_rate = 0;
    /// Answers of the state service are up to so much later.
    Micros max_state_answer_delay = 0;
    /// Part of the direct commands that get no answer and are carried out once, 2 to 16 s later, if token and
    /// session still match.
    double delayed_command_rate = 0;
    static constexpr Micros kMaxCommandDelay = 16 * kSecond;
    /// Part of the workers' reports of which a copy arrives again at the same node, from 2 s to two and a
    /// half leases later.
    double late_report_copy_rate = 0;
    static constexpr Micros max_report_copy_delay(Micros lease) { return lease * 5 / 2; }
    /// Part of the workers' reports of which a copy is kept until another controller leads, or the same one
    /// after an end, and reaches all controllers then.
    double replayed_report_rate = 0;
    /// The same for the next report of a machine.
    void replay_next_report(const std::string& machine) { keep_reports_.insert(machine); }
    std::size_t pending_report_replays() const { return kept_reports_.size(); }
    /// Commands that were carried out as well. The protocol has one that must not be: a launch after a clear.
    bool duplicate_commands = false;
    /// A zone is cut off, its controllers with it, or all in it ends; and it is back: its controllers at
    /// once, machines that ended as new ones.
    void fail_zone(const std::string& zone, bool ends);
    void restore_zone(const std::string& zone);

    // JobService.
    JobSpec make_job(int number, JobKind kind, int tasks, double cores = 1);
    void submit(const JobSpec& spec, Micros run, Micros fetch = 200 * kMillisecond, bool mistaken = false);
    int preferred_node = -1;             // the node that users go to while it is up; -1: any
    int poll_frequency_factor = 1;       // how many times as often as usual users poll
    Micros min_poll_interval = kSecond;  // at least, thrice as much at most
    /// All troubles are over: from now on accepted jobs are due an answered poll and, where there is room, a
    /// start.
    void mark_faults_over();
    /// Of all accepted jobs.
    std::vector<JobOutcome> job_outcomes() const;
    /// Requests of a node to the state service so far.
    std::uint64_t state_requests(int node) const {
        return nodes_[static_cast<std::size_t>(node)].state_requests;
    }
    /// Of each task: from the acceptance of its job to its first start.
    const std::vector<std::pair<std::string, Micros>>& task_start_delays() const { return waits_; }
    /// Of each replica that stopped and started again: the time without it.
    const std::vector<std::pair<std::string, Micros>>& replica_downtimes() const { return gaps_; }
    /// Starts of tasks that were on a machine when all controllers ended last, and had not to start again.
    std::size_t unnecessary_starts() const { return started_again_; }
    /// From now on a start of what runs now, or has completed, counts as one that need not be.
    void record_running_tasks();
    std::vector<std::string> job_refs() const;
    void cancel(const std::string& ref);
    /// JobService call off so many jobs that run and have long to go (services, and what has at least half of
    /// its run time left), within a fifth of a second; up to eight of their machines hang for so long. Those
    /// jobs.
    std::vector<std::string> cancel_random_jobs(int count, Micros hang);
    /// Part of the jobs that end which their users call off at that moment.
    double cancel_on_completion_rate = 0;
    /// Right after a job was accepted, ended or confirmed as cancelled, its user asks at all nodes, again and
    /// again within milliseconds, and repeats the submission, and a cancellation that it wanted; a tenth of
    /// the users cancel at once.
    bool query_after_changes = false;
    /// That once, at any moment.
    void query_all_nodes(const std::string& ref);
    /// Asks about a job at one node, and submits it there again.
    void query_and_resubmit(const JobSpec& spec, int node);
    /// JobService repeat submissions of unfinished jobs, also with another body, cancel jobs that are done,
    /// ask about jobs that nobody submitted, and send jobs that fit no machine or lack a field.
    bool send_unusual_requests = false;
    /// A job that nobody may accept, sent to a node until it answers 400 or 422; -1: to each.
    void submit_invalid_job(const Json& body, int node = -1);
    /// What users were told, as it is judged.
    const ConsistencyChecker& consistency_checker() const { return looks_; }
    ApiResponse request(int node, const std::string& method, const std::string& path, const Json& body);
    ApiResponse request_raw(int node, const std::string& method, const std::string& path,
                            const std::string& body);
    std::string reported_stage(const std::string& ref) const;  // "", "accepted", "done" or "cancelled"
    int running_tasks(const std::string& ref) const;
    std::set<std::string> machines_running(const std::string& ref) const;
    int task_starts(const std::string& ref) const;
    int completed_tasks(const std::string& ref) const;

    /// Told of every request that a controller sends (`who`: its name, `what`: method and path) and of every
    /// answer that it gives to a worker or a user (`what`: the status), in order, with the encoded body.
    using TrafficObserver =
        std::function<void(const std::string& who, const std::string& what, const std::string& body)>;
    TrafficObserver on_traffic;

    // The verdict.
    std::vector<std::string> violations;
    std::vector<std::string> event_history;
    void record_event(const std::string& line);
    std::string format_history(std::size_t last = 60) const;

    // TaskObserver.
    const fakes::JobInfo* job(const std::string& ref) override;
    void on_machine(const std::string& machine, const std::string& ref, int task,
                    std::int64_t attempt) override;
    void off_machine(const std::string& machine, const std::string& ref, int task,
                     std::int64_t attempt) override;
    void completed(const std::string& ref, int task, std::int64_t attempt) override;
    bool gang_complete(const std::string& ref, std::int64_t attempt) override;
    bool gang_whole(const std::string& ref, std::int64_t attempt) override;

    Settings settings;
    std::mt19937_64 random;

  private:
    class NodeRuntime;
    friend class NodeRuntime;
    struct Node {
        std::shared_ptr<NodeRuntime> host;
        std::unique_ptr<Controller> controller;
        bool refused = false;
        bool sockets_exhausted = false;
        std::uint64_t violations = 0;  // of its run-time invariants, so far
        std::uint64_t state_requests = 0;
        bool old = false;
        bool frozen = false;
        std::vector<std::function<void()>> due;     // timers, while it stands still
        std::vector<std::function<void()>> unread;  // what waits in its sockets
    };
    struct Reporting {
        std::unique_ptr<fakes::Worker> worker;
        int node = 0;
        bool in_flight = false;
        bool hung = false;
        bool deaf = false;
        bool mute = false;
        Micros next = 0;
        Micros last = 0;
        std::uint64_t generation = 0;
        std::vector<std::function<void()>> waiting;  // what arrived while it hung
    };
    struct User {
        fakes::JobInfo info;
        std::string told;
        Micros cancelled_at = 0;
        bool wants_cancel = false;
        bool polling = false;
        std::set<int> done;
        int starts = 0;
        std::map<std::string, int> zones;  // its tasks on machines
        Micros accepted_at = 0;
        std::set<int> started;
        Micros begun = -1, all_started_at = -1, finished = -1;
        Micros answered = 0;    // its last poll
        Micros unanswered = 0;  // longest time between two, since all troubles were over
    };
    struct LostZone {
        std::vector<std::pair<std::string, std::string>> links;
        std::vector<std::tuple<std::string, bool>> machines;  // type and kind of those that ended
    };

    void send(const std::string& from, const std::string& to, std::function<void()> deliver);
    /// Hands something to a node's process, once it does not stand still.
    void hand(int node, std::function<void()> what, bool timer = false);
    /// How late a transaction is carried out without an answer, 0: at once.
    std::optional<Micros> lateness(const Json& transaction);
    /// The controller that leads by the state service, with the mark of its record, as that changes.
    void watch_leader();
    /// Has `again` happen a second time, now and then.
    void repeat(std::function<void()> again);
    bool drawn(double part) {
        return part > 0 && std::uniform_real_distribution<double>(0, 1)(random) < part;
    }
    /// Somewhere between, evenly.
    Micros between(Micros least, Micros most) {
        return least + static_cast<Micros>(random() % static_cast<std::uint64_t>(most - least));
    }
    void heal_link(const std::vector<std::pair<std::string, std::string>>& links);
    Micros unanswered(const User& u) const;
    void answered(int node, const ApiResponse& response) const;
    void tick();
    /// What there is, for StarvationChecker.
    ClusterSnapshot sight();
    void watch_waiting();
    void report(const std::string& machine);
    void start_node(int i);
    void boot_machines();
    void try_submit(const std::string& ref);
    void try_cancel(const std::string& ref);
    void poll(const std::string& ref);
    /// A user's request to a node, or to some node that is up; calls back once, with status 0 after 5 s.
    void user_call(const std::string& method, const std::string& path, const Json& body,
                   std::function<void(ApiResponse)> done, int node = -1);
    /// A request about a job, its answer judged and remembered before it is handed on.
    void user_ask(RequestKind what, const std::string& ref, const Json& body,
                  std::function<void(const ApiResponse&)> done, int node = -1);
    void ask_about(const std::string& ref, int node);
    void submit_again(const std::string& ref, const Json& body, int node);
    void odd_request();
    void hear(const std::string& ref, Micros sent, const Json& body);
    void breach(const std::string& rule, const std::string& what);
    /// A job before this one, or the job itself, whose cancellation its user asked for, or was told of.
    const std::string& cloud_zone(const std::string& machine) { return zone_of_[machine]; }
    bool cancel_wanted(const std::string& ref) const;
    Micros cancel_told(const std::string& ref) const;
    Micros delay();

    Micros now_ = 0;
    std::uint64_t order_ = 0;
    std::map<std::pair<Micros, std::uint64_t>, std::function<void()>> events_;
    fakes::StateService state_;
    fakes::Cloud cloud_;
    std::vector<Node> nodes_;
    std::map<std::string, Reporting> workers_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::set<std::pair<std::string, std::string>> one_way_;
    std::vector<std::tuple<std::string, std::string, std::function<void()>>> held_;
    std::set<std::pair<std::string, std::string>> hold_next_;
    std::vector<std::function<void()>> kept_back_;
    std::set<std::string> keep_reports_;
    std::vector<std::string> kept_reports_;  // bodies, for the next leader
    std::string led_by_;
    std::set<std::string> seen_rented_;                      // whose time to boot is drawn
    std::vector<std::pair<std::string, Micros>> late_next_;  // prefix of a key, and how late
    std::map<std::string, User> users_;
    ConsistencyChecker looks_;
    int odd_jobs_ = 0;  // sent so far, for their names
    std::map<std::pair<std::string, int>, std::map<std::string, std::int64_t>> on_;
    std::map<std::string, Resources> used_;  // by team
    std::map<std::string, std::string> by_addr_;
    std::map<std::string, std::string> zone_of_;  // of machines, also of those that are gone
    std::set<std::pair<std::string, std::int64_t>> finished_gangs_;
    std::vector<std::pair<std::string, Micros>> waits_;
    std::vector<std::pair<std::string, Micros>> gaps_;
    std::map<std::pair<std::string, int>, Micros> left_;  // replicas that are on no machine now
    std::set<std::pair<std::string, int>> running_before_;
    std::size_t started_again_ = 0;
    Micros quiesced_since_ = -1;
    StarvationChecker starvation_checker_;
    std::map<std::string, LostZone> lost_zones_;
};

}  // namespace cottonway::simulation
