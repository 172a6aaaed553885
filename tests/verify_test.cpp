// What `cottonway verify` finds in a store, and what controllers make of the same damage.

#include "verify/verify.hpp"

#include <gtest/gtest.h>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

using recovery::Finding;

std::vector<Finding> verify(Simulator& w) {
    recovery::Verifier v(w.settings);
    std::string since;
    for (;;) {
        auto r = w.state().handle(
            "GET", "/store?starts=c/" + (since.empty() ? "" : "&since=" + since) + "&page=500", {}, w.now());
        for (const auto& p : r.body["pairs"]) {
            since = p["k"];
            v.take(since, p["data"], p["mark"]);
        }
        if (!r.body["has_next"].get<bool>()) return v.finish();
    }
}

std::string text_of(const std::vector<Finding>& findings) {
    std::string out;
    for (const auto& f : findings)
        out += std::string(f.weight == Finding::Weight::Damage ? "damage: " : "notice: ") + f.key + " " +
               f.what + "\n";
    return out;
}

void write(Simulator& w, const std::string& key, const Json& value) {
    w.state().handle(
        "POST", "/commit",
        Json{{"when", Json::array()}, {"then", Json::array({Json{{"write", key}, {"data", value}}})}},
        w.now());
}

Json read(Simulator& w, const std::string& key) {
    return w.state().handle("GET", "/store/" + key, {}, w.now()).body["data"];
}

std::unique_ptr<Simulator> busy(std::uint64_t seed) {
    auto w = std::make_unique<Simulator>(seed);
    for (int i = 0; i < 4; ++i) w->add_machine("small", i % 2 ? "b" : "a");
    w->start_nodes();
    w->run(6 * kSecond);
    w->submit(w->make_job(1, JobKind::Service, 3), 0);
    w->submit(w->make_job(2, JobKind::Array, 300, 0.01), 20 * kSecond);
    w->submit(w->make_job(3, JobKind::Array, 2), kSecond);
    w->submit(w->make_job(4, JobKind::Service, 2), 0);
    w->run(5 * kSecond);
    w->cancel("req-000004");
    w->run(4 * kSecond);
    return w;
}

TEST(Verify, FindsNothingInASoundStore) {
    auto w = busy(1);
    EXPECT_EQ(text_of(verify(*w)), "");
    for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
    w->run(5 * kSecond);
    EXPECT_EQ(text_of(verify(*w)), "");
}

TEST(Verify, EachDamageIsOneClearLineAndTheRestServes) {
    struct Case {
        const char* line;
        std::function<void(Simulator&)> damage;
        bool runs_on = true;  // the service of job 1
    };
    auto block_key = [](Simulator& w) {
        return w.state()
            .handle("GET", "/store?starts=c/block/&page=1", {}, w.now())
            .body["pairs"][0]["k"]
            .get<std::string>();
    };
    const std::vector<Case> cases{
        {"its description is broken",
         [](Simulator& w) {
             Json v = read(w, "c/active/req-000002");
             v["d"]["threads"] = "many";
             write(w, "c/active/req-000002", v);
         }},
        {"has no description",
         [](Simulator& w) {
             write(w, "c/active/req-000002", {{"s", "queued"}, {"k", 3}});
         }},
        {"is no map", [](Simulator& w) { write(w, "c/active/req-000002", 7); }},
        {"is not over, although history is apart",
         [](Simulator& w) {
             Json v = read(w, "c/active/req-000002");
             v["d"]["ref"] = "req-000009";
             write(w, "c/job/req-000009", v);
         }},
        {"is bound twice",
         [](Simulator& w) {
             Json v = read(w, "c/active/req-000002");
             v["b"].push_back(Json::array({v["b"][0][0], v["b"][0][1], v["b"][0][2]}));
             write(w, "c/active/req-000002", v);
         }},
        {"is left of a job that is over",
         [](Simulator& w) {
             write(w, "c/part/req-000077/1", {{"n", 1}});
         }},
        {"is broken; it is ignored",
         [](Simulator& w) {
             write(w, "c/block/9-1", {{"dom", 5}});
         }},
        {"as well; the newer one counts",
         [&](Simulator& w) { write(w, "c/block/9-1", read(w, block_key(w))); }},
        {"which nobody holds",
         [&](Simulator& w) {
             Json v = read(w, block_key(w));
             v["dom"] = "nowhere";
             v["m"] = Json::array({Json::array({"n-009999", "10.9.9.9:9000"})});
             write(w, "c/block/9-1", v);
         }},
        {"add up to",
         [](Simulator& w) {
             Json v = read(w, "c/share/" + w.owner_at(w.owner_node())->shard());
             v["red"][0] = 50'000;
             write(w, "c/share/" + w.owner_at(w.owner_node())->shard(), v);
         }},
        {"newer than this program's",
         [](Simulator& w) {
             write(w, "c/format/loom-1", {{"reads", 99}});
         }},
        {"of a kind that this program does not know",
         [](Simulator& w) {
             write(w, "c/zebra/1", {{"x", 1}});
         }},
        {"pieces are missing",
         [](Simulator& w) {
             write(w, "c/active/req-000002", {{"s", "queued"}, {"x", Json::array({"feed", 3U})}});
         }},
    };
    for (const auto& c : cases) {
        auto w = busy(2);
        c.damage(*w);
        const auto found = verify(*w);
        EXPECT_NE(text_of(found).find(c.line), std::string::npos) << c.line << ":\n" << text_of(found);
        EXPECT_LE(found.size(), 4u) << "one thing, not an avalanche:\n" << text_of(found);
        // Controllers that have to start with it set aside what is damaged, and nothing is overwritten.
        for (int i = 0; i < 3; ++i) w->crash(i, kSecond);
        w->run(6 * kSecond);
        EXPECT_EQ(w->running_tasks("req-000001"), 3) << c.line << "\n" << w->format_history();
        EXPECT_EQ(w->task_starts("req-000001"), 3) << c.line;
        w->submit(w->make_job(8, JobKind::Array, 2), kSecond);
        w->run(6 * kSecond);
        EXPECT_EQ(w->reported_stage("req-000008"), "done") << c.line << "\n" << w->format_history();
    }
}

}  // namespace
}  // namespace cottonway::test
