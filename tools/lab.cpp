// Runs an experiment, which is a scenario of the simulator, and prints its results. The same seed gives the
// same run.

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

#include "logging/log.hpp"
#include "simulation/scenario.hpp"

using namespace cottonway;

int main(int argc, char** argv) {
    CLI::App app{"cottonway-lab: experiments on simulated machines, every rule of the protocol checked"};
    std::string file, csv, level = "error";
    std::int64_t seed = -1;
    int seeds = 0;
    bool json = false;
    app.add_option("experiment", file, "the experiment (TOML), see examples/lab and docs/lab.md")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--seed", seed, "the first seed, instead of the experiment's own");
    app.add_option("--seeds", seeds, "number of seeds, instead of the experiment's own")
        ->check(CLI::Range(1, 100'000));
    app.add_option("--csv", csv, "write the results to this file");
    app.add_flag("--json", json, "print the results as JSON");
    app.add_option("--log", level, "error, info or debug: level of the controllers' log on standard error")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        simulation::Scenario scenario = simulation::Scenario::load(file);
        if (seed >= 0) scenario.seed = static_cast<std::uint64_t>(seed);
        if (seeds > 0) scenario.seeds = seeds;
        if (!start_logging("lab", level)) throw std::runtime_error("--log: must be error, info or debug");
        simulation::ScenarioResults results;
        for (int i = 0; i < scenario.seeds; ++i)
            simulation::run_scenario(scenario, scenario.seed + static_cast<std::uint64_t>(i), results);
        if (json)
            std::cout << results.to_json().dump(2) << "\n";
        else
            std::cout << scenario.name << "\n" << results.table();
        if (!csv.empty()) {
            std::ofstream csv_file(csv);
            csv_file << results.csv();
            if (!csv_file) throw std::runtime_error(csv + ": cannot be written");
        }
        return results.passed() ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "cottonway-lab: " << error.what() << "\n";
        return 2;
    }
}
