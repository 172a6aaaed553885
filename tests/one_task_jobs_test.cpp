// Many small jobs, and more work than room: at a tenth of the size of examples/lab/one-task-jobs.toml and
// more-than-room.toml, with the same budget of changes a job, which the state service enforces.

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "simulation/simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr double kWriteRps = 25;

std::uint64_t changes(Simulator& w) {
    std::uint64_t n = 0;
    for (int i = 0; i < w.node_count(); ++i)
        if (w.node(i))
            for (const auto& [purpose, sent] : w.node(i)->store().sent()) n += sent;
    return n;
}

/// One-task jobs of 8 s, so many a second for a minute, a quarter of which their users call off.
class OneTaskJobs : public testing::TestWithParam<std::tuple<double, bool>> {};

TEST_P(OneTaskJobs, AreAnsweredRunAndLeaveNoBacklog) {
    const auto [rate, ends] = GetParam();
    Settings s = small_cluster_settings();
    s.teams = {{"red", {288'000, 0, 0}, {kNoLimit, kNoLimit, 0}}};
    s.cpu_share = 0.02;  // several shards
    s.state_write_rps = s.next_write_rps = kWriteRps;
    Simulator w(7, s, {{"wren", {4'000, 0, 32'000}, 50'000, 1, 1, 1, 10 * kSecond, {"a", "b"}}});
    for (int i = 0; i < 72; ++i) w.add_machine("wren", i % 2 ? "a" : "b");
    w.cloud().capacity = 200;
    w.start_nodes(5);
    w.state().limits.write_rps = kWriteRps;
    w.run(10 * kSecond);
    const Micros start = w.now();
    const auto before = changes(w);
    std::map<std::string, Micros> sent;
    std::vector<int> waiting;  // every ten seconds
    const int jobs = static_cast<int>(rate * 60);
    for (int i = 0; i < jobs; ++i)
        w.schedule_at(start + static_cast<Micros>(i / rate * 1e6), [&, i] {
            JobSpec job = w.make_job(i + 1, JobKind::Array, 1, 4);
            job.estimate = 8 * kSecond;
            sent[job.ref] = w.now();
            w.submit(job, 8 * kSecond);
            if (i % 4 == 0)
                w.schedule_at(w.now() + static_cast<Micros>(w.random() % 8'000) * kMillisecond,
                              [&w, ref = job.ref] { w.cancel(ref); });
        });
    if (ends) w.schedule_at(start + 25 * kSecond, [&w] { w.crash(w.busiest_node(), 3 * kSecond); });
    for (int i = 1; i <= 6; ++i)
        w.schedule_at(start + i * 10 * kSecond, [&] {
            const auto fates = w.job_outcomes();
            waiting.push_back(
                static_cast<int>(std::count_if(fates.begin(), fates.end(), [](const JobOutcome& f) {
                    return f.first_started_at < 0 && !f.excluded;
                })));
        });
    w.run(61 * kSecond);
    const double each = static_cast<double>(changes(w) - before) / jobs;
    w.mark_faults_over();
    w.run(40 * kSecond);
    EXPECT_TRUE(w.violations.empty()) << w.violations.front() << w.format_history();
    Micros accept = 0, begin = 0;
    for (const JobOutcome& f : w.job_outcomes()) {
        accept = std::max(accept, f.accepted_at - sent.at(f.spec.ref));
        if (f.excluded) continue;
        EXPECT_GE(f.completed_at, 0) << f.spec.ref;
        begin = std::max(begin, f.first_started_at - f.accepted_at);
    }
    EXPECT_EQ(w.job_outcomes().size(), static_cast<std::size_t>(jobs));
    EXPECT_LT(accept, 5 * kSecond);
    EXPECT_LT(begin, 9 * kSecond);
    EXPECT_LT(each * rate, kWriteRps);
    EXPECT_LE(waiting.back(), waiting[2]);  // no backlog that grows
    std::string backlog;
    for (const int n : waiting) backlog += " " + std::to_string(n);
    std::printf(
        "%.1f jobs a second%s: %.2f changes a job, accepted within %.1f s, begun within %.1f s, waiting%s\n",
        rate, ends ? ", an end" : "", each, static_cast<double>(accept) / 1e6,
        static_cast<double>(begin) / 1e6, backlog.c_str());
    for (int i = 0; i < w.node_count(); ++i)
        if (w.node(i) && std::getenv("WORLD_CHANGES"))
            for (const auto& [purpose, n] : w.node(i)->store().sent())
                std::printf("  loom-%d %s %d\n", i, purpose.c_str(), static_cast<int>(n));
}

INSTANTIATE_TEST_SUITE_P(Rates, OneTaskJobs, testing::Combine(testing::Values(4.0, 6.0), testing::Bool()));

/// Half as much work again as there is room for, for two hundred seconds, urgent and not, of two teams, with
/// messages that take up to 0.15 s and a leader that ends in between.
TEST(MoreThanRoom, NobodyIsForgottenAndHalfOfEachIsServed) {
    Settings s = small_cluster_settings();
    s.teams = {{"red", {32'000, 0, 0}, {kNoLimit, kNoLimit, 0}}, {"blue", {32'000, 0, 0}, {48'000, 0, 0}}};
    s.cpu_share = 0.02;
    s.state_write_rps = s.next_write_rps = kWriteRps;
    Simulator w(3, s);
    w.max_extra_link_delay = 150 * kMillisecond;
    for (int i = 0; i < 8; ++i) w.add_machine("small", i % 2 ? "a" : "b");
    w.start_nodes(3);
    w.state().limits.write_rps = kWriteRps;
    w.run(10 * kSecond);
    struct Kind {
        const char* name;
        PriorityClass rank;
        int tasks;
        double cores;
        Micros run, every;
    };
    const Micros start = w.now(), span = 200 * kSecond;
    int number = 0;
    for (const Kind& k : {Kind{"urgent", PriorityClass::High, 2, 2, 8 * kSecond, kSecond},
                          Kind{"batch", PriorityClass::Normal, 4, 2, 10 * kSecond, 2 * kSecond},
                          Kind{"large", PriorityClass::Normal, 12, 2, 10 * kSecond, 15 * kSecond},
                          Kind{"idle", PriorityClass::Low, 6, 1, 6 * kSecond, 6 * kSecond}})
        for (Micros t = 0; t < span; t += k.every)
            w.schedule_at(start + t, [&w, k, n = ++number] {
                JobSpec job = w.make_job(n, JobKind::Array, k.tasks, k.cores);
                job.job_class = k.name;
                job.team = n % 2 ? "red" : "blue";
                job.rank = k.rank;
                job.estimate = k.run;
                w.submit(job, k.run);
            });
    w.schedule_at(start + 100 * kSecond, [&w] { w.crash(w.leader_node(), 2 * kSecond); });
    w.run(span);
    w.mark_faults_over();
    w.run(270 * kSecond);
    EXPECT_TRUE(w.violations.empty()) << w.violations.front() << w.format_history();
    const AcceptanceResult a = evaluate_acceptance(w.job_outcomes(), w.settings.teams, w.now());
    for (const auto& line : a.violations) ADD_FAILURE() << line;
    for (const char* name : {"urgent", "batch", "large", "idle"})
        std::printf("%s: %d of %d served, a largest waited %.1f s\n", name, a.served_by_class.at(name).served,
                    a.served_by_class.at(name).due,
                    static_cast<double>(a.longest_wait_of_largest.at(name)) / 1e6);
}

}  // namespace
}  // namespace cottonway::test
