// The parts of the soak test: its faults, its proxy, and that its checker reports each breach.

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

TEST(FaultSchedule, IsDrawnFromItsSeedAndOverInTime) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto faults = draw_faults(seed, kControllers, 5 * kSecond, 35 * kSecond);
        const auto again = draw_faults(seed, kControllers, 5 * kSecond, 35 * kSecond);
        ASSERT_EQ(faults.size(), again.size());
        ASSERT_GE(faults.size(), 12u);
        for (std::size_t i = 0; i < faults.size(); ++i) {
            EXPECT_EQ(describe(faults[i]), describe(again[i]));
            EXPECT_GE(faults[i].at, 5 * kSecond);
            EXPECT_LE(faults[i].at + faults[i].lasts, 35 * kSecond);
            EXPECT_LT(faults[i].controller, kControllers);
            EXPECT_TRUE(i == 0 || faults[i - 1].at <= faults[i].at);
        }
    }
}

TEST(FaultSchedule, PlaysEveryKindWithinFiftySeedsAndLetsThemOverlap) {
    std::set<FaultKind> kinds;
    int overlaps = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto faults = draw_faults(seed, kControllers, 0, 30 * kSecond);
        for (std::size_t i = 0; i < faults.size(); ++i) {
            kinds.insert(faults[i].kind);
            overlaps += i > 0 && faults[i].at < faults[i - 1].at + faults[i - 1].lasts;
        }
    }
    EXPECT_EQ(kinds.size(), static_cast<std::size_t>(kFaultKinds));
    EXPECT_GT(overlaps, 100);
}

class RuleCheckerTest : public testing::Test {
  protected:
    RuleCheckerTest() {
        deployment_.cancel = 10 * kSecond;
        deployment_.teams = {{"red", {1'000, 0, 0}, {2'000, 0, 0}}};
    }
    void submit(const std::string& ref, JobKind kind = JobKind::Service, int tasks = 1) {
        JobSpec spec;
        spec.ref = ref;
        spec.team = "red";
        spec.kind = kind;
        spec.tasks = tasks;
        spec.request = {1'000, 0, 1'000};
        rules_.submit(spec, kSecond);
        hear(RequestKind::Submission, ref, 201, "pending");
    }
    void hear(RequestKind asked, const std::string& ref, int status, const std::string& stage) {
        rules_.told(asked, ref, rules_.begin(), status, stage);
    }
    void cancel(const std::string& ref) {
        rules_.want_cancel(ref);
        hear(RequestKind::Cancellation, ref, 200, "cancelled");
    }
    /// The rules that were broken, without what happened.
    std::vector<std::string> broken() const {
        std::vector<std::string> rules;
        for (const auto& line : rules_.breaches()) rules.push_back(line.substr(0, line.find(':')));
        return rules;
    }

    using Rules = std::vector<std::string>;
    Settings deployment_;
    RuleChecker rules_{deployment_};
};

TEST_F(RuleCheckerTest, FindsNothingWhereNothingIsBroken) {
    submit("req-000001");
    rules_.on_machine("n-1", "req-000001", 0, 1);
    cancel("req-000001");
    rules_.set_time(4 * kSecond);
    rules_.off_machine("n-1", "req-000001", 0, 1);
    rules_.set_time(20 * kSecond);
    rules_.tick();
    rules_.quiesce();
    hear(RequestKind::State, "req-000001", 200, "cancelled");
    rules_.finish(kSecond);
    EXPECT_EQ(broken(), Rules{});
    EXPECT_EQ(rules_.longest_to_stop(), 4 * kSecond);
    EXPECT_TRUE(rules_.settled());
}

TEST_F(RuleCheckerTest, ReportsACancelledTaskThatRunsOnOrStarts) {
    submit("req-000001");
    rules_.on_machine("n-1", "req-000001", 0, 1);
    cancel("req-000001");
    rules_.set_time(10 * kSecond);
    rules_.tick();
    EXPECT_EQ(broken(), Rules{});
    rules_.set_time(10 * kSecond + 1);
    rules_.tick();
    rules_.tick();
    EXPECT_EQ(broken(), Rules{"ran_cancelled"});
    rules_.off_machine("n-1", "req-000001", 0, 1);
    rules_.on_machine("n-1", "req-000001", 0, 2);
    EXPECT_EQ(broken(), (Rules{"ran_cancelled", "ran_cancelled"}));
}

