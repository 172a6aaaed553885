// Compatibility with the version in production, by records and messages that it wrote (tests/data), and with
// the current and the coming limits of the state service.

#include <gtest/gtest.h>

#include <fstream>

#include "kvstore/chunks.hpp"
#include "peer/messages.hpp"
#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

std::vector<Json> production_records() {
    std::vector<Json> out;
    std::ifstream in(std::string(COTTONWAY_TEST_DATA) + "/production_records.jsonl");
    for (std::string line; std::getline(in, line);) out.push_back(Json::parse(line));
    return out;
}

std::vector<Json> records_of(Simulator& simulator) {
    auto response = simulator.state().handle("GET", "/store?starts=c/&page=1000", Json(), simulator.now());
    return response.body["pairs"].get<std::vector<Json>>();
}

/// Runs the scenario in which the records in tests/data were written.
void run_production_scenario(Simulator& simulator, std::set<int> old_nodes) {
    for (int i = 0; i < 6; ++i)
        simulator.add_machine(i % 3 == 0 ? "large" : "small", i % 2 ? "b" : "a", i >= 4);
    simulator.start_nodes(3, std::move(old_nodes));
    simulator.run(6 * kSecond);
    JobSpec service = simulator.make_job(1, JobKind::Service, 3);
    service.spread = true;
    service.spot = false;
    simulator.submit(service, 0);
    JobSpec gang = simulator.make_job(2, JobKind::Gang, 2);
    gang.one_zone = true;
    gang.checkpoint_interval = 3 * kSecond;
    gang.save_duration = kSecond;
    simulator.submit(gang, 60 * kSecond);
    JobSpec array = simulator.make_job(3, JobKind::Array, 6, 2);
    array.deadline = 90 * kSecond;
    array.types = {"small", "large"};
    array.zone = "a";
    simulator.submit(array, 3 * kSecond);
    simulator.submit(simulator.make_job(4, JobKind::Array, 2), 2 * kSecond);
    JobSpec broken = simulator.make_job(5, JobKind::Array, 3);
    broken.team = "blue";
    simulator.submit(broken, 0, 100 * kMillisecond, true);
    JobSpec wide = simulator.make_job(6, JobKind::Array, 250);
    wide.team = "guests";
    wide.priority_class = PriorityClass::Low;
    simulator.submit(wide, 4 * kSecond);
    simulator.submit(simulator.make_job(7, JobKind::Service, 2), 0);
    simulator.run(8 * kSecond);
    simulator.cancel("req-000007");
    simulator.submit(simulator.make_job(8, JobKind::Service, 1), 0);
    simulator.run(30 * kSecond);
}

std::string key_prefix(const std::string& key) {
    return key.substr(0, key.find('/', 2));
}

/// Collects every field of a record with the type of its value, without names that are data.
void collect_field_types(const std::string& path, const Json& value, std::set<std::string>& out) {
    out.insert(path + ":" + value.type_name());
    if (value.is_object() && path.find("c/share") == std::string::npos)
        for (const auto& [key, item] : value.items()) collect_field_types(path + "." + key, item, out);
    if (value.is_array())
        for (const auto& item : value) collect_field_types(path + "[]", item, out);
}

std::set<std::string> field_types(const std::vector<Json>& records) {
    std::set<std::string> out;
    for (const auto& record : records)
        collect_field_types(key_prefix(record["k"].get<std::string>()), record["data"], out);
    return out;
}

TEST(Formats, RecordsMatchProductionWhileANodeMayBeOld) {
    Simulator simulator(4711);
    run_production_scenario(simulator, {0, 1, 2});
    const auto production_fields = field_types(production_records()),
               own_fields = field_types(records_of(simulator));
    EXPECT_EQ(own_fields, production_fields);
    // With two upgraded nodes, their format announcements are the only addition.
    Simulator partly_upgraded(4711);
    run_production_scenario(partly_upgraded, {2});
    auto remaining_fields = field_types(records_of(partly_upgraded));
    for (const char* announced_field : {"c/format:object", "c/format.reads:number"})
        remaining_fields.erase(announced_field);
    for (const auto& field : remaining_fields) EXPECT_TRUE(production_fields.count(field)) << field;
}

