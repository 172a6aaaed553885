// Settings: one clear line that names the key and the reason.

#include "config/settings.hpp"

#include <gtest/gtest.h>

#include <fstream>

namespace cottonway::test {
namespace {

const std::string kGood = R"(
node_name = "loom-0"
site = "hobart"
client_listen = "127.0.0.1:8080"
cluster_listen = "127.0.0.1:8081"
a_field_of_next_year = 1
[services]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[deployment]
zones = ["hobart"]
[[deployment.teams]]
name = "members"
cpus = 64.0
cpus_max = 184.0
gpus = 0.0
gpus_max = 0.0
[deployment.workers]
report_s = 3.0
lease_s = 36.0
gang_wait_s = 45.0
gang_peer_s = 6.0
cancel_s = 56.0
[deployment.state]
rps = 120.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8
[deployment.cloud]
rps = 10.0
list_lag_s = 6.0
[deployment.limits]
sockets = 3500
)";

std::string write(const std::string& name, const std::string& text) {
    // Tests run side by side.
    const std::string path =
        testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name() + "-" + name;
    std::ofstream(path) << text;
    return path;
}

std::string error_of(const std::string& text, const std::string& operators = "") {
    try {
        load_settings(write("platform.toml", text),
                      operators.empty() ? "" : write("operators.toml", operators));
    } catch (const std::runtime_error& e) {
        return e.what();
    }
    return "";
}

std::string with(const std::string& from, const std::string& to) {
    std::string s = kGood;
    return s.replace(s.find(from), from.size(), to);
}

TEST(SettingsFile, IsReadAndUnknownKeysOfThePlatformAreIgnored) {
    const Settings s = load_settings(write("platform.toml", kGood), "");
    EXPECT_EQ(s.worker_lease, 36 * kSecond);
    EXPECT_EQ(s.teams.at(0).limit.cores, 184'000);
    EXPECT_EQ(s.max_value_bytes, 4096u);
}

TEST(SettingsFile, NoGuaranteeAndNoLimitAreBothValid) {
    const Settings s = load_settings(
        write("platform.toml", with("cpus = 64.0\ncpus_max = 184.0", "cpus = 0.0\ncpus_max = 0.0")), "");
    EXPECT_EQ(s.teams.at(0).guarantee.cores, 0);
    EXPECT_EQ(s.teams.at(0).limit.cores, kNoLimit);
    EXPECT_EQ(s.teams.at(0).limit.gpus, kNoLimit);
}

TEST(SettingsFile, ErrorsNameTheKeyAndTheReason) {
    EXPECT_EQ(error_of(with("127.0.0.1:8080", "localhost:8080")),
              "client_listen: not an IPv4 address: localhost");
    EXPECT_EQ(error_of(with("127.0.0.1:2379", "127.0.0.1:99999")), "services.state: not a port: 99999");
    EXPECT_EQ(error_of(with("lease_s = 36.0", "lease_s = \"long\"")),
              "deployment.workers.lease_s: must be a number");
    EXPECT_NE(error_of(with("rps = 120.0", "rps = -1.0")).find("deployment.state.rps: must lie between"),
              std::string::npos);
    EXPECT_NE(error_of(with("cpus = 64.0", "cpus = -1.0")).find("deployment.teams[0].cpus: must lie between"),
              std::string::npos);
    EXPECT_NE(error_of("node_name = "), "");
}

TEST(SettingsFile, TheSmallerOfTheLimitsNowAndNextIsKept) {
    auto next = [](const std::string& text) {
        return with("txn_ops = 8", "txn_ops = 8\n[deployment.state.next]\n" + text);
    };
    Settings s =
        load_settings(write("platform.toml", next("write_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4")), "");
    EXPECT_EQ(s.max_value_bytes, 2048u);
    EXPECT_EQ(s.current_max_value_bytes, 4096u);
    EXPECT_EQ(s.max_txn_ops, 4u);
    EXPECT_EQ(s.next_write_rps, 18);
    EXPECT_EQ(s.state_write_rps, 25);
    s = load_settings(write("platform.toml", next("value_kb = 8.0\nof_next_year = 1")), "");
    EXPECT_EQ(s.max_value_bytes, 4096u);
    EXPECT_EQ(s.max_txn_ops, 8u);
    EXPECT_EQ(s.next_write_rps, 25);
    EXPECT_EQ(error_of(next("value_kb = \"two\"")), "deployment.state.next.value_kb: must be a number");
    EXPECT_NE(error_of(next("txn_ops = 0")).find("deployment.state.next.txn_ops: must lie between"),
              std::string::npos);
    EXPECT_EQ(error_of(with("txn_ops = 8", "txn_ops = 8\nnext = 7")),
              "deployment.state.next: must be a table");
}

TEST(SettingsFile, OperatorsKeysAreChecked) {
    EXPECT_EQ(error_of(kGood, "[placement]\ncores_weight = 10\n"), "");
    EXPECT_EQ(error_of(kGood, "[placement]\ncore_weight = 10\n"), "placement.core_weight: unknown key");
    EXPECT_NE(error_of(kGood, "[placement]\njitter = -1\n").find("placement.jitter: must lie between"),
              std::string::npos);
    EXPECT_EQ(error_of(kGood, "verbose = true\n"), "verbose: unknown key");
}

}  // namespace
}  // namespace cottonway::test
