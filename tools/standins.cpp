// Serves fakes of the external systems on loopback, to try out a controller without a platform: a state
// service, a cloud and a few workers, all in memory. Every task runs for the same time.

#include <CLI/CLI.hpp>
#include <iostream>
#include <map>

#include "fakes/fakes.hpp"
#include "fakes/live_worker.hpp"

using namespace cottonway;

namespace {

class TaskLog : public fakes::TaskObserver {
  public:
    explicit TaskLog(Micros run_time) : info_{{}, run_time, 500 * kMillisecond} {}
    const fakes::JobInfo* job(const std::string&) override { return &info_; }
    void on_task_started(const std::string& machine, const std::string& job, int task,
                         std::int64_t) override {
        std::cout << job << "/" << task << " starts on " << machine << std::endl;
    }
    void on_task_stopped(const std::string& machine, const std::string& job, int task,
                         std::int64_t) override {
        std::cout << job << "/" << task << " leaves " << machine << std::endl;
    }
    void on_task_completed(const std::string&, int, std::int64_t) override {}
    bool is_gang_complete(const std::string&, std::int64_t) override { return true; }
    bool is_gang_intact(const std::string&, std::int64_t) override { return true; }

  private:
    fakes::JobInfo info_;
};

Micros now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"fakes of cottonway's external systems on loopback"};
    std::vector<std::string> controllers{"127.0.0.1:8080"};
    int state_port = 2379, cloud_port = 8443, worker_port = 9000, workers = 3;
    double run_s = 5;
    int history = 0;
    app.add_option("--controllers", controllers, "client addresses of the controllers")
        ->capture_default_str();
    app.add_option("--state-port", state_port)->capture_default_str();
    app.add_option("--cloud-port", cloud_port)->capture_default_str();
    app.add_option("--worker-port", worker_port, "port of the first worker")->capture_default_str();
    app.add_option("--workers", workers)->check(CLI::Range(1, 100))->capture_default_str();
    app.add_option("--run", run_s, "run time of every task, in seconds")->capture_default_str();
    app.add_option("--history", history, "number of finished jobs in the state service at the start")
        ->check(CLI::Range(0, 10'000'000))
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    asio::io_context io(1);
    fakes::StateService state;
    fakes::add_finished_jobs(state, history);
    const MachineType machine_type{"small", {8'000, 0, 32'000}, 50'000,    1.0, 1.0,
                                   0.4,     10 * kSecond,       {"a", "b"}};
    fakes::Cloud cloud({machine_type});
    cloud.capacity = 0;
    TaskLog task_log(static_cast<Micros>(run_s * 1e6));
    auto loopback = [](int port) { return Endpoint{"127.0.0.1", static_cast<std::uint16_t>(port)}; };

    std::function<void(std::string, Micros, net::Responder)> watch =
        [&](const std::string& path, Micros deadline, const net::Responder& respond) {
            if (auto reply = state.watch(path, now() >= deadline))
                return respond({reply->status, wire::encode(reply->body), "application/msgpack", 0});
            auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::milliseconds(10));
            timer->async_wait(
                [&, timer, path, deadline, respond](asio::error_code) { watch(path, deadline, respond); });
        };
    net::HttpServer state_server(
        io, loopback(state_port), {}, [&](const net::Request& request, const net::Responder& respond) {
            if (request.path.rfind("/changes", 0) == 0)
                return watch(request.path, now() + fakes::StateService::block_time(request.path), respond);
            const Reply reply = state.handle(request.method, request.path,
                                             wire::decode(request.body).value_or(Json()), now());
            respond({reply.status, wire::encode(reply.body), "application/msgpack", 0});
        });
    net::HttpServer cloud_server(
        io, loopback(cloud_port), {}, [&](const net::Request& request, const net::Responder& respond) {
            const Reply reply = cloud.handle(request.method, request.path,
                                             wire::decode(request.body).value_or(Json()), now());
            respond({reply.status, wire::encode(reply.body), "application/msgpack", 0});
        });
    state_server.start();
    cloud_server.start();

    // The controllers' names are unknown here, so a redirected worker cannot find the controller that it was
    // redirected to, and tries all of them in turn.
    std::vector<fakes::LiveWorker::Controller> controller_addresses;
    for (const auto& controller : controllers)
        controller_addresses.push_back({"", parse_endpoint(controller)});
    std::vector<std::unique_ptr<fakes::LiveWorker>> live_workers;
    for (int i = 0; i < workers; ++i) {
        const std::string zone = i % 2 ? "b" : "a";
        const std::string name = cloud.rent_machine("small", zone, false, now(), 0);
        const std::string addr = "127.0.0.1:" + std::to_string(worker_port + i);
        cloud.machines()[name].info.address = addr;
        cloud.machines()[name].info.state = CloudState::Running;
        live_workers.push_back(std::make_unique<fakes::LiveWorker>(
            io,
            std::make_unique<fakes::Worker>(name, addr, machine_type, zone, false, 10 * kSecond, 30 * kSecond,
                                            task_log, now()),
            controller_addresses, fakes::LiveWorker::Options{}));
    }
    std::cout << "state on " << state_port << ", cloud on " << cloud_port << ", " << workers
              << " workers from " << worker_port << std::endl;
    asio::steady_timer timer(io);
    std::function<void()> tick = [&] {
        state.expire_leases(now());
        for (auto& worker : live_workers) worker->tick();
        timer.expires_after(std::chrono::milliseconds(100));
        timer.async_wait([&](asio::error_code ec) {
            if (!ec) tick();
        });
    };
    tick();
    io.run();
}
