// Checks the parts of the soak test: the fault schedule, the TCP proxy, and that the rule checker reports
// each violation.

#include <gtest/gtest.h>

#include <asio.hpp>

#include "soak/fault_schedule.hpp"
#include "soak/rule_checker.hpp"
#include "soak/tcp_proxy.hpp"

namespace cottonway::test {

using namespace soak;
using simulation::RequestKind;
namespace {

constexpr int kControllers = 3;

TEST(FaultSchedule, SameSeedGivesTheSameFaultsAndAllEndInTime) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto faults = generate_faults(seed, kControllers, 5 * kSecond, 35 * kSecond);
        const auto repeated = generate_faults(seed, kControllers, 5 * kSecond, 35 * kSecond);
        ASSERT_EQ(faults.size(), repeated.size());
        ASSERT_GE(faults.size(), 12u);
        for (std::size_t i = 0; i < faults.size(); ++i) {
            EXPECT_EQ(describe(faults[i]), describe(repeated[i]));
            EXPECT_GE(faults[i].starts_at, 5 * kSecond);
            EXPECT_LE(faults[i].starts_at + faults[i].duration, 35 * kSecond);
            EXPECT_LT(faults[i].controller, kControllers);
            EXPECT_TRUE(i == 0 || faults[i - 1].starts_at <= faults[i].starts_at);
        }
    }
}

TEST(FaultSchedule, FiftySeedsCoverEveryKindWithOverlaps) {
    std::set<FaultKind> kinds;
    int overlaps = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto faults = generate_faults(seed, kControllers, 0, 30 * kSecond);
        for (std::size_t i = 0; i < faults.size(); ++i) {
            kinds.insert(faults[i].kind);
            overlaps += i > 0 && faults[i].starts_at < faults[i - 1].starts_at + faults[i - 1].duration;
        }
    }
    EXPECT_EQ(kinds.size(), static_cast<std::size_t>(kFaultKindCount));
    EXPECT_GT(overlaps, 100);
}

class RuleCheckerTest : public testing::Test {
  protected:
    RuleCheckerTest() {
        deployment_.cancel_deadline = 10 * kSecond;
        deployment_.teams = {{"red", {1'000, 0, 0}, {2'000, 0, 0}}};
    }
    void submit(const std::string& ref, JobKind kind = JobKind::Service, int tasks = 1) {
        JobSpec spec;
        spec.ref = ref;
        spec.team = "red";
        spec.kind = kind;
        spec.tasks = tasks;
        spec.request = {1'000, 0, 1'000};
        rule_checker_.submit(spec, kSecond);
        report_answer(RequestKind::Submission, ref, 201, "pending");
    }
    void report_answer(RequestKind request_kind, const std::string& ref, int status,
                       const std::string& stage) {
        rule_checker_.on_answer(request_kind, ref, rule_checker_.begin_request(), status, stage);
    }
    void cancel(const std::string& ref) {
        rule_checker_.record_cancellation_request(ref);
        report_answer(RequestKind::Cancellation, ref, 200, "cancelled");
    }
    /// Returns the names of the violated rules, without details.
    std::vector<std::string> violated_rules() const {
        std::vector<std::string> names;
        for (const auto& line : rule_checker_.violations()) names.push_back(line.substr(0, line.find(':')));
        return names;
    }

    using RuleNames = std::vector<std::string>;
    Settings deployment_;
    RuleChecker rule_checker_{deployment_};
};

TEST_F(RuleCheckerTest, ReportsNothingWhenNoRuleIsViolated) {
    submit("req-000001");
    rule_checker_.on_task_started("n-1", "req-000001", 0, 1);
    cancel("req-000001");
    rule_checker_.set_time(4 * kSecond);
    rule_checker_.on_task_stopped("n-1", "req-000001", 0, 1);
    rule_checker_.set_time(20 * kSecond);
    rule_checker_.check_deadlines();
    rule_checker_.on_faults_over();
    report_answer(RequestKind::State, "req-000001", 200, "cancelled");
    rule_checker_.check_final_state(kSecond);
    EXPECT_EQ(violated_rules(), RuleNames{});
    EXPECT_EQ(rule_checker_.longest_stop_time(), 4 * kSecond);
    EXPECT_TRUE(rule_checker_.is_settled());
}

TEST_F(RuleCheckerTest, ReportsACancelledTaskThatKeepsRunningOrStarts) {
    submit("req-000001");
    rule_checker_.on_task_started("n-1", "req-000001", 0, 1);
    cancel("req-000001");
    rule_checker_.set_time(10 * kSecond);
    rule_checker_.check_deadlines();
    EXPECT_EQ(violated_rules(), RuleNames{});
    rule_checker_.set_time(10 * kSecond + 1);
    rule_checker_.check_deadlines();
    rule_checker_.check_deadlines();
    EXPECT_EQ(violated_rules(), RuleNames{"ran_cancelled"});
    rule_checker_.on_task_stopped("n-1", "req-000001", 0, 1);
    rule_checker_.on_task_started("n-1", "req-000001", 0, 2);
    EXPECT_EQ(violated_rules(), (RuleNames{"ran_cancelled", "ran_cancelled"}));
}

