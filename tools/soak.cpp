// cottonway-soak: real controllers over loopback under faults drawn from a seed, with every rule judged from
// outside.

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

constexpr int kExitBreach = 1;
constexpr int kExitUnusable = 2;
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

void print(const Arguments& arguments, std::uint64_t seed, const soak::SoakVerdict& v,
           const std::string& folder) {
    std::cout << "seed " << seed << ": " << name_of(v.result) << ", " << v.accepted_jobs << " jobs accepted, "
              << v.cancelled_jobs << " cancelled, " << v.task_starts << " starts, " << v.answers
              << " answers, longest from cancellation to last task gone "
              << v.longest_stop_time / kMillisecond << " ms, test late by " << v.max_lateness / kMillisecond
              << " ms at most" << std::endl;
    for (const auto& line : v.violations) std::cout << "  " << line << std::endl;
    if (v.result == soak::SoakResult::Failed)
        std::cout << "  again: cottonway-soak --seed " << seed << " --workers " << arguments.workers
                  << " --duration " << arguments.duration_s << " --keep-logs; logs, in one timeline: sort -m "
                  << folder << "/*.log" << std::endl;
}

/// Plays every `jobs`-th seed from its own block of ports.
void play_every(const Arguments& arguments, int offset, Totals& totals, std::string& error,
                std::mutex& lock) {
    const int ports = soak::port_count(arguments.workers);
    for (int i = offset; i < arguments.seeds && !interrupted; i += arguments.jobs) {
        soak::SoakOptions options;
        options.seed = arguments.seed + static_cast<std::uint64_t>(i);
        options.workers = arguments.workers;
        options.fault_duration = arguments.duration_s * kSecond;
        options.controller_binary = arguments.controller;
        options.folder = arguments.logs + "/seed-" + std::to_string(options.seed);
        options.first_port = static_cast<std::uint16_t>(arguments.first_port + offset * ports);
        try {
            const soak::SoakVerdict v = soak::run_soak(options, interrupted);
            const std::lock_guard<std::mutex> guard(lock);
            print(arguments, options.seed, v, options.folder);
            totals.passed += v.result == soak::SoakResult::Passed;
            totals.failed += v.result == soak::SoakResult::Failed;
            totals.not_judged += v.result == soak::SoakResult::NotJudged;
            if (v.result == soak::SoakResult::Passed && !arguments.keep_logs)
                std::filesystem::remove_all(options.folder);
        } catch (const std::system_error& e) {
            const std::lock_guard<std::mutex> guard(lock);
            error = e.what();
            return;
        }
    }
}

/// Below the ports that outgoing connections take.
int chosen_port() {
    constexpr int kFirst = 20'000, kBlock = 200, kBlocks = 60;
    return kFirst + getpid() % kBlocks * kBlock;
}

int check(const Arguments& arguments) {
    const int ports = arguments.first_port + arguments.jobs * soak::port_count(arguments.workers);
    if (ports > 65'535) {
        std::cerr << "cottonway-soak: " << arguments.jobs << " runs at once with " << arguments.workers
                  << " workers need ports up to " << ports << "\n";
        return kExitUnusable;
    }
    std::error_code ignored;
    const auto status = std::filesystem::status(arguments.controller, ignored);
    const auto executable = std::filesystem::perms::owner_exec;
    if (!std::filesystem::is_regular_file(status) || (status.permissions() & executable) != executable) {
        std::cerr << "cottonway-soak: no program at " << arguments.controller << "\n";
        return kExitUnusable;
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    Arguments arguments;
    arguments.controller = (std::filesystem::path(argv[0]).parent_path() / "cottonway").string();
    arguments.logs = (std::filesystem::temp_directory_path() / "cottonway-soak").string();
    CLI::App app{
        "Real controllers over loopback under faults drawn from a seed; exit code 1 for a broken rule, 2 "
        "for\n"
        "what can't be played, 3 where the test itself was too late to judge."};
    app.add_option("--seed", arguments.seed, "the first seed")->capture_default_str();
    app.add_option("--seeds", arguments.seeds, "how many, one after the other")
        ->check(CLI::Range(1, 100'000))
        ->capture_default_str();
    app.add_option("--workers", arguments.workers)->check(CLI::Range(3, 1000))->capture_default_str();
    app.add_option("--duration", arguments.duration_s, "of the faults, in seconds")
        ->check(CLI::Range(5, 3600))
        ->capture_default_str();
    app.add_option("--jobs", arguments.jobs, "runs at once")->check(CLI::Range(1, 32))->capture_default_str();
    app.add_option("--first-port", arguments.first_port, "0: chosen by the process id")
        ->check(CLI::Range(0, 65'000))
        ->capture_default_str();
    app.add_option("--controller", arguments.controller, "the program that is tested")->capture_default_str();
    app.add_option("--logs", arguments.logs, "folder for the logs of failed runs")->capture_default_str();
    app.add_flag("--keep-logs", arguments.keep_logs, "keep those of passed runs as well");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : kExitUnusable;
    }
    if (arguments.first_port == 0) arguments.first_port = chosen_port();
    if (const int unusable = check(arguments)) return unusable;
    std::signal(SIGINT, [](int) { interrupted = true; });
    std::signal(SIGTERM, [](int) { interrupted = true; });
    std::signal(SIGPIPE, SIG_IGN);
    Totals totals;
    std::string error;
    std::mutex lock;
    std::vector<std::thread> threads;
    for (int i = 0; i < arguments.jobs; ++i)
        threads.emplace_back([&, i] { play_every(arguments, i, totals, error, lock); });
    for (auto& thread : threads) thread.join();
    if (!error.empty()) {
        std::cerr << "cottonway-soak: " << error << "\n";
        return kExitUnusable;
    }
    std::cout << totals.passed << " passed, " << totals.failed << " failed, " << totals.not_judged
              << " not judged" << std::endl;
    if (totals.failed > 0) return kExitBreach;
    if (interrupted) return kExitInterrupted;
    return totals.not_judged > 0 ? kExitNotJudged : 0;
}
