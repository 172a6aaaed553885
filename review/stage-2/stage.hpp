#pragma once
// The stage of the second review: a small deployment on loopback. The controllers are separate processes,
// started with the command of the deploy file; the state service, the cloud, the workers and the users are
// stand-ins in this process. The state service here is a new one that keeps the limits of the protocol; cloud
// and workers are the project's own.

#include <asio.hpp>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fakes/fakes.hpp"
#include "fakes/live_worker.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace review {

using cottonway::Endpoint;
using cottonway::Json;
using cottonway::kMillisecond;
using cottonway::kSecond;
using cottonway::Micros;
using cottonway::Reply;
namespace fakes = cottonway::fakes;
namespace net = cottonway::net;
namespace wire = cottonway::wire;

Micros now();
std::string to_text(const Endpoint& endpoint);

struct Team {
    std::string name;
    double cpus = 0, cpus_max = 0;
};

/// The settings of a deployment, as the platform's settings file has them.
struct Deployment {
    std::vector<std::string> zones;
    std::vector<Team> teams;
    std::vector<std::string> objectives;  // tables in TOML, each with its head
    int controllers = 3;
    double report_s = 3, lease_s = 36, gang_wait_s = 45, gang_peer_s = 6, cancel_s = 56;
    double rps = 120, write_rps = 25, value_kb = 4;
    int txn_ops = 8;
    double cloud_rps = 10, list_lag_s = 6;
    double cpu_share = 0.16, mem_mb = 200;
    int sockets = 3500;
    double skew_ms = 1000;
};

/// A state service after the page "Controller nodes -> state service".
class StateService {
  public:
    explicit StateService(const Deployment& d) : d_(d) {}
    /// Returns the answer to a watch, with its body encoded; nothing while the watch blocks.
    std::optional<net::Response> watch(const std::string& path, bool deadline_reached) const;
    Reply handle(const std::string& method, const std::string& path, const Json& body);
    void expire_leases();
    std::size_t change_count() const { return change_count_; }
    std::size_t change_bytes() const { return change_bytes_; }
    const Json* find(const std::string& key) const;
    /// Adds a record that was there before the play, without a change.
    void put(const std::string& key, const Json& value) { items_[key] = {value, ledger_, 0}; }
    void for_each(const std::string& prefix,
                  const std::function<void(const std::string&, const Json&)>& visit) const;

  private:
    struct Item {
        Json value;
        std::uint64_t mark = 0, lien = 0;
    };
    struct Lease {
        Micros ttl = 0, ends = 0;
    };
    struct Event {
        std::string key;
        std::string encoded;  // as it stands in the answer to a watch
        std::uint64_t mark = 0;
    };
    struct Bucket {
        double left = 0;
        Micros at = 0;
        bool take(double rate, double amount);
    };
    Reply commit(const Json& body);
    void record(const std::string& key, const Json& value);
    void end_lease(std::uint64_t id);

    const Deployment& d_;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Event> events_;
    std::uint64_t ledger_ = 1, next_lien_ = 1;
    Bucket requests_, writes_;
    std::size_t change_count_ = 0, change_bytes_ = 0;
};

struct JobPlan {
    std::string ref;
    Json body;
    Micros run_time = 0;
    int tasks = 0;
};

/// What happened to the tasks: the record of the workers.
class Tasks : public fakes::TaskObserver {
  public:
    struct JobTasks {
        fakes::JobInfo info;
        std::map<int, std::map<std::string, std::int64_t>> on;  // task -> machine -> attempt
        std::set<int> completed;
        int starts = 0;
    };
    std::function<void(const std::string&)> log;
    std::function<void(const std::string& rule, const std::string& text)> broken;
    std::map<std::string, JobTasks> jobs;

    /// Jobs whose tasks differ in length: each look ends a running task with the probability that gives this
    /// mean.
    std::map<std::string, Micros> mean_run_time;
    const fakes::JobInfo* job(const std::string& ref) override;
    void on_task_started(const std::string& machine, const std::string& job, int task,
                         std::int64_t attempt) override;
    void on_task_stopped(const std::string& machine, const std::string& job, int task,
                         std::int64_t attempt) override;
    void on_task_completed(const std::string& job, int task, std::int64_t) override {
        jobs[job].completed.insert(task);
    }
    bool is_gang_complete(const std::string& job, std::int64_t attempt) override;
    bool is_gang_intact(const std::string& job, std::int64_t attempt) override;
    Micros look_interval = 20 * kMillisecond;
    std::minstd_rand random{7};
    bool quiet = false;  // starts and ends are not logged one by one
};

class Stage {
  public:
    /// The record is written to `record_path`; `run_command` is `run` of the deploy file.
    Stage(Deployment deployment, std::string record_path, std::string run_command);
    virtual ~Stage();
    /// Plays until finish() is called, for 118 s at most. Returns the exit code.
    int play();

  protected:
    enum Result { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };
    virtual void begin() = 0;