TEST_F(RuleCheckerTest, ReportsATaskThatRunsTwiceAndATeamAboveItsLimit) {
    submit("req-000001", JobKind::Service, 2);
    rule_checker_.on_task_started("n-1", "req-000001", 0, 1);
    rule_checker_.on_task_started("n-2", "req-000001", 0, 2);
    EXPECT_EQ(violated_rules(), RuleNames{"ran_twice"});
    rule_checker_.on_task_started("n-2", "req-000001", 1, 2);
    EXPECT_EQ(violated_rules(), (RuleNames{"ran_twice", "quota"}));
}

TEST_F(RuleCheckerTest, ReportsWrongAnswersAndStatesThatGoBack) {
    submit("req-000001", JobKind::Array);
    report_answer(RequestKind::State, "req-000001", 200, "done");
    EXPECT_EQ(violated_rules(), RuleNames{"not_done"});
    submit("req-000002");
    cancel("req-000002");
    report_answer(RequestKind::State, "req-000002", 200, "running");
    EXPECT_EQ(violated_rules(), (RuleNames{"not_done", "went_back"}));
    report_answer(RequestKind::State, "req-000002", 404, "");
    EXPECT_EQ(violated_rules(), (RuleNames{"not_done", "went_back", "forgotten"}));
}

TEST_F(RuleCheckerTest, ReportsForgottenAndWaitingJobsAtTheEnd) {
    submit("req-000001", JobKind::Array);
    rule_checker_.on_faults_over();
    rule_checker_.set_time(30 * kSecond);
    rule_checker_.check_final_state(15 * kSecond);
    EXPECT_EQ(violated_rules(), (RuleNames{"forgotten", "left_waiting"}));
    EXPECT_FALSE(rule_checker_.is_settled());
}

class TcpProxyTest : public testing::Test {
  protected:
    using tcp = asio::ip::tcp;
    TcpProxyTest()
        : target_acceptor_(io_, {asio::ip::make_address_v4("127.0.0.1"), 0}),
          proxy_(io_, choose_listen_endpoint(), target_endpoint()) {}
    Endpoint target_endpoint() { return {"127.0.0.1", target_acceptor_.local_endpoint().port()}; }
    /// Returns an address with a port that was free just before.
    Endpoint choose_listen_endpoint() {
        tcp::acceptor free_port(io_, {asio::ip::make_address_v4("127.0.0.1"), 0});
        listen_port_ = free_port.local_endpoint().port();
        return {"127.0.0.1", listen_port_};
    }
    void run_io() {
        io_.restart();
        io_.run_for(std::chrono::milliseconds(100));
    }
    asio::error_code connect(tcp::socket& socket) {
        asio::error_code ec;
        socket.connect({asio::ip::make_address_v4("127.0.0.1"), listen_port_}, ec);
        return ec;
    }

    asio::io_context io_;
    std::uint16_t listen_port_ = 0;
    tcp::acceptor target_acceptor_;
    TcpProxy proxy_;
};

TEST_F(TcpProxyTest, WhileCutHoldsSentDataAndRefusesNewConnections) {
    tcp::socket client(io_), server(io_);
    ASSERT_FALSE(connect(client));
    run_io();
    target_acceptor_.accept(server);
    run_io();
    server.non_blocking(true);
    std::array<char, 16> buffer{};
    asio::error_code ec;
    client.send(asio::buffer("one", 3));
    run_io();
    EXPECT_EQ(server.receive(asio::buffer(buffer), 0, ec), 3u);

    proxy_.cut();
    client.send(asio::buffer("two", 3));
    run_io();
    server.receive(asio::buffer(buffer), 0, ec);
    EXPECT_EQ(ec, asio::error::would_block);
    tcp::socket refused(io_);
    EXPECT_EQ(connect(refused), asio::error::connection_refused);

    proxy_.heal();
    run_io();
    EXPECT_EQ(server.receive(asio::buffer(buffer), 0, ec), 3u);
    EXPECT_EQ(std::string(buffer.data(), 3), "two");
    tcp::socket accepted(io_);
    EXPECT_FALSE(connect(accepted));
}

TEST_F(TcpProxyTest, WhenHealedDeliversDataOfAClosedConnection) {
    tcp::socket client(io_), server(io_);
    ASSERT_FALSE(connect(client));
    run_io();
    target_acceptor_.accept(server);
    run_io();
    proxy_.cut();
    client.send(asio::buffer("late", 4));
    client.close();
    run_io();
    proxy_.heal();
    run_io();
    std::array<char, 16> buffer{};
    asio::error_code ec;
    server.non_blocking(true);
    EXPECT_EQ(server.receive(asio::buffer(buffer), 0, ec), 4u);
}

}  // namespace
}  // namespace cottonway::test
