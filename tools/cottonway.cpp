// The cottonway program: runs a controller, checks its settings, or sends commands to a running controller.

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "cli/client.hpp"
#include "cli/verify.hpp"
#include "config/settings.hpp"
#include "logging/log.hpp"
#include "net/service.hpp"

using namespace cottonway;

int main(int argc, char** argv) {
    CLI::App app{"cottonway: a cluster scheduler"};
    app.set_version_flag("--version", std::string("cottonway ") + COTTONWAY_VERSION);
    std::string config, operators, node = "127.0.0.1:8080", ref, file;
    std::vector<std::string> refs;
    bool check_only = false;
    app.add_option("--config", config, "the platform's settings file (TOML); runs a controller");
    app.add_option("--operators", operators, "the operators' own settings (TOML)");
    app.add_flag("--check", check_only, "check the settings and exit");
    auto add_client_command = [&](const char* name, const char* help) {
        auto* subcommand = app.add_subcommand(name, help);
        subcommand->add_option("--node", node, "address of a controller")->capture_default_str();
        return subcommand;
    };
    auto* submit = add_client_command("submit", "submit the job in a JSON file, or a list of them in order");
    submit->add_option("file", file, "the job or jobs as JSON")->required()->check(CLI::ExistingFile);
    auto* show = add_client_command("show", "show jobs, for example those of a pipeline");
    show->add_option("ref", refs, "the jobs' ids")->required();
    auto* cancel = add_client_command("cancel", "cancel a job");
    cancel->add_option("ref", ref, "the job's id")->required();
    auto* status =
        add_client_command("status", "show status and metrics of a controller (uses its cluster address)");
    auto* explain =
        add_client_command("explain", "explain why a job waits (uses a controller's cluster address)");
    explain->add_option("ref", ref, "the job's id")->required();
    auto* policy_command =
        app.add_subcommand("policy", "the operators' policy: check a file, or query a controller");
    policy_command->require_subcommand(1);
    auto* policy_check = policy_command->add_subcommand("check", "check a file and print it in parsed form");
    policy_check->add_option("file", file, "the policy (TOML)")->required()->check(CLI::ExistingFile);
    policy_check->add_option("--config", config, "the platform's settings file, for its teams and zones");
    auto* policy_show = policy_command->add_subcommand("show", "show the policy that a controller applies");
    auto* policy_diff = policy_command->add_subcommand(
        "diff", "show what a file would change; exit code 0: nothing, 1: something, or no response");
    policy_diff->add_option("file", file, "the policy (TOML)")->required()->check(CLI::ExistingFile);
    for (auto* subcommand : {policy_show, policy_diff})
        subcommand->add_option("--node", node, "cluster address of a controller")->capture_default_str();
    bool json = false;
    auto* verify = app.add_subcommand(
        "verify", "read the state service and report damaged records; exit code 0: none, 1: some");
    verify->add_option("--config", config, "the platform's settings file (TOML)")->required();
    verify->add_flag("--json", json, "print the findings as JSON");
    app.require_subcommand(0, 1);
    CLI11_PARSE(app, argc, argv);

    try {
        if (submit->parsed()) {
            std::ifstream input(file);
            return cli::submit_jobs(parse_endpoint(node), Json::parse(input));
        }
        if (show->parsed()) return cli::show_jobs(parse_endpoint(node), refs);
        if (cancel->parsed())
            return cli::request_and_print(parse_endpoint(node), "POST", "/v1/jobs/" + ref + "/abort",
                                          Json::object());
        if (status->parsed()) return cli::request_and_print(parse_endpoint(node), "GET", "/status", {});
        if (explain->parsed())
            return cli::request_and_print(parse_endpoint(node), "GET", "/explain/" + ref, {});
        if (policy_check->parsed()) return cli::check_policy(file, config);
        if (policy_show->parsed()) return cli::show_policy(parse_endpoint(node));
        if (policy_diff->parsed()) return cli::diff_policy(file, parse_endpoint(node));
        if (verify->parsed()) {
            start_logging("verify", "error");
            return cli::verify_store(load_settings(config, ""), json);
        }
        if (config.empty()) {
            std::cerr << app.help();
            return 2;
        }
        const Settings settings = load_settings(config, operators);
        const char* level_override = std::getenv("LOG_LEVEL");
        std::string log_level = level_override ? level_override : settings.operators.log_level;
        if (!start_logging(settings.node, log_level)) {
            std::cerr << "LOG_LEVEL: must be error, info or debug, not " << log_level << "\n";
            return 2;
        }
        if (check_only) {
            std::cout << "settings of " << settings.node << " are fine\n";
            return 0;
        }
        net::run_service(settings);
    } catch (const std::exception& error) {
        std::cerr << "cottonway: " << error.what() << "\n";
        return 2;
    }
    return 0;
}
