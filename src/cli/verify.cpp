#include "cli/verify.hpp"

#include <iostream>

#include "net/service.hpp"
#include "verify/verify.hpp"

namespace cottonway::cli {

namespace {

void print(const std::vector<recovery::Finding>& findings, const Json& summary, bool json) {
    auto weight = [](const recovery::Finding& f) {
        return f.severity == recovery::Finding::Severity::Damage ? "damage" : "notice";
    };
    if (json) {
        Json list = Json::array();
        for (const auto& f : findings)
            list.push_back({{"weight", weight(f)}, {"key", f.key}, {"what", f.message}});
        std::cout << Json{{"findings", std::move(list)}, {"read", summary}}.dump(2) << "\n";
        return;
    }
    for (const auto& f : findings) std::cout << weight(f) << ": " << f.key << " " << f.message << "\n";
    for (const auto& [kind, n] : summary.items()) std::cerr << kind << ": " << n.dump() << "\n";
}

}  // namespace

int verify_store(Settings settings, bool json) {
    // Controllers that serve meanwhile need the rest.
    settings.state_rps *= 0.1;
    settings.peers.clear();
    asio::io_context io(1);
    net::AsioHost host(io, settings);
    StoreClient store(host, settings);
    recovery::Verifier verifier(settings);
    int code = 2;
    store.list(
        keys::root, [](const std::string& key) { return key; },
        [&](const Entry& e) { verifier.add_record(e.key, e.value, e.mod_revision); },
        [&](const ListResult& r) {
            io.stop();
            if (!r.ok) {
                std::cerr << "cottonway: the state service at " << settings.state.host << ":"
                          << settings.state.port << " can't be read\n";
                return;
            }
            const auto findings = verifier.finish();
            print(findings, verifier.summary(), json);
            const bool damaged =
                !findings.empty() && findings.front().severity == recovery::Finding::Severity::Damage;
            code = damaged ? 1 : 0;
        });
    io.run();
    return code;
}

}  // namespace cottonway::cli
