#include "config/settings.hpp"

#include <asio/ip/address_v4.hpp>
#include <cmath>
#include <filesystem>
#include <functional>
#include <stdexcept>

#include "config/table.hpp"

namespace cottonway {
namespace {

using settings::fail;
using settings::parse_file;
using settings::Table;

std::string text(const toml::table& file, const std::string& key) {
    auto value = file.at_path(key).value<std::string>();
    if (!value || value->empty()) fail(key, "must be a non-empty text");
    return *value;
}

double number(const toml::table& file, const std::string& key, double low, double high) {
    auto value = file.at_path(key).value<double>();
    if (!value) fail(key, "must be a number");
    if (!std::isfinite(*value) || *value < low || *value > high)
        fail(key, "must lie between " + std::to_string(low) + " and " + std::to_string(high));
    return *value;
}

Micros duration(const toml::table& file, const std::string& key) {
    return static_cast<Micros>(std::llround(number(file, key, 0.001, 1e6) * 1e6));
}

Endpoint endpoint(const toml::table& file, const std::string& key) {
    try {
        return parse_endpoint(text(file, key));
    } catch (const std::invalid_argument& error) {
        fail(key, error.what());
    }
}

/// Calls `read_row` for each table of an array, and puts the path of the table before the message of an
/// error.
void rows(const toml::table& file, const std::string& key, bool required,
          const std::function<void(const toml::table&)>& read_row) {
    const toml::array* array = file.at_path(key).as_array();
    if (!array) {
        if (required) fail(key, "is missing");
        return;
    }
    std::size_t index = 0;
    for (const auto& row : *array) {
        if (!row.is_table()) fail(key, "must hold tables");
        try {
            read_row(*row.as_table());
        } catch (const std::runtime_error& error) {
            throw std::runtime_error(key + "[" + std::to_string(index) + "]." + error.what());
        }
        ++index;
    }
}

Milli amount(const toml::table& file, const std::string& key) {
    return static_cast<Milli>(std::llround(number(file, key, 0, 1e9) * 1000));
}

void load_operators(const std::string& path, Settings& settings) {
    OperatorSettings& operators = settings.operators;
    const toml::table file = parse_file(path);
    Table root(file, "");
    operators.log_level = root.text("log_level", "");
    root.table("placement", [&](Table& section) {
        auto& placement = operators.placement;
        auto weight = [&](const char* key, double& field) {
            field = section.number(key, field, -1000, 1000);
        };
        weight("cores_weight", placement.cores_weight);
        weight("ram_weight", placement.ram_weight);
        weight("free_ram_weight", placement.free_ram_weight);
        weight("size_weight", placement.size_weight);
        weight("tasks_weight", placement.tasks_weight);
        weight("image_weight", placement.image_weight);
        placement.jitter = section.number("jitter", placement.jitter, 0, 100);
        placement.cores_threshold = section.number("cores_threshold", placement.cores_threshold, 0, 1);
        placement.ram_threshold = section.number("ram_threshold", placement.ram_threshold, 0, 1);
    });
    auto seconds = [](Micros duration) { return static_cast<double>(duration) / 1e6; };
    root.table("leadership", [&](Table& section) {
        operators.liveness_ttl = section.seconds("live_ttl_s", seconds(operators.liveness_ttl), 0.5, 60);
    });
    root.table("history",
               [&](Table& section) { operators.separate_history = section.number("apart", 0, 0, 1) > 0; });
    root.table("fleet", [&](Table& section) {
        operators.idle_return_delay =
            section.seconds("idle_return_s", seconds(operators.idle_return_delay), 1, 86400);
    });
    if (const std::string policy_file_name = root.text("policy", ""); !policy_file_name.empty()) {
        operators.policy_file = (std::filesystem::path(path).parent_path() / policy_file_name).string();
        operators.policy = policy::load(operators.policy_file, &settings);
    }
}

}  // namespace

Endpoint parse_endpoint(const std::string& text) {
    auto colon = text.rfind(':');
    if (colon == std::string::npos) throw std::invalid_argument("must look like 10.0.0.1:8080");
    Endpoint endpoint;
    endpoint.host = text.substr(0, colon);
    asio::error_code ec;
    asio::ip::make_address_v4(endpoint.host, ec);
    if (ec) throw std::invalid_argument("not an IPv4 address: " + endpoint.host);
    const std::string port = text.substr(colon + 1);
    if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos ||
        std::stoi(port) < 1 || std::stoi(port) > 65535)
        throw std::invalid_argument("not a port: " + port);
    endpoint.port = static_cast<std::uint16_t>(std::stoi(port));
    return endpoint;
}

