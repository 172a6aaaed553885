// What versions read and write: records and messages that the version in production wrote itself
// (tests/data), and the limits of the state service, now and to come.

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

std::vector<Json> records_of(Simulator& w) {
    auto r = w.state().handle("GET", "/store?starts=c/&page=1000", Json(), w.now());
    return r.body["pairs"].get<std::vector<Json>>();
}

/// The night that the records in tests/data are from.
void production_night(Simulator& w, std::set<int> old) {
    for (int i = 0; i < 6; ++i) w.add_machine(i % 3 == 0 ? "large" : "small", i % 2 ? "b" : "a", i >= 4);
    w.start_nodes(3, std::move(old));
    w.run(6 * kSecond);
    JobSpec service = w.make_job(1, JobKind::Service, 3);
    service.spread = true;
    service.spot = false;
    w.submit(service, 0);
    JobSpec gang = w.make_job(2, JobKind::Gang, 2);
    gang.one_zone = true;
    gang.checkpoint = 3 * kSecond;
    gang.save = kSecond;
    w.submit(gang, 60 * kSecond);
    JobSpec array = w.make_job(3, JobKind::Array, 6, 2);
    array.deadline = 90 * kSecond;
    array.types = {"small", "large"};
    array.zone = "a";
    w.submit(array, 3 * kSecond);
    w.submit(w.make_job(4, JobKind::Array, 2), 2 * kSecond);
    JobSpec broken = w.make_job(5, JobKind::Array, 3);
    broken.team = "blue";
    w.submit(broken, 0, 100 * kMillisecond, true);
    JobSpec wide = w.make_job(6, JobKind::Array, 250);
    wide.team = "guests";
    wide.rank = PriorityClass::Low;
    w.submit(wide, 4 * kSecond);
    w.submit(w.make_job(7, JobKind::Service, 2), 0);
    w.run(8 * kSecond);
    w.cancel("req-000007");
    w.submit(w.make_job(8, JobKind::Service, 1), 0);
    w.run(30 * kSecond);
}

std::string kind_of(const std::string& key) {
    return key.substr(0, key.find('/', 2));
}

/// Every field of a record with the type of what is in it; names that are data are left out.
void shape_of(const std::string& path, const Json& v, std::set<std::string>& out) {
    out.insert(path + ":" + v.type_name());
    if (v.is_object() && path.find("c/share") == std::string::npos)
        for (const auto& [key, item] : v.items()) shape_of(path + "." + key, item, out);
    if (v.is_array())
        for (const auto& item : v) shape_of(path + "[]", item, out);
}

std::set<std::string> shapes(const std::vector<Json>& records) {
    std::set<std::string> out;
    for (const auto& r : records) shape_of(kind_of(r["k"].get<std::string>()), r["data"], out);
    return out;
}

TEST(Formats, WhatIsWrittenWhileANodeMayBeOldLooksAsProductionWroteIt) {
    Simulator w(4711);
    production_night(w, {0, 1, 2});
    const auto theirs = shapes(production_records()), ours = shapes(records_of(w));
    EXPECT_EQ(ours, theirs);
    // With two nodes brought up to date there is their word for it besides, and nothing else.
    Simulator half(4711);
    production_night(half, {2});
    auto more = shapes(records_of(half));
    for (const char* said : {"c/format:object", "c/format.reads:number"}) more.erase(said);
    for (const auto& s : more) EXPECT_TRUE(theirs.count(s)) << s;
}

