// Every task of a cancelled job is gone in time, whichever way its stop has to go.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

struct Timing {
    Micros report_every;
    Micros lease;
    Micros cancel;
};

void PrintTo(const Timing& timing, std::ostream* out) {
    *out << "ReportEvery" << timing.report_every / kMillisecond << "ms";
}

class StopsWithoutDirectCalls : public testing::TestWithParam<Timing> {};

TEST_P(StopsWithoutDirectCalls, ReachWorkersInTheAnswersToTheirHeartbeats) {
    constexpr int kMachines = 16;
    constexpr int kReplicas = 4;
    Settings site = small_site();
    site.report_every = GetParam().report_every;
    site.lease = GetParam().lease;
    site.cancel = GetParam().cancel;
    Simulator w(7, site);
    for (int i = 0; i < kMachines; ++i) w.add_machine("small", i % 2 ? "b" : "a");
    w.start_nodes();
    w.run(2 * site.report_every + 6 * kSecond);
    for (int job = 1; job <= 3; ++job) w.submit(w.job(job, JobKind::Service, kReplicas, 2), 0);
    w.run(2 * site.report_every);
    ASSERT_EQ(w.running("req-000001") + w.running("req-000002") + w.running("req-000003"), 3 * kReplicas)
        << w.story();
    for (int node = 0; node < w.node_count(); ++node) w.exhaust_sockets(node, true);
    w.cancel("req-000001");
    w.run(kSecond);
    ASSERT_EQ(w.told("req-000001"), "cancelled") << w.story();
    // An answer to each worker's next heartbeat is enough.
    w.run(site.report_every * 5 / 4 + kSecond);
    EXPECT_EQ(w.running("req-000001"), 0) << w.story();
    w.cancel("req-000002");
    w.run(site.cancel + 5 * kSecond);
    EXPECT_EQ(w.running("req-000003"), kReplicas) << w.story();
    EXPECT_RULES(w);
}

INSTANTIATE_TEST_SUITE_P(Timings, StopsWithoutDirectCalls,
                         testing::Values(Timing{8 * kSecond, 36 * kSecond, 56 * kSecond},
                                         Timing{5 * kSecond, 26'500 * kMillisecond, 56'500 * kMillisecond},
                                         Timing{1'500 * kMillisecond, 10 * kSecond, 40 * kSecond}),
                         testing::PrintToStringParamName());

/// How the holder of a job with several stored parts ends around the job's cancellation.
struct Takeover {
    const char* name;
    Micros cancelled_after_end;
};

void PrintTo(const Takeover& takeover, std::ostream* out) {
    *out << takeover.name;
}

class CancelledJobWithSeveralParts : public testing::TestWithParam<Takeover> {};

TEST_P(CancelledJobWithSeveralParts, IsStoppedWholeByTheNextHolder) {
    constexpr int kTasks = 200;
    auto w = settled_simulator(3, 6);
    w->submit(w->job(1, JobKind::Service, kTasks, 0.1), 0);
    w->run(8 * kSecond);
    const int holder = w->holder();
    const std::size_t part_tasks = w->owner_at(holder)->jobs().at("req-000001")->part_tasks;
    ASSERT_GT(static_cast<std::size_t>(w->running("req-000001")), part_tasks) << w->story();
    // What the former holder sends after the cancellation does not arrive.
    for (const auto& machine : w->machine_names()) w->cut(host(holder), machine);
    w->at(w->now() + kSecond, [&w, holder] { w->crash(holder, 20 * kSecond); });
    w->at(w->now() + kSecond + GetParam().cancelled_after_end, [&w] { w->cancel("req-000001"); });
    w->run(10 * kSecond);
    EXPECT_EQ(w->told("req-000001"), "cancelled") << w->story();
    w->run(w->settings.cancel + 5 * kSecond);
    EXPECT_EQ(w->running("req-000001"), 0) << w->story();
    EXPECT_RULES(*w);
}

INSTANTIATE_TEST_SUITE_P(Takeovers, CancelledJobWithSeveralParts,
                         testing::Values(Takeover{"CancelledBeforeTheEnd", -500 * kMillisecond},
                                         Takeover{"CancelledBeforeTheTakeover", 100 * kMillisecond},
                                         Takeover{"CancelledDuringTheTakeover", 1'500 * kMillisecond},
                                         Takeover{"CancelledAfterTheTakeover", 6 * kSecond}),
                         testing::PrintToStringParamName());

}  // namespace
}  // namespace cottonway::test