TEST_F(RuleCheckerTest, ReportsATaskThatRunsTwiceAndATeamAboveItsLimit) {
    submit("req-000001", JobKind::Service, 2);
    rules_.on_machine("n-1", "req-000001", 0, 1);
    rules_.on_machine("n-2", "req-000001", 0, 2);
    EXPECT_EQ(broken(), Rules{"ran_twice"});
    rules_.on_machine("n-2", "req-000001", 1, 2);
    EXPECT_EQ(broken(), (Rules{"ran_twice", "quota"}));
}

TEST_F(RuleCheckerTest, ReportsAnswersThatAreWrongOrGoBack) {
    submit("req-000001", JobKind::Array);
    hear(RequestKind::State, "req-000001", 200, "done");
    EXPECT_EQ(broken(), Rules{"not_done"});
    submit("req-000002");
    cancel("req-000002");
    hear(RequestKind::State, "req-000002", 200, "running");
    EXPECT_EQ(broken(), (Rules{"not_done", "went_back"}));
    hear(RequestKind::State, "req-000002", 404, "");
    EXPECT_EQ(broken(), (Rules{"not_done", "went_back", "forgotten"}));
}

TEST_F(RuleCheckerTest, ReportsWhatIsForgottenOrLeftWaitingAtTheEnd) {
    submit("req-000001", JobKind::Array);
    rules_.quiesce();
    rules_.set_time(30 * kSecond);
    rules_.finish(15 * kSecond);
    EXPECT_EQ(broken(), (Rules{"forgotten", "left_waiting"}));
    EXPECT_FALSE(rules_.settled());
}

class TcpProxyTest : public testing::Test {
  protected:
    using tcp = asio::ip::tcp;
    TcpProxyTest()
        : target_(io_, {asio::ip::make_address_v4("127.0.0.1"), 0}), proxy_(io_, listen(), target()) {}
    Endpoint target() { return {"127.0.0.1", target_.local_endpoint().port()}; }
    /// A port that was free a moment ago.
    Endpoint listen() {
        tcp::acceptor free(io_, {asio::ip::make_address_v4("127.0.0.1"), 0});
        listen_port_ = free.local_endpoint().port();
        return {"127.0.0.1", listen_port_};
    }
    void run() {
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
    tcp::acceptor target_;
    TcpProxy proxy_;
};

TEST_F(TcpProxyTest, HoldsWhatIsSentWhileItIsCutAndRefusesNewConnections) {
    tcp::socket client(io_), server(io_);
    ASSERT_FALSE(connect(client));
    run();
    target_.accept(server);
    run();
    server.non_blocking(true);
    std::array<char, 16> buffer{};
    asio::error_code ec;
    client.send(asio::buffer("one", 3));
    run();
    EXPECT_EQ(server.receive(asio::buffer(buffer), 0, ec), 3u);

    proxy_.cut();
    client.send(asio::buffer("two", 3));
    run();
    server.receive(asio::buffer(buffer), 0, ec);
    EXPECT_EQ(ec, asio::error::would_block);
    tcp::socket refused(io_);
    EXPECT_EQ(connect(refused), asio::error::connection_refused);

    proxy_.heal();
    run();
    EXPECT_EQ(server.receive(asio::buffer(buffer), 0, ec), 3u);
    EXPECT_EQ(std::string(buffer.data(), 3), "two");
    tcp::socket accepted(io_);
    EXPECT_FALSE(connect(accepted));
}

TEST_F(TcpProxyTest, DeliversLateWhatItsSenderHasGivenUp) {
    tcp::socket client(io_), server(io_);
    ASSERT_FALSE(connect(client));
    run();
    target_.accept(server);
    run();
    proxy_.cut();
    client.send(asio::buffer("late", 4));
    client.close();
    run();
    proxy_.heal();
    run();
    std::array<char, 16> buffer{};
    asio::error_code ec;
    server.non_blocking(true);
    EXPECT_EQ(server.receive(asio::buffer(buffer), 0, ec), 4u);
}

}  // namespace
}  // namespace cottonway::test
