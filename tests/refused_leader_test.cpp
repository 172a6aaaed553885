// The state service answers slowly, or refuses the leader alone and then everybody for longer than
// `cancel_s`, while users cancel and ask: jobs that others need, gangs half started, admissions under way,
// jobs that end at that moment.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

constexpr int kLong = 10, kService = 11, kGang = 12, kNeeded = 13, kWaits = 14, kEnds = 15, kAdmitted = 16;

std::string ref(int number) {
    return "req-0000" + std::to_string(number);
}

/// Relative to the moment at which the leader alone is refused.
struct Row {
    const char* name;
    Micros cancelled;        // when users call off all that they call off
    Micros out = kSecond;    // when the service is out for everybody
    Micros slow = 0;         // its answers, from two seconds before
    Micros hang = 0;         // of the machines of what is called off
    bool to_leader = false;  // users reach only the leader
};

void PrintTo(const Row& row, std::ostream* out) {
    *out << row.name;
}

const std::vector<Row> kRows{
    {"just before", -30 * kMillisecond},
    {"just before, slow answers", -600 * kMillisecond, kSecond, 900 * kMillisecond},
    {"at that moment", 0},
    {"at that moment, hung machines", 0, kSecond, 0, 20 * kSecond},
    {"at that moment, through the leader", 0, kSecond, 0, 0, true},
    {"in between", 500 * kMillisecond},
    {"in between, slow answers", 500 * kMillisecond, 3 * kSecond, 900 * kMillisecond, 8 * kSecond},
    {"as the service goes", 990 * kMillisecond},
    {"while it is out", 10 * kSecond},
    {"with a new leader", 8 * kSecond, 9 * kSecond},
    {"with a new leader that is reading, slow answers", 6 * kSecond, 7 * kSecond, 500 * kMillisecond},
};

class RefusedLeader : public testing::TestWithParam<Row> {};

TEST_P(RefusedLeader, EndsNoJobLateAndForgetsNone) {
    const Row& row = GetParam();
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        Settings site = small_cluster_settings();
        if (seed == 2) site.cpu_share = 0.001;  // several shards
        auto w = settled_simulator(seed, 5, site);
        const int leader = w->leader_node();
        w->poll_frequency_factor = 4;
        w->submit(w->make_job(kLong, JobKind::Array, 4), 90 * kSecond);
        w->submit(w->make_job(kService, JobKind::Service, 3), 0);
        w->submit(w->make_job(kNeeded, JobKind::Array, 2), 60 * kSecond);
        w->run(kSecond);
        JobSpec waits = w->make_job(kWaits, JobKind::Array, 2);
        waits.needs = {ref(kNeeded)};
        w->submit(waits, 2 * kSecond);
        w->run(2 * kSecond);
        const Micros moment = w->now() + 4 * kSecond;
        w->schedule_at(moment - 2 * kSecond, [&] { w->max_state_answer_delay = row.slow; });
        // Ends, starts and admissions on their way at that moment.
        w->schedule_at(moment - 3 * kSecond,
                       [&] { w->submit(w->make_job(kEnds, JobKind::Array, 3), 2700 * kMillisecond, 0); });
        w->schedule_at(moment - 300 * kMillisecond, [&] {
            JobSpec gang = w->make_job(kGang, JobKind::Gang, 3, 2);
            w->submit(gang, 60 * kSecond, kSecond);
        });
        w->schedule_at(moment - 10 * kMillisecond,
                       [&] { w->submit(w->make_job(kAdmitted, JobKind::Array, 2), 5 * kSecond); });
        w->schedule_at(moment, [&] { w->refuse_state_requests(leader, true); });
        w->schedule_at(moment + row.out, [&] { w->state().set_down(true, w->now()); });
        w->schedule_at(moment + row.cancelled, [&] {
            for (int i = 0; row.to_leader && i < 3; ++i)
                if (i != leader) w->cut_link("users", host(i));
            int n = 0;
            for (const int job : {kLong, kService, kGang, kNeeded, kEnds, kAdmitted}) {
                if (row.hang > 0)
                    for (const auto& m : w->machines_running(ref(job))) {
                        if (++n % 2) continue;
                        w->set_hung(m, true);
                        w->schedule_at(w->now() + row.hang, [&, m] { w->set_hung(m, false); });
                    }
                w->cancel(ref(job));
            }
        });
        w->run(4 * kSecond + row.out + w->settings.cancel + 15 * kSecond);
        w->state().set_down(false, w->now());
        w->refuse_state_requests(leader, false);
        w->heal_all_links();
        w->max_state_answer_delay = 0;
        w->run(5 * kSecond);
        w->submit(w->make_job(20, JobKind::Array, 8), 3 * kSecond);
        w->run(w->settings.cancel + 40 * kSecond);
        EXPECT_NO_VIOLATIONS(*w);
        for (const auto& job : w->job_refs()) {
            EXPECT_TRUE(w->reported_stage(job) == "done" || w->reported_stage(job) == "cancelled")
                << job << " is " << w->reported_stage(job) << ", seed " << seed << "\n"
                << w->format_history();
            EXPECT_EQ(w->running_tasks(job), 0) << job;
        }
        EXPECT_EQ(w->reported_stage(ref(kLong)), "cancelled");
        EXPECT_EQ(w->reported_stage(ref(kWaits)), "cancelled") << "with what it needs";
        EXPECT_EQ(w->reported_stage(ref(20)), "done") << "what is freed is used again\n"
                                                      << w->format_history();
    }
}

INSTANTIATE_TEST_SUITE_P(Moments, RefusedLeader, testing::ValuesIn(kRows), [](const auto& row) {
    std::string name = row.param.name;
    std::erase_if(name, [](char c) { return !std::isalnum(static_cast<unsigned char>(c)); });
    return name;
});

}  // namespace
}  // namespace cottonway::test
