// The operators' policy: which rules apply to a job, the policy file, the stored record, and how controllers
// come to share one policy despite failures.

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

#define EXPECT_NO_VIOLATIONS(sim) \
    EXPECT_TRUE((sim).violations.empty()) << (sim).violations.front() << "\n" << (sim).format_history()

JobSpec job_of(const std::string& team, const std::string& job_class, PriorityClass rank, JobKind kind) {
    JobSpec job;
    job.team = team;
    job.job_class = job_class;
    job.priority_class = rank;
    job.kind = kind;
    return job;
}

// ---------------------------------------------------------------- rules

TEST(PolicyRules, WithoutRulesTheTierFollowsFromKindAndRank) {
    const Policy policy = policy::default_policy(small_cluster_settings());
    EXPECT_EQ(policy.revision, 0u);
    EXPECT_EQ(policy.tier(job_of("red", "x", PriorityClass::Production, JobKind::Service)), Tier::Live);
    EXPECT_EQ(policy.tier(job_of("red", "x", PriorityClass::Production, JobKind::Array)), Tier::Urgent);
    EXPECT_EQ(policy.tier(job_of("red", "x", PriorityClass::High, JobKind::Gang)), Tier::Urgent);
    EXPECT_EQ(policy.tier(job_of("red", "x", PriorityClass::Normal, JobKind::Array)), Tier::Batch);
    EXPECT_EQ(policy.tier(job_of("red", "x", PriorityClass::Low, JobKind::Service)), Tier::BestEffort);
}

TEST(PolicyRules, MostSpecificOfSeveralRulesApplies) {
    Policy policy;
    policy.tiers = {{{"", ""}, Tier::BestEffort},
                    {{"red", ""}, Tier::Batch},
                    {{"", "bridge"}, Tier::Urgent},
                    {{"red", "bridge"}, Tier::Live}};
    auto tier = [&](const char* team, const char* job_class) {
        return policy.tier(job_of(team, job_class, PriorityClass::Normal, JobKind::Service));
    };
    EXPECT_EQ(tier("red", "bridge"), Tier::Live);
    EXPECT_EQ(tier("blue", "bridge"), Tier::Urgent);
    EXPECT_EQ(tier("red", "x"), Tier::Batch);
    EXPECT_EQ(tier("blue", "x"), Tier::BestEffort);
    policy.zones = {{{"red", ""}, {"a"}, {}, 1, 1.0, policy::FailureDomain::None, false, false}};
    EXPECT_EQ(policy.zone_rule(job_of("blue", "x", PriorityClass::Normal, JobKind::Service)), nullptr);
    EXPECT_EQ(policy.zone_rule(job_of("red", "x", PriorityClass::Normal, JobKind::Service)),
              &policy.zones[0]);
}

TEST(PolicyRules, LiveWorkIsNeverMovableAndCheckpointedBatchAlwaysIs) {
    Policy policy;
    policy.moves = {{{"red", ""}, true}, {{"", "fixed"}, false}};
    EXPECT_FALSE(policy.is_movable(job_of("red", "x", PriorityClass::Production, JobKind::Service)));
    EXPECT_TRUE(policy.is_movable(job_of("red", "x", PriorityClass::Normal, JobKind::Service)));
    JobSpec batch = job_of("blue", "fixed", PriorityClass::Normal, JobKind::Array);
    EXPECT_FALSE(policy.is_movable(batch));
    batch.checkpoint_interval = kSecond;
    EXPECT_TRUE(policy.is_movable(batch));
}

// ---------------------------------------------------------------- the policy file

std::string write_policy_file(const std::string& text) {
    const std::string path =
        testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name() + "-policy.toml";
    std::ofstream(path) << text;
    return path;
}

std::string load_error(const std::string& text) {
    const Settings settings = small_cluster_settings();
    try {
        policy::load(write_policy_file(text), &settings);
    } catch (const std::runtime_error& e) {
        return e.what();
    }
    return "";
}

