// Case: a late copy of a command that was carried out. The command that launched a task arrives once more, after the
// task was done and cleared, its job was cancelled, and cancel_s is over.

#include <unistd.h>

#include <cstdio>
#include <cstdlib>

#include "stage.hpp"

using namespace review;
using cottonway::wire::text;

namespace {

constexpr double kCancelAt = 30, kCopyAfterCancelS = 5, kEnd = 95;
const std::string kJob = "req-000301";

Deployment vendlab_sfax() {
    Deployment d;
    d.controllers = 3;
    d.zones = {"sfax-north", "sfax-port"};
    d.teams =
        "[[deployment.teams]]\nname = \"field-ops\"\ncpus = 496.0\ncpus_max = 744.0\ngpus = 0.0\ngpus_max = 0.0\n"
        "[[deployment.teams]]\nname = \"pricing\"\ncpus = 328.0\ncpus_max = 496.0\ngpus = 0.0\ngpus_max = 0.0\n";
    d.types = {{"jasmine", {16'000, 0, 64'000}, 70'000, 0.25, 0.69, 0.17, 30 * kSecond, d.zones}};
    return d;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const char* variable = std::getenv("TROUBLE");
    const bool trouble = !variable || std::string(variable) != "0";
    Stage stage(vendlab_sfax(), argv[1], words(argv[2]), argv[3]);
    const auto& d = stage.deployment();
    for (const auto& zone : d.zones) stage.add_worker(d.types[0], zone, false);
    for (int i = 0; i < d.controllers; ++i) stage.start_controller(i);

    bool accepted = false;
    double cancelled_at = 0;
    int late_starts = 0;
    Json copy;  // the command that launched task 0
    std::string copy_to;
    stage.on_command = [&](const std::string& machine, const Json& body) {
        const Json* orders = cottonway::wire::find(body, "orders");
        if (!orders) return;
        for (const auto& order : *orders) {
            stage.record("POST /do at " + machine + ": token " + std::to_string(body["shuttle"].get<std::uint64_t>()) +
                         ", " + order["order"].get<std::string>() + " " + order["thread"].get<std::string>());
            if (order["order"] == "launch" && order["thread"] == kJob + "/0" && copy.is_null()) {
                copy = body;
                copy_to = machine;
            }
        }
    };
    stage.on_task_event = [&](const TaskEvent& event) {
        if (event.starts && event.job == kJob && cancelled_at > 0 && event.at > cancelled_at + d.cancel_s)
            ++late_starts;
    };
    // A service keeps both machines in use for the whole time.
    stage.after(4, [&] {
        Json service = Stage::job("req-000302", "telemetry-intake", "field-ops", "service", "critical", 2, 1.0, 2.2);
        service["reckon_s"] = 0.0;
        service["spread"] = true;
        stage.define(service, 0, 0, 0.5);
        stage.submit(service, [](int) {}, kEnd);
        Json job = Stage::job(kJob, "restock-plan", "field-ops", "array", "normal", 2, 8.0, 30.0);
        job["reckon_s"] = 50.0;
        stage.define(job, 600, 0, 0.5);
        stage.plans[kJob].run_by_task[0] = 4;
        stage.submit(job, [&](int) { accepted = true; }, kEnd);
    });
    std::function<void()> cancel = [&] {
        const int controller = stage.healthy_controller();
        if (controller < 0) return stage.after(1, cancel);
        stage.user_call(controller, "POST", "/v1/jobs/" + kJob + "/abort", Json::object(),
                        [&](int status, const Json& body) {
                            stage.record("POST /v1/jobs/" + kJob + "/abort: " + std::to_string(status) + " " +
                                         text(body, "stage").value_or(""));
                            if (status != 200) return stage.after(1, cancel);
                            if (text(body, "stage") != "cancelled") return;
                            cancelled_at = stage.now_s();
                            stage.after(d.cancel_s + kCopyAfterCancelS, [&] {
                                if (!trouble || copy.is_null()) return;
                                stage.record("a copy of the /do that launched " + kJob + "/0 arrives at " + copy_to);
                                stage.send_command(copy_to, copy, [&](int answer) {
                                    stage.record("answer to the copy: " + std::to_string(answer));
                                });
                            });
                        });
    };
    stage.after(kCancelAt, cancel);
    stage.after(kEnd, [&] {
        const bool could_run = accepted && cancelled_at > 0 && !copy.is_null() && stage.completed(kJob) >= 1;
        stage.record(!could_run         ? "the case could not run"
                     : late_starts > 0 ? "BROKEN: " + std::to_string(late_starts) +
                                             " start of a cancelled job's task more than cancel_s after its user was told"
                                       : "held");
        stage.finish(!could_run ? 2 : late_starts > 0 ? 1 : 0);
    });
    stage.run();
    _exit(stage.exit_code());
}