    void log(const std::string& text);
    void after(double seconds, std::function<void()> run);
    double elapsed() const { return static_cast<double>(now() - started_) / 1e6; }
    void finish(Result result, const std::string& why);
    void broken(const std::string& rule, const std::string& text);

    // The platform.
    /// The machine types of both vendlab site files.
    void add_vendlab_machine_types();
    /// The machines that vendlab-sfax.toml has up at the start.
    void add_vendlab_machines();
    void start_services();
    struct Node {
        std::string name;
        std::string zone;
        Endpoint client, cluster, state, for_workers;
        std::string settings, log_path;
        int pid = -1;
        Micros started_at = 0;
        bool refused_by_state = false;  // the state service refuses this node alone
        bool healthy = false, ever_healthy = false;
        int failures = 0, successes = 0;
        Micros unhealthy_since = 0;
        std::unique_ptr<net::HttpServer> state_server;
        std::unique_ptr<net::HttpServer> worker_front;
    };
    void start_node(std::size_t i);
    void signal_node(std::size_t i, int signal_number);
    /// The platform: a process that holds more than its limit is killed, and is back `restart_delay` seconds
    /// later. What it holds is counted without the pages of the program and its libraries. Returns how many
    /// were killed.
    int enforce_memory_limit(double restart_delay);
    long highest_kb_ = 0;  // the most that a process has held
    void reap();
    void add_worker(const std::string& type, const std::string& zone, bool spot);
    /// A machine stops with all that is on it: it reports and answers no more, and the cloud lists it as
    /// failed 30 s later.
    void kill_machine(const std::string& name);
    const std::set<std::string>& dead_machines() const { return dead_; }
    bool all_healthy() const;

    // Users.
    struct Answer {
        int status = 0;
        Json body;
    };
    Json job(const std::string& ref, const std::string& pattern, const std::string& team,
             const std::string& kind, const std::string& rank, int tasks, double cores, double ram,
             const std::string& image, double image_gb, bool spot, double estimate_s, bool spread);
    /// Submits as a user does: repeated until it is answered with 200, 201, 400 or 422.
    void submit(const JobPlan& plan, std::function<void(const Answer&)> done);
    void abort(const std::string& ref, std::function<void(const Answer&)> done);
    void ask(const std::string& ref, std::optional<std::size_t> node,
             std::function<void(const Answer&)> done);
    std::optional<std::size_t> pick_node();
    void call(const Endpoint& to, const std::string& method, const std::string& path, const Json& body,
              Micros timeout, std::function<void(const Answer&)> done);

    /// What the state service does with a request of a node, before it is handled. Returns true if the case
    /// has taken the request over.
    virtual bool intercept_state(std::size_t node, const net::Request&, const net::Responder&) {
        (void)node;
        return false;
    }
    virtual fakes::Delivery command_delivery(const std::string& machine) {
        (void)machine;
        return fakes::Delivery::Delivered;
    }
    virtual bool is_answer_lost(const std::string& machine) {
        (void)machine;
        return false;
    }
    virtual void tick() {}
    void serve_state(std::size_t node, const net::Request& request, const net::Responder& respond);
    static void respond_with(const net::Responder& respond, const Reply& reply);

    asio::io_context io_{1};
    Deployment d_;
    std::string folder_;
    StateService state_;
    std::unique_ptr<fakes::Cloud> cloud_;
    std::vector<cottonway::MachineType> types_;
    /// What the cloud still has to rent, by type, zone and kind (true: spot); nothing for what is not named.
    /// Not used while empty.
    std::map<std::tuple<std::string, std::string, bool>, int> left_to_rent_;
    Tasks tasks_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::unique_ptr<fakes::LiveWorker>> workers_;
    std::mt19937_64 random_{20261205};
    bool trouble_ = true;
    Micros worker_tick_ = 20 * kMillisecond;
    Micros next_worker_tick_ = 0;
    std::map<std::string, std::string> accepted_;  // ref -> last stage told
    std::set<int> used_ports_;

  private:
    Endpoint free_port();
    std::string settings_text(std::size_t i) const;
    void watch(std::size_t node, const std::string& path, Micros deadline, const net::Responder& respond);
    void probe(std::size_t i);
    void on_tick();
    void start_worker(const std::string& name);
    Reply serve_cloud(const net::Request& request);
    void boot_rented_machines();

    std::map<std::string, std::pair<fakes::LiveWorker*, fakes::Worker*>> worker_of_;
    std::set<std::string> dead_;
    std::string run_command_;
    std::string cloud_endpoint_text_;
    std::ofstream record_;
    Micros started_ = 0;
    Micros next_tick_ = 0;
    Micros worst_lateness_ = 0;
    std::optional<Result> result_;
    std::unique_ptr<net::HttpServer> cloud_server_;
    net::HttpClient user_client_;
    net::HttpClient probe_client_;
    int worker_count_ = 0;
};

}  // namespace review
