// Scenario files: which nodes and machines a fault affects, and until when.

#include "simulation/scenario.hpp"

#include <gtest/gtest.h>

#include <fstream>

namespace cottonway::test {

using namespace simulation;
namespace {

Scenario scenario_with_fault(const std::string& fault) {
    const std::string path = testing::TempDir() + "fault-" + std::to_string(getpid()) + ".toml";
    std::ofstream(path) << "duration_s = 60\nacceptance = false\n[workers]\nlease_s = 20\n"
                        << "[[team]]\nname = \"red\"\ncores_max = 100\n[[type]]\nname = \"small\"\n"
                        << "[[machines]]\ncount = 6\n[[machines]]\nzone = \"b\"\ncount = 6\n"
                        << "[[load]]\ninitial = 4\nper_minute = 30\nrun_s = 5\n"
                        << "[[fault]]\nat_s = 10\nfor_s = 5\n"
                        << fault << "\n";
    return Scenario::load(path);
}

std::string load_error(const std::string& fault) {
    try {
        scenario_with_fault(fault);
        return "";
    } catch (const std::runtime_error& e) {
        return e.what();
    }
}

TEST(Scenario, EndOfFaultsIncludesMaximumMessageDelay) {
    EXPECT_EQ(scenario_with_fault("kind = \"cut_off\"").faults_end(), 15 * kSecond);
    EXPECT_EQ(scenario_with_fault("kind = \"late_writes\"\npart = 0.2").faults_end(), 27 * kSecond);
    EXPECT_EQ(scenario_with_fault("kind = \"late_reports\"").faults_end(),
              65 * kSecond);  // two and a half leases
    EXPECT_EQ(scenario_with_fault("kind = \"late_writes\"\nat_once = true").faults_end(), 15 * kSecond);
    EXPECT_EQ(scenario_with_fault("kind = \"late_reports\"\nfor_next = true").faults_end(), 15 * kSecond);
    EXPECT_EQ(scenario_with_fault("kind = \"late_commands\"").faults_end(), 31 * kSecond);
    EXPECT_EQ(scenario_with_fault("kind = \"cancel_now\"\ncount = 2\nhang_s = 7").faults_end(), 17 * kSecond);
    EXPECT_EQ(scenario_with_fault("kind = \"deaf\"\ntimes = 3\nevery_s = 4").faults_end(), 23 * kSecond);
}

TEST(Scenario, FaultTargetsAreParsedAndInvalidOnesReported) {
    EXPECT_EQ(scenario_with_fault("kind = \"refuse\"\nnode = \"leader\"").faults[0].target,
              Fault::Target::Leader);
    EXPECT_EQ(scenario_with_fault("kind = \"cut_off\"\nnode = \"busiest\"").faults[0].target,
              Fault::Target::Busiest);
    EXPECT_EQ(scenario_with_fault("kind = \"end\"\nany = true").faults[0].target, Fault::Target::Any);
    EXPECT_EQ(scenario_with_fault("kind = \"end\"\nnode = 2").faults[0].node, 2);
    EXPECT_EQ(load_error("kind = \"end\"\nnode = \"first\""),
              "fault[0].node: must be one of busiest, leader, not first");
    EXPECT_EQ(load_error("kind = \"end\"\nnode = 3"), "fault[0].node: must lie between -1 and 2");
    EXPECT_EQ(load_error("kind = \"end\"\nnode = \"leader\"\nany = true"),
              "fault[0].any: the node is named already");
    EXPECT_EQ(load_error("kind = \"deaf\"\npart = 0.5\ncount = 2"), "fault[0].part: either part or count");
    EXPECT_EQ(load_error("kind = \"zone_lost\"\nzone = \"z\""), "fault[0].zone: no such zone: z");
}

TEST(Scenario, FaultKindsBreakNoRule) {
    for (const char* fault :
         {"kind = \"late_writes\"\npart = 0.2", "kind = \"late_reports\"\npart = 0.3",
          "kind = \"deaf\"\npart = 0.5", "kind = \"deaf\"\nzone = \"b\"",
          "kind = \"late_writes\"\nat_once = true\npart = 0.3",
          "kind = \"late_reports\"\nfor_next = true\npart = 0.3\n"
          "[[fault]]\nat_s = 14\nkind = \"end\"\nnode = \"leader\"\nfor_s = 1",
          "kind = \"mute\"\nzone = \"b\"", "kind = \"cancel_now\"\ncount = 5\nhang_s = 4",
          "kind = \"cancel_at_end\"\npart = 0.5", "kind = \"close_looks\"", "kind = \"odd_requests\"",
          "kind = \"late_commands\"\npart = 0.3", "kind = \"slow_state\"\nlate_s = 0.3",
          "kind = \"cut_off\"\nnode = \"leader\"", "kind = \"refuse\"\nnode = \"busiest\""}) {
        ScenarioResults results;
        run_scenario(scenario_with_fault(fault), 1, results);
        EXPECT_TRUE(results.passed()) << fault << ": " << results.violations.front();
        EXPECT_GT(results.jobs_finished, 10u) << fault;
    }
}

}  // namespace
}  // namespace cottonway::test
