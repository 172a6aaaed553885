#pragma once

#include <cmath>

#include "stage.hpp"

namespace review {

/// The deployment of the site file vendlab-sfax.toml.
inline Deployment vendlab_sfax() {
    Deployment d;
    d.zones = {"sfax-north", "sfax-port"};
    d.teams = {{"field-ops", 496, 744}, {"pricing", 328, 496}};
    d.controllers = 3;
    d.report_s = 1.5;
    d.lease_s = 10;
    d.gang_wait_s = 35;
    d.gang_peer_s = 8;
    d.cancel_s = 40;
    d.rps = 250;
    d.write_rps = 100;
    d.value_kb = 16;
    d.txn_ops = 16;
    d.cloud_rps = 4;
    d.cpu_share = 0.08;
    d.mem_mb = 72;
    d.sockets = 1000;
    d.skew_ms = 250;
    return d;
}

/// The cases by name. Each registers itself in its own file.
using CaseFactory =
    std::function<std::unique_ptr<Stage>(const std::string& record, const std::string& run_command)>;
inline std::map<std::string, CaseFactory>& cases() {
    static std::map<std::string, CaseFactory> by_name;
    return by_name;
}
template <class Case>
bool register_case(const std::string& name) {
    cases()[name] = [](const std::string& record, const std::string& run_command) {
        return std::make_unique<Case>(record, run_command);
    };
    return true;
}

}  // namespace review