TEST(Formats, ProductionRecordsAreLoaded) {
    auto records = production_records();
    std::stable_sort(records.begin(), records.end(),
                     [](const Json& a, const Json& b) { return a["mark"] < b["mark"]; });
    Simulator simulator(1);
    for (const auto& record : records) {
        const std::string key = record["k"];
        if (key_prefix(key) == "c/live") continue;  // attached to a lease that has expired
        simulator.state().handle(
            "POST", "/commit",
            Json{{"when", Json::array()},
                 {"then", Json::array({Json{{"write", key}, {"data", record["data"]}}})}},
            simulator.now());
    }
    simulator.start_nodes();
    simulator.run(4 * kSecond);
    const ShardOwner* owner = nullptr;
    for (int i = 0; i < 3; ++i)
        if (const ShardOwner* candidate = simulator.node(i)->owner("loom-1");
            candidate && candidate->active())
            owner = candidate;
    ASSERT_TRUE(owner) << simulator.format_history();
    EXPECT_EQ(owner->machines().size(), 5u);
    ASSERT_TRUE(owner->jobs().count("req-000006"));
    const Job& wide = *owner->jobs().at("req-000006");
    EXPECT_EQ(wide.done_tasks, 64);
    EXPECT_EQ(wide.bound_tasks, 10) << "unconfirmed until their machines report";
    EXPECT_EQ(wide.tasks_per_part, 145u);
    EXPECT_TRUE(owner->jobs().at("req-000005")->backing_off);
    EXPECT_EQ(owner->jobs().at("req-000002")->spec.checkpoint_interval, 3 * kSecond);
    EXPECT_EQ(simulator.node(0)->available_quota("loom-1", "red").cores, 24'000);
    EXPECT_EQ(wire::text(simulator.request(0, "GET", "/v1/jobs/req-000003", {}).body, "stage"), "done");
    EXPECT_EQ(wire::text(simulator.request(1, "GET", "/v1/jobs/req-000007", {}).body, "stage"), "cancelled");
}

std::string decode_hex(const std::string& hex) {
    std::string out;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        out.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    return out;
}

template <class Message>
void expect_round_trip(const std::string& bytes) {
    auto message = peer::unpack<Message>(bytes);
    ASSERT_TRUE(message);
    EXPECT_EQ(peer::pack(*message), bytes);
}

TEST(Formats, ProductionMessagesRoundTrip) {
    std::ifstream in(std::string(COTTONWAY_TEST_DATA) + "/production_messages.txt");
    std::map<std::string, std::string> messages;
    for (std::string name, hex; in >> name >> hex;) messages[name] = decode_hex(hex);
    ASSERT_EQ(messages.size(), 8u);
    expect_round_trip<peer::State>(messages["State"]);
    expect_round_trip<peer::Relinquish>(messages["Renounce"]);
    expect_round_trip<peer::Relinquished>(messages["Renounced"]);
    expect_round_trip<peer::CapacityRequest>(messages["Want"]);
    expect_round_trip<peer::QuotaRequest>(messages["Share"]);
    expect_round_trip<peer::Grant>(messages["Granted"]);
    expect_round_trip<peer::Relay>(messages["Relay"]);
    expect_round_trip<peer::Relayed>(messages["Relayed"]);
    EXPECT_EQ(peer::unpack<peer::State>(messages["State"])->shards.at(0).teams.at(0).used.gpus, 5);
}

// ---------------------------------------------------------------- limits

TEST(Chunks, ValueRoundTrips) {
    Json value{
        {"s", "queued"}, {"k", 3}, {"d", {{"name", "a\"b\\c, d: e\nf\xc3\xa9"}}}, {"b", Json::array()}};
    for (int i = 0; i < 400; ++i) value["b"].push_back(Json::array({i, "n-000" + std::to_string(i)}));
    const auto split = chunks::split(value, "feed", 1024);
    EXPECT_GT(split.texts.size(), 5u);
    EXPECT_EQ(split.head["s"], "queued") << "polls need only the head";
    for (const auto& text : split.texts)
        EXPECT_LE(chunks::stored_size(chunks::chunk_record("c/job/req-000000000000000001", text)), 1024u);
    EXPECT_EQ(chunks::join(split.head, split.texts), value);
    chunks::ChunkStore chunk_store;
    for (std::size_t i = 0; i < split.texts.size(); ++i) {
        EXPECT_FALSE(chunk_store.assemble("c/job/x", split.head)) << "some chunks are missing";
        const Json chunk = chunks::chunk_record("c/job/x", split.texts[i]);
        chunk_store.apply(chunks::key("feed", i), &chunk, kSecond);
    }
    EXPECT_EQ(chunk_store.assemble("c/job/x", split.head), value);
    EXPECT_TRUE(chunk_store.orphaned_chunks(500 * kSecond).empty());
    EXPECT_EQ(chunk_store.assemble("c/job/x", Json{{"s", "done"}}), (Json{{"s", "done"}}));
    EXPECT_EQ(chunk_store.orphaned_chunks(500 * kSecond).size(), split.texts.size())
        << "no head refers to them";
}

/// Returns the settings after the limits of the state service were lowered.
Settings settings_with_lowered_limits() {
    Settings settings = small_cluster_settings();
    settings.current_max_value_bytes = 4096;
    settings.max_value_bytes = 1024;
    settings.max_txn_ops = 4;
    settings.next_write_rps = 60;
    settings.operators.idle_return_delay = 600 * kSecond;
    settings.teams.push_back({std::string(48, 't'), {8'000, 0, 0}, {100'000, 0, 0}});
    return settings;
}

TEST(Limits, CanBeLoweredWithLargeRecordsOfEveryKind) {
    // Records as production wrote them: 150 tasks in one part, blocks of dozens of machines, a long spec.
    Settings before = settings_with_lowered_limits();
    before.max_value_bytes = 4096;
    before.max_txn_ops = 8;
    Simulator simulator(5, before);
    for (int i = 0; i < 60; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
    simulator.start_nodes(3, {0, 1, 2});
    simulator.run(10 * kSecond);
    JobSpec wide = simulator.make_job(1, JobKind::Array, 60, 4);
    wide.team = std::string(48, 't');
    wide.request.cores = 1600;
    wide.request.ram = 20'000;  // one to a machine
    wide.job_class = std::string(250, 'c');
    wide.image = std::string(250, 'i');
    simulator.submit(wide, 25 * kSecond, 0);
    JobSpec other = wide;
    other.ref = "req-000002";
    other.request.ram = 100;
    other.request.cores = 10;
    simulator.submit(other, 25 * kSecond, 0);
    simulator.run(4 * kSecond);
    EXPECT_EQ(simulator.running_tasks("req-000001"), 60) << simulator.format_history();
    // All nodes are upgraded, and the limits are lowered before the nodes can rewrite any record.
    simulator.settings = settings_with_lowered_limits();
    for (int i = 0; i < 3; ++i) simulator.upgrade(i, kSecond);
    simulator.run(2 * kSecond);
    simulator.state().limits = {1024, 4, 60};
    simulator.run(kSecond);
    simulator.cancel("req-000002");
    simulator.run(8 * kSecond);
    EXPECT_EQ(simulator.reported_stage("req-000002"), "cancelled") << simulator.format_history();
    EXPECT_EQ(simulator.running_tasks("req-000002"), 0);
    for (int i = 0; i < 3; ++i)
        simulator.crash(i, kSecond);  // new holders load the records as they are stored now
    simulator.run(60 * kSecond);
    EXPECT_EQ(simulator.reported_stage("req-000001"), "done") << simulator.format_history();
    EXPECT_EQ(simulator.task_starts("req-000001"), 60);
    for (const auto& record : records_of(simulator))
        EXPECT_LE(record["data"].dump().size(), 1024u) << record["k"];
    EXPECT_NO_VIOLATIONS(simulator);
}

TEST(Limits, SplitBlockLosesNoTaskWhicheverUpdateArrivesFirst) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Settings before = settings_with_lowered_limits();
        before.max_value_bytes = 4096;
        Simulator simulator(seed, before);
        for (int i = 0; i < 60; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
        simulator.start_nodes(3, {0, 1, 2});
        simulator.run(10 * kSecond);
        JobSpec service = simulator.make_job(1, JobKind::Service, 60, 0.4);
        service.request.ram = 20'000;  // one to a machine
        simulator.submit(service, 0, 0);
        simulator.run(3 * kSecond);
        EXPECT_EQ(simulator.running_tasks("req-000001"), 60) << simulator.format_history();
        simulator.settings = settings_with_lowered_limits();
        for (int i = 0; i < 3; ++i) simulator.upgrade(i, kSecond);
        simulator.run(2 * kSecond);
        simulator.state_answer_loss_rate = 0.4;  // the answers to the split among them
        simulator.run(10 * kSecond);
        simulator.state_answer_loss_rate = 0;
        simulator.run(10 * kSecond);
        std::size_t largest_block = 0;
        for (const auto& record : records_of(simulator))
            if (record["data"].contains("m"))
                largest_block = std::max(largest_block, record["data"]["m"].size());
        EXPECT_LE(largest_block, 15u) << "the blocks have been split";
        EXPECT_EQ(simulator.task_starts("req-000001"), 60) << "seed " << seed << "\n"
                                                           << simulator.format_history();
        EXPECT_NO_VIOLATIONS(simulator);
    }
}

}  // namespace
}  // namespace cottonway::test
