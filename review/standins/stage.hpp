#pragma once
// The stage of a review case: one process that serves the stand-ins of the outside systems on loopback (a
// state service with its limits, a cloud, workers), plays the users, and starts the controllers as separate
// processes with the run command of the deploy file. The state machines of the stand-ins are the project's
// own (src/fakes).

#include <sys/types.h>

#include <array>
#include <asio.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/fakes.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "worker.hpp"

namespace review {

using cottonway::Endpoint;
using cottonway::Json;
using cottonway::kMillisecond;
using cottonway::kSecond;
using cottonway::Micros;

/// What a deployment's settings file says, as in the site files of the kit.
struct Deployment {
    int controllers = 3;
    std::vector<std::string> zones{"a", "b"};
    std::string teams;  // TOML of deployment.teams
    double report_s = 1.5, lease_s = 10, gang_wait_s = 35, gang_peer_s = 8, cancel_s = 40;
    double state_rps = 250, write_rps = 100, value_kb = 16;
    int txn_ops = 16;
    double cloud_rps = 4, list_lag_s = 6;
    double cpu_share = 0.08, mem_mb = 72;
    int sockets = 1000;
    std::vector<cottonway::MachineType> types;
};

/// One task as the workers see it, for the checks.
struct TaskEvent {
    double at = 0;
    std::string machine, job;
    int task = 0;
    std::int64_t attempt = 0;
    bool starts = false;
    std::string why{};
};

class Stage;

/// A worker of the protocol page on loopback.
class StageWorker {
  public:
    StageWorker(Stage& stage, std::unique_ptr<Worker> worker, int first_controller);
    void tick();
    /// The cloud has taken the machine away.
    void remove();
    bool removed() const { return removed_; }
    Worker& worker() { return *worker_; }

  private:
    void send_report(Micros now);
    void on_reply(const cottonway::net::ClientReply& reply, std::uint64_t session, Micros sent_at);
    void switch_to(std::size_t controller, Micros pause);

    Stage& stage_;
    std::unique_ptr<Worker> worker_;
    cottonway::net::HttpClient client_;
    cottonway::net::HttpServer server_;
    std::size_t controller_ = 0;
    bool in_flight_ = false, removed_ = false;
    Micros next_report_at_ = 0, last_report_at_ = 0;
};

class Stage : public Jobs {
  public:
    /// `folder` takes settings and logs; `run_command` is the deploy file's `run`, split at blanks.
    Stage(Deployment deployment, std::string folder, std::vector<std::string> run_command,
          std::string record_file);
    ~Stage() override;

    asio::io_context& io() { return io_; }
    const Deployment& deployment() const { return deployment_; }
    double now_s() const;
    void record(const std::string& line);
    void after(double seconds, std::function<void()> then);
    /// Serves everything until `finish` is called.
    void run();
    void finish(int exit_code);
    int exit_code() const { return exit_code_; }
    /// True if the stage itself was late by more than a second: then leases and polls ran late, and nothing
    /// is judged.
    bool was_late() const { return max_late_ > kSecond; }

    // ---- controllers
    void start_controller(int i);
    /// Kills the process and collects it.
    void kill_controller(int i);
    /// Returns whether the process of the controller has ended by itself.
    bool has_ended(int i);
    std::string name(int i) const { return "loom-" + std::to_string(i); }
    int index_of(const std::string& node) const;
    Endpoint client_address(int i) const { return client_[static_cast<std::size_t>(i)]; }
    Endpoint cluster_address(int i) const { return cluster_[static_cast<std::size_t>(i)]; }

    // ---- state service
    cottonway::fakes::StateService& state() { return state_; }

    // ---- machines and tasks
    StageWorker& add_worker(const cottonway::MachineType& type, const std::string& zone, bool spot);
    /// The machine stops with all that is on it: it says nothing more, and is listed as running for about 30
    /// s.
    void stop_machine(const std::string& machine);
    std::vector<std::unique_ptr<StageWorker>>& workers() { return workers_; }
    std::set<std::string> machines_of(const std::string& ref, int task) const;
    int tasks_on_machines(const std::string& ref) const;
    int starts(const std::string& ref) const;
    int completed(const std::string& ref) const;
    std::function<void(const TaskEvent&)> on_task_event;
    bool record_tasks = true;
    std::size_t largest_report = 0, largest_report_json = 0, largest_command = 0;  // in bytes
    std::map<int, std::uint64_t> report_answers;                                   // by status

    // ---- users
    using Answer = std::function<void(int status, const Json& body)>;
    void user_call(int controller, const std::string& method, const std::string& path, const Json& body,
                   Answer done, double timeout_s = 5);
    /// A controller that the load balancer counts as healthy; -1: none.
    int healthy_controller();
    /// Calls `then` once all controllers are healthy, and finishes with 2 if they are not within 6 s.
    void when_all_healthy(std::function<void()> then);
    bool is_healthy(int i) const { return healthy_[static_cast<std::size_t>(i)]; }
    /// Status of the last health check, 0: no answer.
    int last_health(int i) const { return last_health_[static_cast<std::size_t>(i)]; }
    /// Submits until it is accepted (201 or 200), as users do. Fills in the usual fields.
    void submit(Json job, std::function<void(int controller)> accepted, double give_up_at_s);
    static Json job(const std::string& ref, const std::string& job_class, const std::string& team,
                    const std::string& kind, const std::string& rank, int tasks, double cores, double ram);
    /// What the job does on the workers.
    void define(const Json& job, double run_s, double vary, double fetch_s);

    // Jobs
    void on_task_on_machine(const std::string& machine, const std::string& job, int task,
                            std::int64_t attempt) override;
    void on_task_off_machine(const std::string& machine, const std::string& job, int task,
                             std::int64_t attempt, const std::string& why) override;
    void on_session(const std::string& machine, std::uint64_t session, std::size_t killed) override;
    std::uint64_t sessions_ended = 0;

  private:
    friend class StageWorker;
    void write_settings(int i) const;
    void serve_state(const cottonway::net::Request& request, const cottonway::net::Responder& respond);
    void watch(const std::string& path, Micros deadline, const cottonway::net::Responder& respond);
    void tick();
    void check_health(int i);
    Endpoint free_port();

    Deployment deployment_;
    std::string folder_;
    std::vector<std::string> run_command_;
    std::ofstream record_;
    asio::io_context io_;
    Micros started_at_, next_tick_at_ = 0, max_late_ = 0;
    asio::steady_timer timer_;
    asio::signal_set signals_;
    std::vector<Endpoint> client_, cluster_, state_address_;
    Endpoint cloud_address_;
    std::vector<pid_t> pids_;
    std::set<std::uint16_t> used_ports_;
    cottonway::fakes::StateService state_;
    cottonway::fakes::Cloud cloud_;
    double request_budget_ = 0;
    Micros request_budget_at_ = 0;
    std::vector<std::unique_ptr<cottonway::net::HttpServer>> servers_;
    std::vector<std::unique_ptr<StageWorker>> workers_;
    std::unique_ptr<cottonway::net::HttpClient> user_client_;
    std::vector<bool> healthy_;
    std::vector<int> last_health_, health_streak_;
    std::map<std::pair<std::string, int>, std::map<std::string, std::int64_t>> on_machine_;
    std::map<std::string, int> starts_;
    int exit_code_ = 2;
};

/// Splits a command at blanks.
std::vector<std::string> words(const std::string& text);

}  // namespace review
