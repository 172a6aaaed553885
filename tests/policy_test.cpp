// The operators' policy: what its rules say of a job, its file, its record, and how controllers come to share
// one whatever fails meanwhile.

#include "policy/policy.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <fstream>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
using policy::Policy;
using policy::Tier;
namespace {

#define EXPECT_NO_VIOLATIONS(w) \
    EXPECT_TRUE((w).violations.empty()) << (w).violations.front() << "\n" << (w).format_history()

JobSpec job_of(const std::string& team, const std::string& job_class, PriorityClass rank, JobKind kind) {
    JobSpec j;
    j.team = team;
    j.job_class = job_class;
    j.rank = rank;
    j.kind = kind;
    return j;
}

// ---------------------------------------------------------------- what rules say

TEST(PolicyRules, WithoutRulesTheTierFollowsFromKindAndRank) {
    const Policy p = policy::default_policy(small_cluster_settings());
    EXPECT_EQ(p.revision, 0u);
    EXPECT_EQ(p.tier(job_of("red", "x", PriorityClass::Production, JobKind::Service)), Tier::Live);
    EXPECT_EQ(p.tier(job_of("red", "x", PriorityClass::Production, JobKind::Array)), Tier::Urgent);
    EXPECT_EQ(p.tier(job_of("red", "x", PriorityClass::High, JobKind::Gang)), Tier::Urgent);
    EXPECT_EQ(p.tier(job_of("red", "x", PriorityClass::Normal, JobKind::Array)), Tier::Batch);
    EXPECT_EQ(p.tier(job_of("red", "x", PriorityClass::Low, JobKind::Service)), Tier::BestEffort);
}

TEST(PolicyRules, OfSeveralRulesTheOneThatNamesMostGoes) {
    Policy p;
    p.tiers = {{{"", ""}, Tier::BestEffort},
               {{"red", ""}, Tier::Batch},
               {{"", "bridge"}, Tier::Urgent},
               {{"red", "bridge"}, Tier::Live}};
    auto tier = [&](const char* team, const char* job_class) {
        return p.tier(job_of(team, job_class, PriorityClass::Normal, JobKind::Service));
    };
    EXPECT_EQ(tier("red", "bridge"), Tier::Live);
    EXPECT_EQ(tier("blue", "bridge"), Tier::Urgent);
    EXPECT_EQ(tier("red", "x"), Tier::Batch);
    EXPECT_EQ(tier("blue", "x"), Tier::BestEffort);
    p.zones = {{{"red", ""}, {"a"}, {}, 1, 1.0, policy::Survive::Nothing, false, false}};
    EXPECT_EQ(p.zone_rule(job_of("blue", "x", PriorityClass::Normal, JobKind::Service)), nullptr);
    EXPECT_EQ(p.zone_rule(job_of("red", "x", PriorityClass::Normal, JobKind::Service)), &p.zones[0]);
}

TEST(PolicyRules, LiveWorkIsNeverMovedAndBatchThatSavesAlwaysMayBe) {
    Policy p;
    p.moves = {{{"red", ""}, true}, {{"", "fixed"}, false}};
    EXPECT_FALSE(p.movable(job_of("red", "x", PriorityClass::Production, JobKind::Service)));
    EXPECT_TRUE(p.movable(job_of("red", "x", PriorityClass::Normal, JobKind::Service)));
    JobSpec batch = job_of("blue", "fixed", PriorityClass::Normal, JobKind::Array);
    EXPECT_FALSE(p.movable(batch));
    batch.checkpoint = kSecond;
    EXPECT_TRUE(p.movable(batch));
}

// ---------------------------------------------------------------- the file

std::string write(const std::string& text) {
    const std::string path =
        testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name() + "-policy.toml";
    std::ofstream(path) << text;
    return path;
}

std::string error_of(const std::string& text) {
    const Settings site = small_cluster_settings();
    try {
        policy::load(write(text), &site);
    } catch (const std::runtime_error& e) {
        return e.what();
    }
    return "";
}

TEST(PolicyFile, EveryMistakeIsOneLineWithKeyAndReason) {
    const std::string rev = "revision = 1\n";
    EXPECT_EQ(error_of(rev), "");
    EXPECT_EQ(error_of("[cards]\npack = true\n"), "revision: is missing; raise it with every change");
    EXPECT_EQ(error_of("revision = 0\n"), "revision: must lie between 1 and 2000000000");
    EXPECT_EQ(error_of("revision = 1.5\n"), "revision: must be a whole number");
    EXPECT_EQ(error_of(rev + "extra = 1\n"), "extra: unknown key");
    EXPECT_EQ(error_of(rev + "[cards]\nstack = true\n"), "cards.stack: unknown key");
    EXPECT_EQ(error_of(rev + "[cards]\npack = 1\n"), "cards.pack: must be true or false");
    EXPECT_EQ(error_of(rev + "[priority]\nfloor = 0.6\n"), "priority.floor: must lie between 0 and 0.5");
    EXPECT_EQ(error_of(rev + "[priority]\nbegin_within_s = 0\n"),
              "priority.begin_within_s: must lie between 1 and 86400 seconds");
    EXPECT_EQ(error_of(rev + "tiers = 3\n"), "tiers: must hold tables");
    EXPECT_EQ(error_of(rev + "[[tiers]]\nteam = \"red\"\n"), "tiers[0].tier: is missing");
    EXPECT_EQ(error_of(rev + "[[tiers]]\nteam = \"green\"\ntier = \"live\"\n"),
              "tiers[0].team: there is no team green");
    EXPECT_EQ(error_of(rev + "[[tiers]]\ntier = \"top\"\n"),
              "tiers[0].tier: must be one of batch, leftover, live, urgent, not top");
    EXPECT_EQ(error_of(rev + "[[tiers]]\ntier = \"live\"\n[[tiers]]\ntier = \"batch\"\n"),
              "tiers[1]: a rule before it is about the same jobs");
    EXPECT_EQ(error_of(rev + "[[moves]]\nclass = \"x\"\n"), "moves[0].movable: is missing");
    EXPECT_EQ(error_of(rev + "[[zones]]\nallowed = [\"c\"]\n"), "zones[0].allowed: there is no zone c");
    EXPECT_EQ(error_of(rev + "[[zones]]\nallowed = [\"a\"]\npreferred = [\"b\"]\n"),
              "zones[0].preferred: b is not among the zones allowed");
    EXPECT_EQ(error_of(rev + "[[zones]]\nleast_zones = 3\n"),
              "zones[0].least_zones: 3 are asked for, there are 2");
    EXPECT_EQ(error_of(rev + "[[zones]]\nmost_share = 0\n"), "zones[0].most_share: must be over 0, up to 1");
    EXPECT_EQ(error_of(rev + "[[zones]]\nallowed = [\"a\"]\nsurvive = \"zone\"\n"),
              "zones[0].survive: only one zone is allowed, so its loss takes all");
}

TEST(PolicyFile, TheExampleLoadsForTheTeamsAndZonesOfAnySite) {
    const Settings site = small_cluster_settings();
    const Policy p = policy::load(COTTONWAY_TEST_DATA "/../../deploy/policy.toml", &site);
    EXPECT_EQ(p.tier(job_of("red", "bridge", PriorityClass::Normal, JobKind::Service)), Tier::Live);
    EXPECT_EQ(p.tier(job_of("red", "rush", PriorityClass::Normal, JobKind::Array)), Tier::Urgent);
    EXPECT_TRUE(p.zone_rule(job_of("red", "bridge", PriorityClass::Normal, JobKind::Service))->rebalance);
}

// ---------------------------------------------------------------- the record

rc::Gen<std::string> name() {
    return rc::gen::map(rc::gen::inRange(0, 20), [](int n) { return n ? "n" + std::to_string(n) : ""; });
}

/// Scopes that differ.
template <class Rule, class Fill>
std::vector<Rule> rules(Fill fill) {
    std::vector<Rule> out;
    const auto scopes =
        *rc::gen::unique<std::vector<std::pair<std::string, std::string>>>(rc::gen::pair(name(), name()));
    for (const auto& [team, job_class] : scopes) {
        Rule r;
        r.scope = {team, job_class};
        fill(r);
        out.push_back(r);
    }
    return out;
}

double part(double low, double high) {
    return low + (high - low) * *rc::gen::inRange(0, 1001) / 1000.0;
}

Policy some_policy() {
    Policy p;
    p.revision = *rc::gen::inRange<std::uint64_t>(1, UINT64_MAX);
    p.tiers = rules<policy::TierRule>([](auto& r) { r.tier = static_cast<Tier>(*rc::gen::inRange(0, 4)); });
    p.priority = {part(0, 0.5), *rc::gen::inRange<Micros>(kSecond, 86'400 * kSecond), part(0, 0.5)};
    p.zones = rules<policy::ZoneRule>([](auto& r) {
        const int zones = *rc::gen::inRange(0, 5);
        for (int z = 0; z < zones; ++z) r.allowed.push_back("z" + std::to_string(z));
        if (zones > 1) r.preferred = {"z1"};
        r.least_zones = *rc::gen::inRange(1, std::max(zones, 1) + 1);
        r.most_share = zones == 1 ? 1 : part(0.001, 1);
        r.survive = static_cast<policy::Survive>(*rc::gen::inRange(0, zones == 1 ? 2 : 3));
        r.strict = *rc::gen::arbitrary<bool>();
        r.rebalance = *rc::gen::arbitrary<bool>();
    });
    p.moves = rules<policy::MoveRule>([](auto& r) { r.movable = *rc::gen::arbitrary<bool>(); });
    p.budgets = {*rc::gen::inRange(0, 10'001), *rc::gen::inRange(0, 101),
                 *rc::gen::inRange<Micros>(0, 86'400 * kSecond), *rc::gen::inRange<Micros>(0, kSecond)};
    p.gpus = {*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
              *rc::gen::inRange<Micros>(0, 86'400 * kSecond)};
    return p;
}

RC_GTEST_PROP(PolicyRecord, ComesBackAsItWasOverTheWire, ()) {
    const Policy p = some_policy();
    RC_ASSERT(policy::problem_of(p).empty());
    Json v = policy::to_value(p);
    v["of_a_later_version"] = 1;
    const auto back = policy::from_value(wire::decode(wire::encode(v)).value());
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == p);
}

/// Another value in some place of it.
void damage(Json& v) {
    if (v.is_structured() && !v.empty() && *rc::gen::inRange(0, 8) > 0) {
        auto it = v.begin();
        std::advance(it, *rc::gen::inRange<int>(0, static_cast<int>(v.size())));
        return damage(*it);
    }
    static const std::vector<Json> odd{
        -1,  0,       1e300,         UINT64_MAX,     "",   std::string(300, 'x'),
        0.7, nullptr, Json::array(), Json::object(), true, std::nan("")};
    v = odd[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(odd.size())))];
}

RC_GTEST_PROP(PolicyRecord, NothingOutOfBoundsIsTakenFromADamagedOne, ()) {
    Json v = policy::to_value(some_policy());
    const int times = *rc::gen::inRange(1, 4);
    for (int i = 0; i < times; ++i) damage(v);
    const auto p = policy::from_value(v);
    if (!p) return;
    RC_ASSERT(p->revision > 0);
    RC_ASSERT(policy::problem_of(*p).empty());
    for (const auto& r : p->tiers) RC_ASSERT(r.tier <= Tier::BestEffort);
    for (const auto& r : p->zones) {
        RC_ASSERT(r.most_share > 0 && r.most_share <= 1);
        RC_ASSERT(r.least_zones >= 1);
        RC_ASSERT(r.survive <= policy::Survive::Zone);
    }
    RC_ASSERT(p->priority.floor >= 0 && p->priority.floor <= 0.5);
    RC_ASSERT(p->budgets.moves_per_minute >= 0 && p->budgets.service_pause >= 0);
}

// ---------------------------------------------------------------- shared

Policy revision(std::uint64_t n, Tier tier = Tier::Urgent) {
    Policy p;
    p.revision = n;
    p.tiers = {{{"red", ""}, tier}};
    return p;
}

/// A world whose nodes have files of their own.
struct Site {
    explicit Site(std::uint64_t seed) : w(seed) {
        for (int i = 0; i < 4; ++i) w.add_machine("small", i % 2 ? "b" : "a");
    }
    /// All go by this revision.
    testing::AssertionResult all_have(const Policy& p) {
        for (int i = 0; i < w.node_count(); ++i)
            if (w.node(i) && !(w.node(i)->policy() == p))
                return testing::AssertionFailure()
                       << "node " << i << " goes by revision " << w.node(i)->policy().revision << "\n"
                       << w.format_history();
        return testing::AssertionSuccess();
    }
    std::uint64_t written(int node) {
        const auto sent = w.node(node)->status()["changes_sent"];
        return sent.value("policy", std::uint64_t{0});
    }
    Simulator w;
};

TEST(SharedPolicy, NothingIsWrittenAndTheDefaultIsInForceWithoutAFile) {
    Site s(1);
    s.w.start_nodes(3);
    s.w.run(10 * kSecond);
    EXPECT_TRUE(s.all_have(policy::default_policy(s.w.settings)));
    for (int i = 0; i < 3; ++i) EXPECT_EQ(s.written(i), 0u);
    const auto r = s.w.state().handle("GET", "/store?starts=c/policy&page=10", Json(), s.w.now());
    EXPECT_TRUE(r.body["pairs"].empty());
}

TEST(SharedPolicy, TheHigherRevisionWinsInWhateverOrderFilesCome) {
    for (const bool newer_first : {true, false}) {
        Site s(2);
        s.w.start_nodes(3);
        s.w.run(8 * kSecond);
        s.w.node(newer_first ? 0 : 1)->set_policy_file(revision(newer_first ? 7 : 3));
        s.w.run(3 * kSecond);
        s.w.node(newer_first ? 1 : 0)->set_policy_file(revision(newer_first ? 3 : 7));
        s.w.run(3 * kSecond);
        EXPECT_TRUE(s.all_have(revision(7)));
        EXPECT_EQ(s.w.node(1)->status()["policy"]["file"]["standing"], "older");
        EXPECT_EQ(s.w.node(0)->status()["policy"]["file"]["in_force"], true);
        EXPECT_EQ(s.w.node(2)->status()["policy"]["revision"], 7u);
        EXPECT_LE(s.written(0) + s.written(1), 2u);
        EXPECT_NO_VIOLATIONS(s.w);
    }
}

TEST(SharedPolicy, OfTwoFilesOfOneRevisionTheStoredOneStays) {
    Site s(3);
    s.w.start_nodes(3);
    s.w.run(8 * kSecond);
    s.w.node(0)->set_policy_file(revision(5, Tier::Urgent));
    s.w.run(2 * kSecond);
    s.w.node(1)->set_policy_file(revision(5, Tier::BestEffort));
    s.w.run(20 * kSecond);
    EXPECT_TRUE(s.all_have(revision(5, Tier::Urgent)));
    EXPECT_EQ(s.w.node(1)->status()["policy"]["file"]["standing"], "differs");
    EXPECT_EQ(s.written(1), 0u);
    // Both at once: one of them is stored, and everybody goes by that one.
    s.w.node(0)->set_policy_file(revision(6, Tier::Urgent));
    s.w.node(1)->set_policy_file(revision(6, Tier::BestEffort));
    s.w.run(3 * kSecond);
    EXPECT_TRUE(s.all_have(s.w.node(2)->policy()));
    EXPECT_EQ(s.w.node(2)->policy().revision, 6u);
    EXPECT_LE(s.written(0) + s.written(1), 3u);
}

TEST(SharedPolicy, ItTakesEffectOnWhatWaitsWithoutARestart) {
    Site s(4);
    s.w.start_nodes(3);
    s.w.run(8 * kSecond);
    JobSpec wide = s.w.make_job(1, JobKind::Array, 40, 4);
    s.w.submit(wide, 60 * kSecond);
    s.w.run(3 * kSecond);
    auto tier = [&] {
        for (int i = 0; i < 3; ++i)
            if (const Json v = s.w.node(i)->explain("req-000001"); v.contains("tier"))
                return v["tier"].get<std::string>() + (v["why"].empty() ? ", unexplained" : "");
        return std::string("nobody knows");
    };
    EXPECT_EQ(tier(), "batch");
    s.w.node(2)->set_policy_file(revision(1, Tier::BestEffort));
    s.w.run(2 * kSecond);
    EXPECT_EQ(tier(), "leftover");
    EXPECT_TRUE(s.all_have(revision(1, Tier::BestEffort)));
    EXPECT_NO_VIOLATIONS(s.w);
}

TEST(SharedPolicy, ItIsStoredThroughEndsAndOutagesAtAnyMoment) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Site s(seed);
        // Each process of every node starts with the older file; the newer one comes while they run.
        s.w.settings.ops.policy = revision(1);
        s.w.start_nodes(5);
        s.w.run(static_cast<Micros>(s.w.random() % 4000) * kMillisecond);
        const int writer = static_cast<int>(s.w.random() % 5);
        s.w.settings.ops.policy = revision(2, Tier::BestEffort);
        s.w.node(writer)->set_policy_file(revision(2, Tier::BestEffort));
        s.w.run(static_cast<Micros>(s.w.random() % 60) * kMillisecond);
        if (seed % 2) {
            s.w.state().set_down(true, s.w.now());
            s.w.schedule_at(s.w.now() + 3 * kSecond, [&] { s.w.state().set_down(false, s.w.now()); });
        }
        s.w.state_answer_loss_rate = 0.3;
        s.w.crash(writer, 300 * kMillisecond);  // comes back with the newer file
        s.w.crash((writer + 1) % 5, 2 * kSecond);
        s.w.run(6 * kSecond);
        s.w.state_answer_loss_rate = 0;
        s.w.run(45 * kSecond);
        EXPECT_TRUE(s.all_have(revision(2, Tier::BestEffort))) << "seed " << seed;
        EXPECT_NO_VIOLATIONS(s.w);
    }
}

TEST(SharedPolicy, WhileTheStoreRefusesItIsTriedMoreAndMoreSeldom) {
    Site s(5);
    s.w.start_nodes(3);
    s.w.run(8 * kSecond);
    s.w.state().set_down(true, s.w.now());
    const auto before = s.w.state_requests(0);
    s.w.node(0)->set_policy_file(revision(1));
    s.w.run(60 * kSecond);
    const auto with = s.w.state_requests(0) - before, without = s.w.state_requests(1);
    EXPECT_LE(s.written(0), 12u) << with << " requests, the others " << without;
    s.w.state().set_down(false, s.w.now());
    s.w.run(50 * kSecond);
    EXPECT_TRUE(s.all_have(revision(1)));
}

TEST(SharedPolicy, ADamagedRecordPutsTheDefaultInForceUntilAFileReplacesIt) {
    Site s(6);
    s.w.start_nodes(3);
    s.w.run(8 * kSecond);
    auto put = [&](const Json& value) {
        const Json write{{"write", "c/policy"}, {"data", value}};
        const auto r = s.w.state().handle("POST", "/commit", {{"then", Json::array({write})}}, s.w.now());
        ASSERT_EQ(r.status, 200) << r.body.dump();
        s.w.run(kSecond);
    };
    put({{"rev", 4}, {"prio", {{"floor", 7}}}});
    EXPECT_TRUE(s.all_have(policy::default_policy(s.w.settings)));
    EXPECT_EQ(s.w.node(1)->status()["policy"]["damaged"], true);
    // What can't be read may be of a newer version: its revision still counts.
    s.w.node(0)->set_policy_file(revision(4));
    s.w.run(2 * kSecond);
    EXPECT_TRUE(s.all_have(policy::default_policy(s.w.settings)));
    s.w.node(0)->set_policy_file(revision(5));
    s.w.run(2 * kSecond);
    EXPECT_TRUE(s.all_have(revision(5)));
    EXPECT_NO_VIOLATIONS(s.w);
}

TEST(SharedPolicy, OneLargerThanAValueWaitsUntilAllReadPieces) {
    Site s(7);
    Policy large = revision(1);
    for (int i = 0; i < 400; ++i)
        large.tiers.push_back({{"red", "a-class-with-a-long-name-" + std::to_string(i)}, Tier::Batch});
    s.w.settings.ops.policy = large;
    s.w.start_nodes(3, {2});
    s.w.run(12 * kSecond);
    EXPECT_TRUE(s.all_have(policy::default_policy(s.w.settings)));
    s.w.upgrade(2, kSecond);
    s.w.run(45 * kSecond);
    EXPECT_TRUE(s.all_have(large));
    for (int i = 0; i < 3; ++i) s.w.crash(i, kSecond);  // a start puts it together as well
    s.w.settings.ops.policy.reset();
    s.w.run(15 * kSecond);
    EXPECT_TRUE(s.all_have(large));
    EXPECT_NO_VIOLATIONS(s.w);
}

}  // namespace
}  // namespace cottonway::test