Settings load_settings(const std::string& path, const std::string& operators_path) {
    const toml::table file = parse_file(path);
    Settings settings;
    settings.node = text(file, "node_name");
    settings.zone = text(file, "site");
    settings.client_listen = endpoint(file, "client_listen");
    settings.cluster_listen = endpoint(file, "cluster_listen");
    settings.cloud = endpoint(file, "services.cloud");
    settings.state = endpoint(file, "services.state");
    rows(file, "peers", false, [&](const toml::table& row) {
        settings.peers.push_back({text(row, "node_name"), text(row, "site"), endpoint(row, "peer_addr")});
    });
    if (const auto* zones = file.at_path("deployment.zones").as_array())
        for (const auto& zone : *zones)
            if (auto name = zone.value<std::string>()) settings.zones.push_back(*name);
    rows(file, "deployment.teams", true, [&](const toml::table& row) {
        // A missing key or 0 means no guarantee, or no limit (a guest team).
        auto optional_amount = [&](const char* key) { return row.contains(key) ? amount(row, key) : 0; };
        auto limit = [&](const char* key) {
            const Milli amount_or_zero = optional_amount(key);
            return amount_or_zero > 0 ? amount_or_zero : kNoLimit;
        };
        Team team;
        team.name = text(row, "name");
        team.guarantee = {optional_amount("cpus"), optional_amount("gpus"), 0};
        team.limit = {limit("cpus_max"), limit("gpus_max"), 0};
        settings.teams.push_back(team);
    });
    rows(file, "deployment.objectives", false, [&](const toml::table& row) {
        Objective objective;
        objective.kind = text(row, "kind");
        objective.job_class = row.at_path("class").value_or<std::string>("");
        objective.time_limit = static_cast<Micros>(row.at_path("within_s").value_or(0.0) * 1e6);
        settings.objectives.push_back(objective);
    });
    settings.report_interval = duration(file, "deployment.workers.report_s");
    settings.worker_lease = duration(file, "deployment.workers.lease_s");
    settings.gang_wait_timeout = duration(file, "deployment.workers.gang_wait_s");
    settings.gang_peer_timeout = duration(file, "deployment.workers.gang_peer_s");
    settings.cancel_deadline = duration(file, "deployment.workers.cancel_s");
    settings.state_rps = number(file, "deployment.state.rps", 0.1, 1e6);
    settings.state_write_rps = number(file, "deployment.state.write_rps", 0.1, 1e6);
    auto read_kilobytes = [&](const char* key) {
        return static_cast<std::size_t>(number(file, key, 1, 64) * 1024);
    };
    auto read_count = [&](const char* key) { return static_cast<std::size_t>(number(file, key, 1, 1000)); };
    settings.max_value_bytes = settings.current_max_value_bytes = read_kilobytes("deployment.state.value_kb");
    settings.max_txn_ops = read_count("deployment.state.txn_ops");
    settings.next_write_rps = settings.state_write_rps;
    if (const auto next_limits = file.at_path("deployment.state.next")) {
        if (!next_limits.is_table()) fail("deployment.state.next", "must be a table");
        auto is_set = [&](const char* key) { return static_cast<bool>(file.at_path(key)); };
        if (is_set("deployment.state.next.value_kb"))
            settings.max_value_bytes =
                std::min(settings.max_value_bytes, read_kilobytes("deployment.state.next.value_kb"));
        if (is_set("deployment.state.next.txn_ops"))
            settings.max_txn_ops =
                std::min(settings.max_txn_ops, read_count("deployment.state.next.txn_ops"));
        if (is_set("deployment.state.next.write_rps"))
            settings.next_write_rps = number(file, "deployment.state.next.write_rps", 0.1, 1e6);
    }
    settings.cloud_rps = number(file, "deployment.cloud.rps", 0.1, 1e6);
    settings.cloud_list_lag = duration(file, "deployment.cloud.list_lag_s");
    settings.sockets = static_cast<std::size_t>(number(file, "deployment.limits.sockets", 64, 1e6));
    if (file.at_path("deployment.limits.cpu_share"))
        settings.cpu_cores = number(file, "deployment.limits.cpu_share", 0.001, 1024);
    if (!operators_path.empty()) load_operators(operators_path, settings);
    return settings;
}

}  // namespace cottonway
