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

std::string text(const toml::table& t, const std::string& key) {
    auto v = t.at_path(key).value<std::string>();
    if (!v || v->empty()) fail(key, "a text is needed");
    return *v;
}

double number(const toml::table& t, const std::string& key, double low, double high) {
    auto v = t.at_path(key).value<double>();
    if (!v) fail(key, "a number is needed");
    if (!std::isfinite(*v) || *v < low || *v > high)
        fail(key, "must lie between " + std::to_string(low) + " and " + std::to_string(high));
    return *v;
}

Micros duration(const toml::table& t, const std::string& key) {
    return static_cast<Micros>(std::llround(number(t, key, 0.001, 1e6) * 1e6));
}

Endpoint endpoint(const toml::table& t, const std::string& key) {
    try {
        return parse_endpoint(text(t, key));
    } catch (const std::invalid_argument& e) {
        fail(key, e.what());
    }
}

/// Rows of an array of tables, each with the path that an error should name.
void rows(const toml::table& t, const std::string& key, bool needed,
          const std::function<void(const toml::table&)>& use) {
    const toml::array* list = t.at_path(key).as_array();
    if (!list) {
        if (needed) fail(key, "is missing");
        return;
    }
    std::size_t i = 0;
    for (const auto& row : *list) {
        if (!row.is_table()) fail(key, "must hold tables");
        try {
            use(*row.as_table());
        } catch (const std::runtime_error& e) {
            throw std::runtime_error(key + "[" + std::to_string(i) + "]." + e.what());
        }
        ++i;
    }
}

Milli amount(const toml::table& t, const std::string& key) {
    return static_cast<Milli>(std::llround(number(t, key, 0, 1e9) * 1000));
}

void load_operators(const std::string& path, Settings& s) {
    OperatorSettings& out = s.operators;
    const toml::table file = parse_file(path);
    Table t(file, "");
    out.log_level = t.text("log_level", "");
    t.table("placement", [&](Table& x) {
        auto& p = out.placement;
        auto weight = [&](const char* key, double& to) { to = x.number(key, to, -1000, 1000); };
        weight("cores_weight", p.cores_weight);
        weight("ram_weight", p.ram_weight);
        weight("free_ram_weight", p.free_ram_weight);
        weight("size_weight", p.size_weight);
        weight("tasks_weight", p.tasks_weight);
        weight("image_weight", p.image_weight);
        p.jitter = x.number("jitter", p.jitter, 0, 100);
        p.cores_threshold = x.number("cores_threshold", p.cores_threshold, 0, 1);
        p.ram_threshold = x.number("ram_threshold", p.ram_threshold, 0, 1);
    });
    auto seconds = [](Micros m) { return static_cast<double>(m) / 1e6; };
    t.table("leadership", [&](Table& x) {
        out.liveness_ttl = x.seconds("live_ttl_s", seconds(out.liveness_ttl), 0.5, 60);
    });
    t.table("history", [&](Table& x) { out.separate_history = x.number("apart", 0, 0, 1) > 0; });
    t.table("fleet", [&](Table& x) {
        out.idle_return_delay = x.seconds("idle_return_s", seconds(out.idle_return_delay), 1, 86400);
    });
    if (const std::string named = t.text("policy", ""); !named.empty()) {
        out.policy_file = (std::filesystem::path(path).parent_path() / named).string();
        out.policy = policy::load(out.policy_file, &s);
    }
}

}  // namespace

Endpoint parse_endpoint(const std::string& s) {
    auto colon = s.rfind(':');
    if (colon == std::string::npos) throw std::invalid_argument("must look like 10.0.0.1:8080");
    Endpoint e;
    e.host = s.substr(0, colon);
    asio::error_code ec;
    asio::ip::make_address_v4(e.host, ec);
    if (ec) throw std::invalid_argument("not an IPv4 address: " + e.host);
    const std::string port = s.substr(colon + 1);
    if (port.empty() || port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos ||
        std::stoi(port) < 1 || std::stoi(port) > 65535)
        throw std::invalid_argument("not a port: " + port);
    e.port = static_cast<std::uint16_t>(std::stoi(port));
    return e;
}

