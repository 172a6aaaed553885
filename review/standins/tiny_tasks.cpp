// Case: many tiny tasks on one machine. A class of arrays of tiny tasks comes three times as often for half a
// minute. The machine's report then no longer fits into 64 KiB, every controller refuses it, and the machine
// loses its lease with all that is on it, again and again.

#include <unistd.h>

#include <cstdio>
#include <cstdlib>

#include "stage.hpp"

using namespace review;
using cottonway::Milli;

namespace {

// The class usually comes once in 20 s; in the burst, which lasts for 20 s, three times as often.
constexpr double kBurstAt = 3.5, kBurstFor = 20, kUsualInterval = 20, kFactor = 3, kLastArrival = 44;
constexpr double kRunS = 40, kVary = 0.3;
// 90 s after the burst no job may be left waiting (kit/more/hunt/LATER.md).
constexpr double kEnd = kBurstAt + kBurstFor + 91;
constexpr int kTasks = 500;

Deployment vendlab_sfax() {
    Deployment d;
    d.controllers = 3;
    d.zones = {"sfax-north", "sfax-port"};
    d.teams =
        "[[deployment.teams]]\nname = \"field-ops\"\ncpus = 496.0\ncpus_max = 744.0\ngpus = 0.0\ngpus_max = "
        "0.0\n"
        "[[deployment.teams]]\nname = \"pricing\"\ncpus = 328.0\ncpus_max = 496.0\ngpus = 0.0\ngpus_max = "
        "0.0\n";
    d.types = {{"olive", {64'000, 0, 256'000}, 80'000, 0.4, 2.88, 0.72, 50 * kSecond, d.zones}};
    return d;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const char* variable = std::getenv("TROUBLE");
    const bool trouble = !variable || std::string(variable) != "0";
    Stage stage(vendlab_sfax(), argv[1], words(argv[2]), argv[3]);
    stage.record_tasks = false;
    const auto& d = stage.deployment();
    for (const auto& zone : d.zones) stage.add_worker(d.types[0], zone, false);
    for (int i = 0; i < d.controllers; ++i) stage.start_controller(i);

    std::vector<std::string> services, arrays;
    std::map<std::string, double> accepted_at, done_at, last_result_at;
    int killed_replicas = 0;
    stage.on_task_event = [&](const TaskEvent& event) {
        const bool service = stage.plan(event.job)->spec.kind == cottonway::JobKind::Service;
        if (!event.starts && event.why == "done") last_result_at[event.job] = event.at;
        if (!service) return;
        stage.record("replica " + event.job + "/" + std::to_string(event.task) +
                     (event.starts ? " runs on " : " leaves ") + event.machine +
                     (event.starts ? "" : ": " + event.why));
        killed_replicas += !event.starts && event.why == "the lease is over";
    };
    auto submit = [&](const Json& job, double run_s, double vary) {
        stage.define(job, run_s, vary, 0.5);
        const std::string ref = job["ref"];
        stage.submit(
            job, [&, ref](int) { accepted_at.emplace(ref, stage.now_s()); }, kEnd);
    };
    // Users poll every 5 s until a job is done.
    std::function<void(std::string)> poll = [&](const std::string& ref) {
        const auto again = [&, ref] { stage.after(5, [&, ref] { poll(ref); }); };
        const int controller = stage.healthy_controller();
        if (controller < 0 || !accepted_at.count(ref)) return again();
        stage.user_call(
            controller, "GET", "/v1/jobs/" + ref, {},
            [&, ref, again](int status, const Json& body) {
                const auto stage_name = cottonway::wire::text(body, "stage").value_or("");
                if (status == 200 && stage_name == "done") {
                    done_at.emplace(ref, stage.now_s());
                    return stage.record("GET " + ref + ": done");
                }
                again();
            },
            2);
    };
    stage.after(2.5, [&] {
        for (int i = 0; i < 4; ++i) {
            char ref[24];
            std::snprintf(ref, sizeof ref, "req-%06d", 201 + i);
            services.push_back(ref);
            Json job = Stage::job(ref, "telemetry-intake", "field-ops", "service", "critical", 2, 1.0, 2.2);
            job["spread"] = true;
            job["reckon_s"] = 0.0;
            submit(job, 0, 0);
        }
    });
    std::function<void()> arrive = [&] {
        const double now = stage.now_s();
        if (now > kLastArrival) return;
        char ref[24];
        std::snprintf(ref, sizeof ref, "req-%06zu", 101 + arrays.size());
        arrays.push_back(ref);
        Json job = Stage::job(ref, "sensor-pings", "pricing", "array", "high", kTasks, 0.03, 0.1);
        job["reckon_s"] = kRunS;
        submit(job, kRunS, kVary);
        poll(ref);
        const bool burst = trouble && now < kBurstAt + kBurstFor;
        stage.after(burst ? kUsualInterval / kFactor : kUsualInterval, arrive);
    };
    stage.after(kBurstAt, arrive);
    std::function<void()> show = [&] {
        std::string line = "machines list";
        for (const auto& worker : stage.workers()) line += " " + std::to_string(worker->worker().listed());
        line += " tasks; answers to reports:";
        for (const auto& [status, count] : stage.report_answers)
            line += " " + std::to_string(status) + " x " + std::to_string(count);
        stage.record(line + "; largest report " + std::to_string(stage.largest_report) +
                     " bytes, largest command " + std::to_string(stage.largest_command) + " bytes");
        stage.after(4, show);
    };
    show();
    stage.after(kEnd, [&] {
        // A job that came before the end of the burst has had 91 s or more without any trouble. Its tasks
        // need kRunS * (1 + kVary) = 52 s at the most, and two machines have room for 4,200 of them.
        int not_done = 0;
        for (const auto& ref : arrays) {
            const bool counts = accepted_at.count(ref) && accepted_at[ref] < kBurstAt + kBurstFor;
            char line[300];
            std::snprintf(line, sizeof line,
                          "job %s: accepted at %.1f, %d of %d tasks completed, %d starts of tasks, %s",
                          ref.c_str(), accepted_at[ref], stage.completed(ref), kTasks, stage.starts(ref),
                          done_at.count(ref)
                              ? ("done for its user at " + std::to_string(done_at[ref])).c_str()
                              : "not done for its user");
            stage.record(line);
            not_done += counts && !done_at.count(ref);
        }
        stage.record(std::to_string(stage.sessions_ended) + " leases of reporting machines ran out, " +
                     std::to_string(killed_replicas) + " running replicas were killed by that, " +
                     std::to_string(stage.report_answers[413]) + " reports were answered 413");
        const bool could_run = accepted_at.size() == arrays.size() + services.size() && !stage.was_late();
        const bool broken = not_done > 0 && stage.sessions_ended > 0;
        stage.record(!could_run ? "the case could not run"
                     : broken
                         ? "BROKEN: " + std::to_string(not_done) + " accepted jobs do not run to their end"
                         : "held");
        stage.finish(!could_run ? 2 : broken ? 1 : 0);
    });
    stage.run();
    _exit(stage.exit_code());
}