TEST(PolicyFile, EachErrorIsOneLineWithKeyAndReason) {
    const std::string revision_line = "revision = 1\n";
    EXPECT_EQ(load_error(revision_line), "");
    EXPECT_EQ(load_error("[cards]\npack = true\n"), "revision: is missing; increase it with every change");
    EXPECT_EQ(load_error("revision = 0\n"), "revision: must lie between 1 and 2000000000");
    EXPECT_EQ(load_error("revision = 1.5\n"), "revision: must be a whole number");
    EXPECT_EQ(load_error(revision_line + "extra = 1\n"), "extra: unknown key");
    EXPECT_EQ(load_error(revision_line + "[cards]\nstack = true\n"), "cards.stack: unknown key");
    EXPECT_EQ(load_error(revision_line + "[cards]\npack = 1\n"), "cards.pack: must be true or false");
    EXPECT_EQ(load_error(revision_line + "[priority]\nfloor = 0.6\n"),
              "priority.floor: must lie between 0 and 0.5");
    EXPECT_EQ(load_error(revision_line + "[priority]\nbegin_within_s = 0\n"),
              "priority.begin_within_s: must lie between 1 and 86400 seconds");
    EXPECT_EQ(load_error(revision_line + "tiers = 3\n"), "tiers: must hold tables");
    EXPECT_EQ(load_error(revision_line + "[[tiers]]\nteam = \"red\"\n"), "tiers[0].tier: is missing");
    EXPECT_EQ(load_error(revision_line + "[[tiers]]\nteam = \"green\"\ntier = \"live\"\n"),
              "tiers[0].team: unknown team green");
    EXPECT_EQ(load_error(revision_line + "[[tiers]]\ntier = \"top\"\n"),
              "tiers[0].tier: must be one of batch, leftover, live, urgent, not top");
    EXPECT_EQ(load_error(revision_line + "[[tiers]]\ntier = \"live\"\n[[tiers]]\ntier = \"batch\"\n"),
              "tiers[1]: has the same scope as an earlier rule");
    EXPECT_EQ(load_error(revision_line + "[[moves]]\nclass = \"x\"\n"), "moves[0].movable: is missing");
    EXPECT_EQ(load_error(revision_line + "[[zones]]\nallowed = [\"c\"]\n"),
              "zones[0].allowed: unknown zone c");
    EXPECT_EQ(load_error(revision_line + "[[zones]]\nallowed = [\"a\"]\npreferred = [\"b\"]\n"),
              "zones[0].preferred: b is not one of the allowed zones");
    EXPECT_EQ(load_error(revision_line + "[[zones]]\nleast_zones = 3\n"),
              "zones[0].least_zones: requires 3 zones, but there are only 2");
    EXPECT_EQ(load_error(revision_line + "[[zones]]\nmost_share = 0\n"),
              "zones[0].most_share: must be greater than 0 and at most 1");
    EXPECT_EQ(load_error(revision_line + "[[zones]]\nallowed = [\"a\"]\nsurvive = \"zone\"\n"),
              "zones[0].survive: cannot be zone, as only one zone is allowed");
}

TEST(PolicyFile, ExampleFileLoadsForTheTeamsAndZonesOfASite) {
    const Settings settings = small_cluster_settings();
    const Policy policy = policy::load(COTTONWAY_TEST_DATA "/../../deploy/policy.toml", &settings);
    EXPECT_EQ(policy.tier(job_of("red", "bridge", PriorityClass::Normal, JobKind::Service)), Tier::Live);
    EXPECT_EQ(policy.tier(job_of("red", "rush", PriorityClass::Normal, JobKind::Array)), Tier::Urgent);
    EXPECT_TRUE(
        policy.zone_rule(job_of("red", "bridge", PriorityClass::Normal, JobKind::Service))->rebalance);
}

// ---------------------------------------------------------------- the stored record

rc::Gen<std::string> any_name() {
    return rc::gen::map(rc::gen::inRange(0, 20), [](int n) { return n ? "n" + std::to_string(n) : ""; });
}