TEST(Formats, ProductionsRecordsAreTakenOver) {
    auto records = production_records();
    std::stable_sort(records.begin(), records.end(),
                     [](const Json& a, const Json& b) { return a["mark"] < b["mark"]; });
    Simulator w(1);
    for (const auto& r : records) {
        const std::string key = r["k"];
        if (kind_of(key) == "c/live") continue;  // attached to leases that are over
        w.state().handle(
            "POST", "/commit",
            Json{{"when", Json::array()}, {"then", Json::array({Json{{"write", key}, {"data", r["data"]}}})}},
            w.now());
    }
    w.start_nodes();
    w.run(4 * kSecond);
    const ShardOwner* owner = nullptr;
    for (int i = 0; i < 3; ++i)
        if (const ShardOwner* o = w.node(i)->owner("loom-1"); o && o->active()) owner = o;
    ASSERT_TRUE(owner) << w.format_history();
    EXPECT_EQ(owner->machines().size(), 5u);
    ASSERT_TRUE(owner->jobs().count("req-000006"));
    const Job& wide = *owner->jobs().at("req-000006");
    EXPECT_EQ(wide.done, 64);
    EXPECT_EQ(wide.bound, 10) << "in doubt until their machines are heard";
    EXPECT_EQ(wide.part_tasks, 145u);
    EXPECT_TRUE(owner->jobs().at("req-000005")->backing_off);
    EXPECT_EQ(owner->jobs().at("req-000002")->spec.checkpoint, 3 * kSecond);
    EXPECT_EQ(w.node(0)->share("loom-1", "red").cores, 24'000);
    EXPECT_EQ(wire::text(w.request(0, "GET", "/v1/jobs/req-000003", {}).body, "stage"), "done");
    EXPECT_EQ(wire::text(w.request(1, "GET", "/v1/jobs/req-000007", {}).body, "stage"), "cancelled");
}

std::string bytes_of(const std::string& hex) {
    std::string out;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        out.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
    return out;
}

template <class M>
void same(const std::string& bytes) {
    auto m = peer::unpack<M>(bytes);
    ASSERT_TRUE(m);
    EXPECT_EQ(peer::pack(*m), bytes);
}

TEST(Formats, ProductionsMessagesAreUnderstoodAndSpoken) {
    std::ifstream in(std::string(COTTONWAY_TEST_DATA) + "/production_messages.txt");
    std::map<std::string, std::string> messages;
    for (std::string name, hex; in >> name >> hex;) messages[name] = bytes_of(hex);
    ASSERT_EQ(messages.size(), 8u);
    same<peer::State>(messages["State"]);
    same<peer::Relinquish>(messages["Renounce"]);
    same<peer::Relinquished>(messages["Renounced"]);
    same<peer::CapacityRequest>(messages["Want"]);
    same<peer::QuotaRequest>(messages["Share"]);
    same<peer::Grant>(messages["Granted"]);
    same<peer::Relay>(messages["Relay"]);
    same<peer::Relayed>(messages["Relayed"]);
    EXPECT_EQ(peer::unpack<peer::State>(messages["State"])->shards.at(0).teams.at(0).used.gpus, 5);
}

// ---------------------------------------------------------------- limits

TEST(Pieces, AValueComesBackWhole) {
    Json v{{"s", "queued"}, {"k", 3}, {"d", {{"name", "a\"b\\c, d: e\nf\xc3\xa9"}}}, {"b", Json::array()}};
    for (int i = 0; i < 400; ++i) v["b"].push_back(Json::array({i, "n-000" + std::to_string(i)}));
    const auto split = chunks::split(v, "feed", 1024);
    EXPECT_GT(split.texts.size(), 5u);
    EXPECT_EQ(split.head["s"], "queued") << "polls need no more";
    for (const auto& t : split.texts)
        EXPECT_LE(chunks::stored_size(chunks::chunk("c/job/req-000000000000000001", t)), 1024u);
    EXPECT_EQ(chunks::join(split.head, split.texts), v);
    chunks::ChunkStore chunk_store;
    for (std::size_t i = 0; i < split.texts.size(); ++i) {
        EXPECT_FALSE(chunk_store.whole("c/job/x", split.head)) << "some are missing";
        const Json chunk = chunks::chunk("c/job/x", split.texts[i]);
        chunk_store.take(chunks::key("feed", i), &chunk, kSecond);
    }
    EXPECT_EQ(chunk_store.whole("c/job/x", split.head), v);
    EXPECT_TRUE(chunk_store.left_over(500 * kSecond).empty());
    EXPECT_EQ(chunk_store.whole("c/job/x", Json{{"s", "done"}}), (Json{{"s", "done"}}));
    EXPECT_EQ(chunk_store.left_over(500 * kSecond).size(), split.texts.size()) << "no longer named";
}

/// A site whose limits fall while it has records of every kind at their largest.
Settings falling() {
    Settings s = small_cluster_settings();
    s.value_bytes_now = 4096;
    s.value_bytes = 1024;
    s.txn_ops = 4;
    s.next_write_rps = 60;
    s.ops.idle_return = 600 * kSecond;
    s.teams.push_back({std::string(48, 't'), {8'000, 0, 0}, {100'000, 0, 0}});
    return s;
}

TEST(Limits, MayFallWithBigRecordsOfEveryKind) {
    // What production left behind: 150 tasks in one part, blocks of dozens of machines, a long description.
    Settings before = falling();
    before.value_bytes = 4096;
    before.txn_ops = 8;
    Simulator w(5, before);
    for (int i = 0; i < 60; ++i) w.add_machine("small", i % 2 ? "b" : "a");
    w.start_nodes(3, {0, 1, 2});
    w.run(10 * kSecond);
    JobSpec wide = w.make_job(1, JobKind::Array, 60, 4);
    wide.team = std::string(48, 't');
    wide.request.cores = 1600;
    wide.request.ram = 20'000;  // one to a machine
    wide.job_class = std::string(250, 'c');
    wide.image = std::string(250, 'i');
    w.submit(wide, 25 * kSecond, 0);
    JobSpec other = wide;
    other.ref = "req-000002";
    other.request.ram = 100;
    other.request.cores = 10;
    w.submit(other, 25 * kSecond, 0);
    w.run(4 * kSecond);
    EXPECT_EQ(w.running_tasks("req-000001"), 60) << w.format_history();
    // All are brought up to date, and the limits fall before anything else can be done.
    w.settings = falling();
    for (int i = 0; i < 3; ++i) w.upgrade(i, kSecond);
    w.run(2 * kSecond);
    w.state().limits = {1024, 4, 60};
    w.run(kSecond);
    w.cancel("req-000002");
    w.run(8 * kSecond);
    EXPECT_EQ(w.reported_stage("req-000002"), "cancelled") << w.format_history();
    EXPECT_EQ(w.running_tasks("req-000002"), 0);
    for (int i = 0; i < 3; ++i) w.crash(i, kSecond);  // handed over as it is stored now
    w.run(60 * kSecond);
    EXPECT_EQ(w.reported_stage("req-000001"), "done") << w.format_history();
    EXPECT_EQ(w.task_starts("req-000001"), 60);
    for (const auto& r : records_of(w)) EXPECT_LE(r["data"].dump().size(), 1024u) << r["k"];
    EXPECT_NO_VIOLATIONS(w);
}

TEST(Limits, ASplitBlockLosesNoTaskWhateverIsHeardOfItFirst) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Settings before = falling();
        before.value_bytes = 4096;
        Simulator w(seed, before);
        for (int i = 0; i < 60; ++i) w.add_machine("small", i % 2 ? "b" : "a");
        w.start_nodes(3, {0, 1, 2});
        w.run(10 * kSecond);
        JobSpec service = w.make_job(1, JobKind::Service, 60, 0.4);
        service.request.ram = 20'000;  // one to a machine
        w.submit(service, 0, 0);
        w.run(3 * kSecond);
        EXPECT_EQ(w.running_tasks("req-000001"), 60) << w.format_history();
        w.settings = falling();
        for (int i = 0; i < 3; ++i) w.upgrade(i, kSecond);
        w.run(2 * kSecond);
        w.state_answer_loss_rate = 0.4;  // those to the split among them
        w.run(10 * kSecond);
        w.state_answer_loss_rate = 0;
        w.run(10 * kSecond);
        std::size_t most = 0;
        for (const auto& r : records_of(w))
            if (r["data"].contains("m")) most = std::max(most, r["data"]["m"].size());
        EXPECT_LE(most, 15u) << "they have been split";
        EXPECT_EQ(w.task_starts("req-000001"), 60) << "seed " << seed << "\n" << w.format_history();
        EXPECT_NO_VIOLATIONS(w);
    }
}

}  // namespace
}  // namespace cottonway::test
