// Reading of the settings files; each error is one line that names the key and the reason.

#include "config/settings.hpp"

#include <gtest/gtest.h>

#include <fstream>

namespace cottonway::test {
namespace {

const std::string kValidSettings = R"(
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

std::string write_file(const std::string& name, const std::string& text) {
    // Tests run in parallel, so each has its own files.
    const std::string path =
        testing::TempDir() + testing::UnitTest::GetInstance()->current_test_info()->name() + "-" + name;
    std::ofstream(path) << text;
    return path;
}

std::string load_error(const std::string& text, const std::string& operators = "") {
    try {
        load_settings(write_file("platform.toml", text),
                      operators.empty() ? "" : write_file("operators.toml", operators));
    } catch (const std::runtime_error& error) {
        return error.what();
    }
    return "";
}

std::string replace_in_settings(const std::string& from, const std::string& to) {
    std::string settings = kValidSettings;
    return settings.replace(settings.find(from), from.size(), to);
}

TEST(SettingsFile, IsReadAndUnknownPlatformKeysAreIgnored) {
    const Settings settings = load_settings(write_file("platform.toml", kValidSettings), "");
    EXPECT_EQ(settings.worker_lease, 36 * kSecond);
    EXPECT_EQ(settings.teams.at(0).limit.cores, 184'000);
    EXPECT_EQ(settings.max_value_bytes, 4096u);
}

TEST(SettingsFile, ZeroMeansNoGuaranteeAndNoLimit) {
    const Settings settings = load_settings(
        write_file("platform.toml",
                   replace_in_settings("cpus = 64.0\ncpus_max = 184.0", "cpus = 0.0\ncpus_max = 0.0")),
        "");
    EXPECT_EQ(settings.teams.at(0).guarantee.cores, 0);
    EXPECT_EQ(settings.teams.at(0).limit.cores, kNoLimit);
    EXPECT_EQ(settings.teams.at(0).limit.gpus, kNoLimit);
}

TEST(SettingsFile, ErrorsNameTheKeyAndTheReason) {
    EXPECT_EQ(load_error(replace_in_settings("127.0.0.1:8080", "localhost:8080")),
              "client_listen: not an IPv4 address: localhost");
    EXPECT_EQ(load_error(replace_in_settings("127.0.0.1:2379", "127.0.0.1:99999")),
              "services.state: not a port: 99999");
    EXPECT_EQ(load_error(replace_in_settings("lease_s = 36.0", "lease_s = \"long\"")),
              "deployment.workers.lease_s: must be a number");
    EXPECT_NE(load_error(replace_in_settings("rps = 120.0", "rps = -1.0"))
                  .find("deployment.state.rps: must lie between"),
              std::string::npos);
    EXPECT_NE(load_error(replace_in_settings("cpus = 64.0", "cpus = -1.0"))
                  .find("deployment.teams[0].cpus: must lie between"),
              std::string::npos);
    EXPECT_NE(load_error("node_name = "), "");
}

TEST(SettingsFile, SmallerOfCurrentAndNextLimitsIsUsed) {
    auto next = [](const std::string& text) {
        return replace_in_settings("txn_ops = 8", "txn_ops = 8\n[deployment.state.next]\n" + text);
    };
    Settings settings =
        load_settings(write_file("platform.toml", next("write_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4")), "");
    EXPECT_EQ(settings.max_value_bytes, 2048u);
    EXPECT_EQ(settings.current_max_value_bytes, 4096u);
    EXPECT_EQ(settings.max_txn_ops, 4u);
    EXPECT_EQ(settings.next_write_rps, 18);
    EXPECT_EQ(settings.state_write_rps, 25);
    settings = load_settings(write_file("platform.toml", next("value_kb = 8.0\nof_next_year = 1")), "");
    EXPECT_EQ(settings.max_value_bytes, 4096u);
    EXPECT_EQ(settings.max_txn_ops, 8u);
    EXPECT_EQ(settings.next_write_rps, 25);
    EXPECT_EQ(load_error(next("value_kb = \"two\"")), "deployment.state.next.value_kb: must be a number");
    EXPECT_NE(load_error(next("txn_ops = 0")).find("deployment.state.next.txn_ops: must lie between"),
              std::string::npos);
    EXPECT_EQ(load_error(replace_in_settings("txn_ops = 8", "txn_ops = 8\nnext = 7")),
              "deployment.state.next: must be a table");
}

TEST(SettingsFile, OperatorKeysAreValidated) {
    EXPECT_EQ(load_error(kValidSettings, "[placement]\ncores_weight = 10\n"), "");
    EXPECT_EQ(load_error(kValidSettings, "[placement]\ncore_weight = 10\n"),
              "placement.core_weight: unknown key");
    EXPECT_NE(
        load_error(kValidSettings, "[placement]\njitter = -1\n").find("placement.jitter: must lie between"),
        std::string::npos);
    EXPECT_EQ(load_error(kValidSettings, "verbose = true\n"), "verbose: unknown key");
}

}  // namespace
}  // namespace cottonway::test
