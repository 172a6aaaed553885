#include "cli/verify.hpp"

#include <iostream>

#include "net/service.hpp"
#include "verify/verify.hpp"

namespace cottonway::cli {

namespace {

void print_findings(const std::vector<recovery::Finding>& findings, const Json& summary, bool json) {
    auto severity_name = [](const recovery::Finding& finding) {
        return finding.severity == recovery::Finding::Severity::Damage ? "damage" : "notice";
    };
    if (json) {
        Json finding_list = Json::array();
        for (const auto& finding : findings)
            finding_list.push_back(
                {{"weight", severity_name(finding)}, {"key", finding.key}, {"what", finding.message}});
        std::cout << Json{{"findings", std::move(finding_list)}, {"read", summary}}.dump(2) << "\n";
        return;
    }
    for (const auto& finding : findings)
        std::cout << severity_name(finding) << ": " << finding.key << " " << finding.message << "\n";
    for (const auto& [kind, count] : summary.items()) std::cerr << kind << ": " << count.dump() << "\n";
}

}  // namespace

int verify_store(Settings settings, bool json) {
    // Running controllers need the rest of the request rate.
    settings.state_rps *= 0.1;
    settings.peers.clear();
    asio::io_context io(1);
    net::AsioHost host(io, settings);
    StoreClient store(host, settings);
    recovery::Verifier verifier(settings);
    int exit_code = 2;
    store.list(
        keys::root, [](const std::string& key) { return key; },
        [&](const Entry& entry) { verifier.add_record(entry.key, entry.value, entry.mod_revision); },
        [&](const ListResult& result) {
            io.stop();
            if (!result.ok) {
                std::cerr << "cottonway: the state service at " << settings.state.host << ":"
                          << settings.state.port << " cannot be read\n";
                return;
            }
            const auto findings = verifier.finish();
            print_findings(findings, verifier.summary(), json);
            const bool has_damage =
                !findings.empty() && findings.front().severity == recovery::Finding::Severity::Damage;
            exit_code = has_damage ? 1 : 0;
        });
    io.run();
    return exit_code;
}

}  // namespace cottonway::cli
