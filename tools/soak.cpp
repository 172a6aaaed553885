// cottonway-soak: runs controller processes on loopback under faults drawn from a seed, and checks every rule
// of the protocol from outside.

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <system_error>
#include <thread>

#include "soak/soak_run.hpp"

using namespace cottonway;

namespace {

constexpr int kExitViolation = 1;
constexpr int kExitCannotRun = 2;
constexpr int kExitNotJudged = 3;
constexpr int kExitInterrupted = 130;

std::atomic<bool> interrupted{false};

struct Arguments {
    std::uint64_t seed = 1;
    int seeds = 1;
    int workers = 12;
    int duration_s = 30;
    int jobs = 1;
    int first_port = 0;
    std::string controller;
    std::string logs;
    bool keep_logs = false;
};

struct Totals {
    int passed = 0;
    int failed = 0;
    int not_judged = 0;
};

const char* name_of(soak::SoakResult result) {
    switch (result) {
        case soak::SoakResult::Passed:
            return "passed";
        case soak::SoakResult::Failed:
            return "failed";
        case soak::SoakResult::NotJudged:
            return "not judged";
    }
    return "?";
}

void print_verdict(const Arguments& arguments, std::uint64_t seed, const soak::SoakVerdict& verdict,
                   const std::string& folder) {
    std::cout << "seed " << seed << ": " << name_of(verdict.result) << ", " << verdict.accepted_jobs
              << " jobs accepted, " << verdict.cancelled_jobs << " cancelled, " << verdict.task_starts
              << " starts, " << verdict.answers
              << " answers, longest time from cancellation to the last task's end "
              << verdict.longest_stop_time / kMillisecond << " ms, test delayed by at most "
              << verdict.max_lateness / kMillisecond << " ms" << std::endl;
    for (const auto& line : verdict.violations) std::cout << "  " << line << std::endl;
    if (verdict.result == soak::SoakResult::Failed)
        std::cout << "  to repeat: cottonway-soak --seed " << seed << " --workers " << arguments.workers
                  << " --duration " << arguments.duration_s << " --keep-logs; logs, in one timeline: sort -m "
                  << folder << "/*.log" << std::endl;
}

/// Runs every `jobs`-th seed, starting with the one at `offset`, on a port range of its own.
void run_seeds(const Arguments& arguments, int offset, Totals& totals, std::string& error, std::mutex& lock) {
    const int ports_per_run = soak::port_count(arguments.workers);
    for (int i = offset; i < arguments.seeds && !interrupted; i += arguments.jobs) {
        soak::SoakOptions options;
        options.seed = arguments.seed + static_cast<std::uint64_t>(i);
        options.workers = arguments.workers;
        options.fault_duration = arguments.duration_s * kSecond;
        options.controller_binary = arguments.controller;
        options.folder = arguments.logs + "/seed-" + std::to_string(options.seed);
        options.first_port = static_cast<std::uint16_t>(arguments.first_port + offset * ports_per_run);
        try {
            const soak::SoakVerdict verdict = soak::run_soak(options, interrupted);
            const std::lock_guard<std::mutex> guard(lock);
            print_verdict(arguments, options.seed, verdict, options.folder);
            totals.passed += verdict.result == soak::SoakResult::Passed;
            totals.failed += verdict.result == soak::SoakResult::Failed;
            totals.not_judged += verdict.result == soak::SoakResult::NotJudged;
            if (verdict.result == soak::SoakResult::Passed && !arguments.keep_logs)
                std::filesystem::remove_all(options.folder);
        } catch (const std::system_error& system_error) {
            const std::lock_guard<std::mutex> guard(lock);
            error = system_error.what();
            return;
        }
    }
}

/// Returns a first port below the range that outgoing connections use.
int choose_first_port() {
    constexpr int kFirstPort = 20'000, kPortsPerProcess = 200, kPortRanges = 60;
    return kFirstPort + getpid() % kPortRanges * kPortsPerProcess;
}

int check_arguments(const Arguments& arguments) {
    const int last_port = arguments.first_port + arguments.jobs * soak::port_count(arguments.workers);
    if (last_port > 65'535) {
        std::cerr << "cottonway-soak: " << arguments.jobs << " runs at once with " << arguments.workers
                  << " workers need ports up to " << last_port << "\n";
        return kExitCannotRun;
    }
    std::error_code status_error;
    const auto status = std::filesystem::status(arguments.controller, status_error);
    const auto owner_exec = std::filesystem::perms::owner_exec;
    if (!std::filesystem::is_regular_file(status) || (status.permissions() & owner_exec) != owner_exec) {
        std::cerr << "cottonway-soak: no program at " << arguments.controller << "\n";
        return kExitCannotRun;
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    Arguments arguments;
    arguments.controller = (std::filesystem::path(argv[0]).parent_path() / "cottonway").string();
    arguments.logs = (std::filesystem::temp_directory_path() / "cottonway-soak").string();
    CLI::App app{
        "Runs controller processes on loopback under faults drawn from a seed; exit code 1 if a rule was\n"
        "violated, 2 if a run is impossible, 3 if the test itself was too late to judge."};
    app.add_option("--seed", arguments.seed, "the first seed")->capture_default_str();
    app.add_option("--seeds", arguments.seeds, "number of seeds")
        ->check(CLI::Range(1, 100'000))
        ->capture_default_str();
    app.add_option("--workers", arguments.workers)->check(CLI::Range(3, 1000))->capture_default_str();
    app.add_option("--duration", arguments.duration_s, "time during which faults occur, in seconds")
        ->check(CLI::Range(5, 3600))
        ->capture_default_str();
    app.add_option("--jobs", arguments.jobs, "runs in parallel")
        ->check(CLI::Range(1, 32))
        ->capture_default_str();
    app.add_option("--first-port", arguments.first_port,
                   "first port of the runs; 0: chosen by the process id")
        ->check(CLI::Range(0, 65'000))
        ->capture_default_str();
    app.add_option("--controller", arguments.controller, "the controller program under test")
        ->capture_default_str();
    app.add_option("--logs", arguments.logs, "folder for the logs of failed runs")->capture_default_str();
    app.add_flag("--keep-logs", arguments.keep_logs, "keep the logs of passed runs as well");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& parse_error) {
        return app.exit(parse_error) == 0 ? 0 : kExitCannotRun;
    }
    if (arguments.first_port == 0) arguments.first_port = choose_first_port();
    if (const int exit_code = check_arguments(arguments)) return exit_code;
    std::signal(SIGINT, [](int) { interrupted = true; });
    std::signal(SIGTERM, [](int) { interrupted = true; });
    std::signal(SIGPIPE, SIG_IGN);
    Totals totals;
    std::string error;
    std::mutex lock;
    std::vector<std::thread> threads;
    for (int i = 0; i < arguments.jobs; ++i)
        threads.emplace_back([&, i] { run_seeds(arguments, i, totals, error, lock); });
    for (auto& thread : threads) thread.join();
    if (!error.empty()) {
        std::cerr << "cottonway-soak: " << error << "\n";
        return kExitCannotRun;
    }
    std::cout << totals.passed << " passed, " << totals.failed << " failed, " << totals.not_judged
              << " not judged" << std::endl;
    if (totals.failed > 0) return kExitViolation;
    if (interrupted) return kExitInterrupted;
    return totals.not_judged > 0 ? kExitNotJudged : 0;
}