/// Returns rules with distinct scopes; `fill` sets their other fields.
template <class Rule, class Fill>
std::vector<Rule> any_rules(Fill fill) {
    std::vector<Rule> rules;
    const auto scopes = *rc::gen::unique<std::vector<std::pair<std::string, std::string>>>(
        rc::gen::pair(any_name(), any_name()));
    for (const auto& [team, job_class] : scopes) {
        Rule rule;
        rule.scope = {team, job_class};
        fill(rule);
        rules.push_back(rule);
    }
    return rules;
}

double any_fraction(double low, double high) {
    return low + (high - low) * *rc::gen::inRange(0, 1001) / 1000.0;
}

Policy any_policy() {
    Policy result;
    result.revision = *rc::gen::inRange<std::uint64_t>(1, UINT64_MAX);
    result.tiers = any_rules<policy::TierRule>(
        [](auto& rule) { rule.tier = static_cast<Tier>(*rc::gen::inRange(0, 4)); });
    result.priority = {any_fraction(0, 0.5), *rc::gen::inRange<Micros>(kSecond, 86'400 * kSecond),
                       any_fraction(0, 0.5)};
    result.zones = any_rules<policy::ZoneRule>([](auto& rule) {
        const int zone_count = *rc::gen::inRange(0, 5);
        for (int zone = 0; zone < zone_count; ++zone) rule.allowed.push_back("z" + std::to_string(zone));
        if (zone_count > 1) rule.preferred = {"z1"};
        rule.min_zones = *rc::gen::inRange(1, std::max(zone_count, 1) + 1);
        rule.max_zone_share = zone_count == 1 ? 1 : any_fraction(0.001, 1);
        rule.survive = static_cast<policy::FailureDomain>(*rc::gen::inRange(0, zone_count == 1 ? 2 : 3));
        rule.strict = *rc::gen::arbitrary<bool>();
        rule.rebalance = *rc::gen::arbitrary<bool>();
    });
    result.moves =
        any_rules<policy::MoveRule>([](auto& rule) { rule.movable = *rc::gen::arbitrary<bool>(); });
    result.budgets = {*rc::gen::inRange(0, 10'001), *rc::gen::inRange(0, 101),
                      *rc::gen::inRange<Micros>(0, 86'400 * kSecond), *rc::gen::inRange<Micros>(0, kSecond)};
    result.gpus = {*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
                   *rc::gen::inRange<Micros>(0, 86'400 * kSecond)};
    return result;
}

RC_GTEST_PROP(PolicyRecord, RoundTripsThroughTheWireFormat, ()) {
    const Policy original = any_policy();
    RC_ASSERT(policy::validation_error(original).empty());
    Json value = policy::to_value(original);
    value["of_a_later_version"] = 1;
    const auto restored = policy::from_value(wire::decode(wire::encode(value)).value());
    RC_ASSERT(restored.has_value());
    RC_ASSERT(*restored == original);
}

/// Replaces one value somewhere in the record by another one.
void damage(Json& value) {
    if (value.is_structured() && !value.empty() && *rc::gen::inRange(0, 8) > 0) {
        auto it = value.begin();
        std::advance(it, *rc::gen::inRange<int>(0, static_cast<int>(value.size())));
        return damage(*it);
    }
    static const std::vector<Json> replacements{
        -1,  0,       1e300,         UINT64_MAX,     "",   std::string(300, 'x'),
        0.7, nullptr, Json::array(), Json::object(), true, std::nan("")};
    value = replacements[static_cast<std::size_t>(
        *rc::gen::inRange<int>(0, static_cast<int>(replacements.size())))];
}

RC_GTEST_PROP(PolicyRecord, DamagedRecordNeverYieldsValuesOutOfBounds, ()) {
    Json value = policy::to_value(any_policy());
    const int damage_count = *rc::gen::inRange(1, 4);
    for (int i = 0; i < damage_count; ++i) damage(value);
    const auto restored = policy::from_value(value);
    if (!restored) return;
    RC_ASSERT(restored->revision > 0);
    RC_ASSERT(policy::validation_error(*restored).empty());
    for (const auto& rule : restored->tiers) RC_ASSERT(rule.tier <= Tier::BestEffort);
    for (const auto& rule : restored->zones) {
        RC_ASSERT(rule.max_zone_share > 0 && rule.max_zone_share <= 1);
        RC_ASSERT(rule.min_zones >= 1);
        RC_ASSERT(rule.survive <= policy::FailureDomain::Zone);
    }
    RC_ASSERT(restored->priority.floor >= 0 && restored->priority.floor <= 0.5);
    RC_ASSERT(restored->budgets.moves_per_minute >= 0 && restored->budgets.service_pause >= 0);
}

// ---------------------------------------------------------------- sharing between controllers

Policy policy_of_revision(std::uint64_t number, Tier tier = Tier::Urgent) {
    Policy result;
    result.revision = number;
    result.tiers = {{{"red", ""}, tier}};
    return result;
}

/// A simulated cluster whose controllers have policy files of their own.
struct PolicyCluster {
    explicit PolicyCluster(std::uint64_t seed) : simulator(seed) {
        for (int i = 0; i < 4; ++i) simulator.add_machine("small", i % 2 ? "b" : "a");
    }
    /// Checks that all running controllers use this policy.
    testing::AssertionResult all_use(const Policy& expected) {
        for (int i = 0; i < simulator.node_count(); ++i)
            if (simulator.node(i) && !(simulator.node(i)->policy() == expected))
                return testing::AssertionFailure()
                       << "node " << i << " uses revision " << simulator.node(i)->policy().revision << "\n"
                       << simulator.format_history();
        return testing::AssertionSuccess();
    }
    /// Returns how many writes of the policy the controller has sent.
    std::uint64_t policy_writes(int node) {
        const auto sent = simulator.node(node)->status()["changes_sent"];
        return sent.value("policy", std::uint64_t{0});
    }
    Simulator simulator;
};

TEST(SharedPolicy, WithoutAFileTheDefaultIsInForceAndNothingIsWritten) {
    PolicyCluster cluster(1);
    cluster.simulator.start_nodes(3);
    cluster.simulator.run(10 * kSecond);
    EXPECT_TRUE(cluster.all_use(policy::default_policy(cluster.simulator.settings)));
    for (int i = 0; i < 3; ++i) EXPECT_EQ(cluster.policy_writes(i), 0u);
    const auto reply = cluster.simulator.state().handle("GET", "/store?starts=c/policy&page=10", Json(),
                                                        cluster.simulator.now());
    EXPECT_TRUE(reply.body["pairs"].empty());
}

TEST(SharedPolicy, HigherRevisionWinsInAnyOrderOfFiles) {
    for (const bool newer_first : {true, false}) {
        PolicyCluster cluster(2);
        cluster.simulator.start_nodes(3);
        cluster.simulator.run(8 * kSecond);
        cluster.simulator.node(newer_first ? 0 : 1)->set_policy_file(policy_of_revision(newer_first ? 7 : 3));
        cluster.simulator.run(3 * kSecond);
        cluster.simulator.node(newer_first ? 1 : 0)->set_policy_file(policy_of_revision(newer_first ? 3 : 7));
        cluster.simulator.run(3 * kSecond);
        EXPECT_TRUE(cluster.all_use(policy_of_revision(7)));
        EXPECT_EQ(cluster.simulator.node(1)->status()["policy"]["file"]["standing"], "older");
        EXPECT_EQ(cluster.simulator.node(0)->status()["policy"]["file"]["in_force"], true);
        EXPECT_EQ(cluster.simulator.node(2)->status()["policy"]["revision"], 7u);
        EXPECT_LE(cluster.policy_writes(0) + cluster.policy_writes(1), 2u);
        EXPECT_NO_VIOLATIONS(cluster.simulator);
    }
}

TEST(SharedPolicy, StoredPolicyStaysWhenAnotherFileHasTheSameRevision) {
    PolicyCluster cluster(3);
    cluster.simulator.start_nodes(3);
    cluster.simulator.run(8 * kSecond);
    cluster.simulator.node(0)->set_policy_file(policy_of_revision(5, Tier::Urgent));
    cluster.simulator.run(2 * kSecond);
    cluster.simulator.node(1)->set_policy_file(policy_of_revision(5, Tier::BestEffort));
    cluster.simulator.run(20 * kSecond);
    EXPECT_TRUE(cluster.all_use(policy_of_revision(5, Tier::Urgent)));
    EXPECT_EQ(cluster.simulator.node(1)->status()["policy"]["file"]["standing"], "differs");
    EXPECT_EQ(cluster.policy_writes(1), 0u);
    // With both set at once, one of them is stored and all controllers use that one.
    cluster.simulator.node(0)->set_policy_file(policy_of_revision(6, Tier::Urgent));
    cluster.simulator.node(1)->set_policy_file(policy_of_revision(6, Tier::BestEffort));
    cluster.simulator.run(3 * kSecond);
    EXPECT_TRUE(cluster.all_use(cluster.simulator.node(2)->policy()));
    EXPECT_EQ(cluster.simulator.node(2)->policy().revision, 6u);
    EXPECT_LE(cluster.policy_writes(0) + cluster.policy_writes(1), 3u);
}

TEST(SharedPolicy, NewPolicyAppliesToWaitingJobsWithoutARestart) {
    PolicyCluster cluster(4);
    cluster.simulator.start_nodes(3);
    cluster.simulator.run(8 * kSecond);
    JobSpec wide_job = cluster.simulator.make_job(1, JobKind::Array, 40, 4);
    cluster.simulator.submit(wide_job, 60 * kSecond);
    cluster.simulator.run(3 * kSecond);
    auto tier = [&] {
        for (int i = 0; i < 3; ++i)
            if (const Json explanation = cluster.simulator.node(i)->explain("req-000001");
                explanation.contains("tier"))
                return explanation["tier"].get<std::string>() +
                       (explanation["why"].empty() ? ", without a reason" : "");
        return std::string("no controller knows the job");
    };
    EXPECT_EQ(tier(), "batch");
    cluster.simulator.node(2)->set_policy_file(policy_of_revision(1, Tier::BestEffort));
    cluster.simulator.run(2 * kSecond);
    EXPECT_EQ(tier(), "leftover");
    EXPECT_TRUE(cluster.all_use(policy_of_revision(1, Tier::BestEffort)));
    EXPECT_NO_VIOLATIONS(cluster.simulator);
}

TEST(SharedPolicy, NewPolicyIsStoredDespiteCrashesAndOutages) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        PolicyCluster cluster(seed);
        // Every process starts with the older file; the newer file is loaded while the controllers run.
        cluster.simulator.settings.operators.policy = policy_of_revision(1);
        cluster.simulator.start_nodes(5);
        cluster.simulator.run(static_cast<Micros>(cluster.simulator.random() % 4000) * kMillisecond);
        const int writer = static_cast<int>(cluster.simulator.random() % 5);
        cluster.simulator.settings.operators.policy = policy_of_revision(2, Tier::BestEffort);
        cluster.simulator.node(writer)->set_policy_file(policy_of_revision(2, Tier::BestEffort));
        cluster.simulator.run(static_cast<Micros>(cluster.simulator.random() % 60) * kMillisecond);
        if (seed % 2) {
            cluster.simulator.state().set_down(true, cluster.simulator.now());
            cluster.simulator.schedule_at(cluster.simulator.now() + 3 * kSecond, [&] {
                cluster.simulator.state().set_down(false, cluster.simulator.now());
            });
        }
        cluster.simulator.state_answer_loss_rate = 0.3;
        cluster.simulator.crash(writer, 300 * kMillisecond);  // restarts with the newer file
        cluster.simulator.crash((writer + 1) % 5, 2 * kSecond);
        cluster.simulator.run(6 * kSecond);
        cluster.simulator.state_answer_loss_rate = 0;
        cluster.simulator.run(45 * kSecond);
        EXPECT_TRUE(cluster.all_use(policy_of_revision(2, Tier::BestEffort))) << "seed " << seed;
        EXPECT_NO_VIOLATIONS(cluster.simulator);
    }
}

TEST(SharedPolicy, WritesBackOffWhileTheStoreIsDown) {
    PolicyCluster cluster(5);
    cluster.simulator.start_nodes(3);
    cluster.simulator.run(8 * kSecond);
    cluster.simulator.state().set_down(true, cluster.simulator.now());
    const auto requests_before = cluster.simulator.state_requests(0);
    cluster.simulator.node(0)->set_policy_file(policy_of_revision(1));
    cluster.simulator.run(60 * kSecond);
    const auto requests = cluster.simulator.state_requests(0) - requests_before,
               other_requests = cluster.simulator.state_requests(1);
    EXPECT_LE(cluster.policy_writes(0), 12u)
        << requests << " requests, another controller " << other_requests;
    cluster.simulator.state().set_down(false, cluster.simulator.now());
    cluster.simulator.run(50 * kSecond);
    EXPECT_TRUE(cluster.all_use(policy_of_revision(1)));
}

TEST(SharedPolicy, DamagedRecordPutsTheDefaultInForceUntilANewerFileReplacesIt) {
    PolicyCluster cluster(6);
    cluster.simulator.start_nodes(3);
    cluster.simulator.run(8 * kSecond);
    auto store_policy = [&](const Json& value) {
        const Json write{{"write", "c/policy"}, {"data", value}};
        const auto reply = cluster.simulator.state().handle(
            "POST", "/commit", {{"then", Json::array({write})}}, cluster.simulator.now());
        ASSERT_EQ(reply.status, 200) << reply.body.dump();
        cluster.simulator.run(kSecond);
    };
    store_policy({{"rev", 4}, {"prio", {{"floor", 7}}}});
    EXPECT_TRUE(cluster.all_use(policy::default_policy(cluster.simulator.settings)));
    EXPECT_EQ(cluster.simulator.node(1)->status()["policy"]["damaged"], true);
    // A record that can't be parsed may be of a newer version, so its revision still counts.
    cluster.simulator.node(0)->set_policy_file(policy_of_revision(4));
    cluster.simulator.run(2 * kSecond);
    EXPECT_TRUE(cluster.all_use(policy::default_policy(cluster.simulator.settings)));
    cluster.simulator.node(0)->set_policy_file(policy_of_revision(5));
    cluster.simulator.run(2 * kSecond);
    EXPECT_TRUE(cluster.all_use(policy_of_revision(5)));
    EXPECT_NO_VIOLATIONS(cluster.simulator);
}

TEST(SharedPolicy, PolicyLargerThanAValueWaitsUntilAllControllersReadPieces) {
    PolicyCluster cluster(7);
    Policy large_policy = policy_of_revision(1);
    for (int i = 0; i < 400; ++i)
        large_policy.tiers.push_back({{"red", "a-class-with-a-long-name-" + std::to_string(i)}, Tier::Batch});
    cluster.simulator.settings.operators.policy = large_policy;
    cluster.simulator.start_nodes(3, {2});
    cluster.simulator.run(12 * kSecond);
    EXPECT_TRUE(cluster.all_use(policy::default_policy(cluster.simulator.settings)));
    cluster.simulator.upgrade(2, kSecond);
    cluster.simulator.run(45 * kSecond);
    EXPECT_TRUE(cluster.all_use(large_policy));
    for (int i = 0; i < 3; ++i)
        cluster.simulator.crash(i, kSecond);  // a restarted controller reads it from its pieces
    cluster.simulator.settings.operators.policy.reset();
    cluster.simulator.run(15 * kSecond);
    EXPECT_TRUE(cluster.all_use(large_policy));
    EXPECT_NO_VIOLATIONS(cluster.simulator);
}

}  // namespace
}  // namespace cottonway::test
