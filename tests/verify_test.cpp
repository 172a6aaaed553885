// Checks that `cottonway verify` reports each kind of damage in a store, and that controllers which start
// with the same damage still serve everything else.

#include "verify/verify.hpp"

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(sim) \
    EXPECT_TRUE((sim).violations.empty()) << (sim).violations.front() << "\n" << (sim).format_history()

using recovery::Finding;

std::vector<Finding> verify(Simulator& simulator) {
    recovery::Verifier verifier(simulator.settings);
    std::string last_key;
    for (;;) {
        auto response = simulator.state().handle(
            "GET", "/store?starts=c/" + (last_key.empty() ? "" : "&since=" + last_key) + "&page=500", {},
            simulator.now());
        for (const auto& record : response.body["pairs"]) {
            last_key = record["k"];
            verifier.add_record(last_key, record["data"], record["mark"]);
        }
        if (!response.body["has_next"].get<bool>()) return verifier.finish();
    }
}

std::string to_text(const std::vector<Finding>& findings) {
    std::string text;
    for (const auto& finding : findings)
        text += std::string(finding.severity == Finding::Severity::Damage ? "damage: " : "notice: ") +
                finding.key + " " + finding.message + "\n";
    return text;
}

void write_record(Simulator& simulator, const std::string& key, const Json& value) {
    simulator.state().handle(
        "POST", "/commit",
        Json{{"when", Json::array()}, {"then", Json::array({Json{{"write", key}, {"data", value}}})}},
        simulator.now());
}

Json read_record(Simulator& simulator, const std::string& key) {
    return simulator.state().handle("GET", "/store/" + key, {}, simulator.now()).body["data"];
}

std::unique_ptr<Simulator> busy_simulator(std::uint64_t seed) {
    auto simulator = std::make_unique<Simulator>(seed);
    for (int i = 0; i < 4; ++i) simulator->add_machine("small", i % 2 ? "b" : "a");
    simulator->start_nodes();
    simulator->run(6 * kSecond);
    simulator->submit(simulator->make_job(1, JobKind::Service, 3), 0);
    simulator->submit(simulator->make_job(2, JobKind::Array, 300, 0.01), 20 * kSecond);
    simulator->submit(simulator->make_job(3, JobKind::Array, 2), kSecond);
    simulator->submit(simulator->make_job(4, JobKind::Service, 2), 0);
    simulator->run(5 * kSecond);
    simulator->cancel("req-000004");
    simulator->run(4 * kSecond);
    return simulator;
}

TEST(Verify, ReportsNothingForAnUndamagedStore) {
    auto simulator = busy_simulator(1);
    EXPECT_EQ(to_text(verify(*simulator)), "");
    for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
    simulator->run(5 * kSecond);
    EXPECT_EQ(to_text(verify(*simulator)), "");
}

TEST(Verify, ReportsEachDamageAndControllersServeTheRest) {
    struct DamageCase {
        const char* expected_text;
        std::function<void(Simulator&)> damage;
        bool service_keeps_running = true;  // req-000001
    };
    auto block_key = [](Simulator& simulator) {
        return simulator.state()
            .handle("GET", "/store?starts=c/block/&page=1", {}, simulator.now())
            .body["pairs"][0]["k"]
            .get<std::string>();
    };
    const std::vector<DamageCase> cases{
        {"its description is invalid",
         [](Simulator& simulator) {
             Json value = read_record(simulator, "c/active/req-000002");
             value["d"]["threads"] = "many";
             write_record(simulator, "c/active/req-000002", value);
         }},
        {"has no description",
         [](Simulator& simulator) {
             write_record(simulator, "c/active/req-000002", {{"s", "queued"}, {"k", 3}});
         }},
        {"is not a map", [](Simulator& simulator) { write_record(simulator, "c/active/req-000002", 7); }},
        {"is not over, although finished jobs are stored separately",
         [](Simulator& simulator) {
             Json value = read_record(simulator, "c/active/req-000002");
             value["d"]["ref"] = "req-000009";
             write_record(simulator, "c/job/req-000009", value);
         }},
        {"is bound twice",
         [](Simulator& simulator) {
             Json value = read_record(simulator, "c/active/req-000002");
             value["b"].push_back(Json::array({value["b"][0][0], value["b"][0][1], value["b"][0][2]}));
             write_record(simulator, "c/active/req-000002", value);
         }},
        {"belongs to a job that is over",
         [](Simulator& simulator) {
             write_record(simulator, "c/part/req-000077/1", {{"n", 1}});
         }},
        {"does not parse; the block and its machines are ignored",
         [](Simulator& simulator) {
             write_record(simulator, "c/block/9-1", {{"dom", 5}});
         }},
        {"; the newer block takes precedence",
         [&](Simulator& simulator) {
             write_record(simulator, "c/block/9-1", read_record(simulator, block_key(simulator)));
         }},
        {"which has no holder",
         [&](Simulator& simulator) {
             Json value = read_record(simulator, block_key(simulator));
             value["dom"] = "nowhere";
             value["m"] = Json::array({Json::array({"n-009999", "10.9.9.9:9000"})});
             write_record(simulator, "c/block/9-1", value);
         }},
        {"add up to",
         [](Simulator& simulator) {
             Json value =
                 read_record(simulator, "c/share/" + simulator.owner_at(simulator.owner_node())->shard());
             value["red"][0] = 50'000;
             write_record(simulator, "c/share/" + simulator.owner_at(simulator.owner_node())->shard(), value);
         }},
        {"newer than this program's",
         [](Simulator& simulator) {
             write_record(simulator, "c/format/loom-1", {{"reads", 99}});
         }},
        {"is a record of an unknown kind",
         [](Simulator& simulator) {
             write_record(simulator, "c/zebra/1", {{"x", 1}});
         }},
        {"chunks are missing",
         [](Simulator& simulator) {
             write_record(simulator, "c/active/req-000002",
                          {{"s", "queued"}, {"x", Json::array({"feed", 3U})}});
         }},
    };
    for (const auto& damage_case : cases) {
        auto simulator = busy_simulator(2);
        damage_case.damage(*simulator);
        const auto findings = verify(*simulator);
        EXPECT_NE(to_text(findings).find(damage_case.expected_text), std::string::npos)
            << damage_case.expected_text << ":\n"
            << to_text(findings);
        EXPECT_LE(findings.size(), 4u) << "one damage causes few findings:\n" << to_text(findings);
        // Controllers that start with the damage ignore the damaged record without overwriting it, and serve
        // the rest.
        for (int i = 0; i < 3; ++i) simulator->crash(i, kSecond);
        simulator->run(6 * kSecond);
        EXPECT_EQ(simulator->running_tasks("req-000001"), 3) << damage_case.expected_text << "\n"
                                                             << simulator->format_history();
        EXPECT_EQ(simulator->task_starts("req-000001"), 3) << damage_case.expected_text;
        simulator->submit(simulator->make_job(8, JobKind::Array, 2), kSecond);
        simulator->run(6 * kSecond);
        EXPECT_EQ(simulator->reported_stage("req-000008"), "done") << damage_case.expected_text << "\n"
                                                                   << simulator->format_history();
    }
}

}  // namespace
}  // namespace cottonway::test