Settings load_settings(const std::string& path, const std::string& operators_path) {
    const toml::table t = parse_file(path);
    Settings s;
    s.node = text(t, "node_name");
    s.zone = text(t, "site");
    s.client_listen = endpoint(t, "client_listen");
    s.cluster_listen = endpoint(t, "cluster_listen");
    s.cloud = endpoint(t, "services.cloud");
    s.state = endpoint(t, "services.state");
    rows(t, "peers", false, [&](const toml::table& row) {
        s.peers.push_back({text(row, "node_name"), text(row, "site"), endpoint(row, "peer_addr")});
    });
    if (const auto* zones = t.at_path("deployment.zones").as_array())
        for (const auto& z : *zones)
            if (auto v = z.value<std::string>()) s.zones.push_back(*v);
    rows(t, "deployment.teams", true, [&](const toml::table& row) {
        // 0 or nothing means none: no guarantee, or no limit (a guest team).
        auto guarantee = [&](const char* key) { return row.contains(key) ? amount(row, key) : 0; };
        auto limit = [&](const char* key) {
            const Milli most = guarantee(key);
            return most > 0 ? most : kNoLimit;
        };
        Team team;
        team.name = text(row, "name");
        team.guarantee = {guarantee("cpus"), guarantee("gpus"), 0};
        team.limit = {limit("cpus_max"), limit("gpus_max"), 0};
        s.teams.push_back(team);
    });
    rows(t, "deployment.objectives", false, [&](const toml::table& row) {
        Objective o;
        o.kind = text(row, "kind");
        o.job_class = row.at_path("class").value_or<std::string>("");
        o.within = static_cast<Micros>(row.at_path("within_s").value_or(0.0) * 1e6);
        s.objectives.push_back(o);
    });
    s.report_interval = duration(t, "deployment.workers.report_s");
    s.worker_lease = duration(t, "deployment.workers.lease_s");
    s.gang_wait_timeout = duration(t, "deployment.workers.gang_wait_s");
    s.gang_peer_timeout = duration(t, "deployment.workers.gang_peer_s");
    s.cancel_deadline = duration(t, "deployment.workers.cancel_s");
    s.state_rps = number(t, "deployment.state.rps", 0.1, 1e6);
    s.state_write_rps = number(t, "deployment.state.write_rps", 0.1, 1e6);
    auto bytes = [&](const char* key) { return static_cast<std::size_t>(number(t, key, 1, 64) * 1024); };
    auto ops = [&](const char* key) { return static_cast<std::size_t>(number(t, key, 1, 1000)); };
    s.max_value_bytes = s.current_max_value_bytes = bytes("deployment.state.value_kb");
    s.max_txn_ops = ops("deployment.state.txn_ops");
    s.next_write_rps = s.state_write_rps;
    if (const auto next = t.at_path("deployment.state.next")) {
        if (!next.is_table()) fail("deployment.state.next", "must be a table");
        auto set = [&](const char* key) { return static_cast<bool>(t.at_path(key)); };
        if (set("deployment.state.next.value_kb"))
            s.max_value_bytes = std::min(s.max_value_bytes, bytes("deployment.state.next.value_kb"));
        if (set("deployment.state.next.txn_ops"))
            s.max_txn_ops = std::min(s.max_txn_ops, ops("deployment.state.next.txn_ops"));
        if (set("deployment.state.next.write_rps"))
            s.next_write_rps = number(t, "deployment.state.next.write_rps", 0.1, 1e6);
    }
    s.cloud_rps = number(t, "deployment.cloud.rps", 0.1, 1e6);
    s.cloud_list_lag = duration(t, "deployment.cloud.list_lag_s");
    s.sockets = static_cast<std::size_t>(number(t, "deployment.limits.sockets", 64, 1e6));
    if (t.at_path("deployment.limits.cpu_share"))
        s.cpu_cores = number(t, "deployment.limits.cpu_share", 0.001, 1024);
    if (!operators_path.empty()) load_operators(operators_path, s);
    return s;
}

}  // namespace cottonway
