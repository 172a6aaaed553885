// The program: runs a controller, checks its settings, or asks a running one.

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
    bool check = false;
    app.add_option("--config", config, "the platform's settings file (TOML); runs a controller");
    app.add_option("--operators", operators, "the operators' own settings (TOML)");
    app.add_flag("--check", check, "check the settings and exit");
    auto client = [&](const char* name, const char* help) {
        auto* sub = app.add_subcommand(name, help);
        sub->add_option("--node", node, "address of a controller")->capture_default_str();
        return sub;
    };
    auto* submit = client("submit", "submit the job in a JSON file, or a list of them in order");
    submit->add_option("file", file, "the job or jobs as JSON")->required()->check(CLI::ExistingFile);
    auto* show = client("show", "show jobs, for example those of a pipeline");
    show->add_option("ref", refs, "the jobs' ids")->required();
    auto* cancel = client("cancel", "cancel a job");
    cancel->add_option("ref", ref, "the job's id")->required();
    auto* status = client("status", "status and metrics of a controller (its cluster address)");
    auto* explain = client("explain", "tell why a job waits (asks a controller's cluster address)");
    explain->add_option("ref", ref, "the job's id")->required();
    auto* policies = app.add_subcommand("policy", "the operators' policy: check a file, or ask a controller");
    policies->require_subcommand(1);
    auto* policy_check = policies->add_subcommand("check", "check a file, and print it as it was understood");
    policy_check->add_option("file", file, "the policy (TOML)")->required()->check(CLI::ExistingFile);
    policy_check->add_option("--config", config, "the platform's settings file, for its teams and zones");
    auto* policy_show = policies->add_subcommand("show", "show the policy that a controller goes by");
    auto* policy_diff = policies->add_subcommand(
        "diff", "show what a file would change; exit code 0: nothing, 1: something, or no answer");
    policy_diff->add_option("file", file, "the policy (TOML)")->required()->check(CLI::ExistingFile);
    for (auto* sub : {policy_show, policy_diff})
        sub->add_option("--node", node, "cluster address of a controller")->capture_default_str();
    bool json = false;
    auto* verify = app.add_subcommand(
        "verify", "read the state service and report what is damaged; exit code 0: nothing, 1: something");
    verify->add_option("--config", config, "the platform's settings file (TOML)")->required();
    verify->add_flag("--json", json, "print the findings as JSON");
    app.require_subcommand(0, 1);
    CLI11_PARSE(app, argc, argv);

    try {
        if (submit->parsed()) {
            std::ifstream in(file);
            return cli::submit_jobs(parse_endpoint(node), Json::parse(in));
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
        const char* level = std::getenv("LOG_LEVEL");
        std::string wanted = level ? level : settings.ops.log_level;
        if (!start_logging(settings.node, wanted)) {
            std::cerr << "LOG_LEVEL: must be error, info or debug, not " << wanted << "\n";
            return 2;
        }
        if (check) {
            std::cout << "settings of " << settings.node << " are fine\n";
            return 0;
        }
        net::run_service(settings);
    } catch (const std::exception& e) {
        std::cerr << "cottonway: " << e.what() << "\n";
        return 2;
    }
    return 0;
}
