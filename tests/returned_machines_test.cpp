// Machines that are gone stay gone, however many others were returned.

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

/// So many newer machines that never come up, until the leader has returned them all.
void return_newer_machines(Simulator& w, int count) {
    for (int i = 0; i < count; ++i) {
        const std::string name = w.cloud().rent_one("small", "a", false, w.now(), 3'600 * kSecond);
        w.cloud().machines().at(name).info.state = CloudState::Failed;
    }
    const auto there = [&] { return w.cloud().machines().size(); };
    const std::size_t others = there() - static_cast<std::size_t>(count);
    for (int i = 0; i < 3'000 && there() > others; ++i) w.run(100 * kMillisecond);
    ASSERT_EQ(there(), others) << w.format_history();
}

// A machine that was older than the 10,000 returned before it was leased again by a list that was late.
TEST(ReturnedMachines, AreNotLeasedAgainAfterManyNewerOnes) {
    constexpr int kRemembered = 10'000;
    constexpr Micros kLag = 5 * kSecond;
    for (const int newer : {kRemembered - 1, kRemembered, kRemembered + 1}) {
        Settings site = small_cluster_settings();
        site.list_lag = kLag;
        auto w = settled_simulator(5, 4, site);
        w->submit(w->make_job(1, JobKind::Service, 12, 2), 0);  // keeps them from being returned
        w->run(5 * kSecond);
        const std::string old = *w->machines_running("req-000001").begin();
        return_newer_machines(*w, newer);
        ASSERT_EQ(block_listings(*w)[old], 1);
        w->cloud().list_lag = kLag;
        w->run(2 * kLag);
        w->cancel("req-000001");  // so that it is idle
        for (int i = 0; i < 600 && block_listings(*w)[old] > 0; ++i) w->run(100 * kMillisecond);
        ASSERT_EQ(block_listings(*w)[old], 0) << w->format_history();
        for (Micros late = 0; late < 3 * kLag; late += 100 * kMillisecond) {
            w->run(100 * kMillisecond);
            ASSERT_EQ(block_listings(*w)[old], 0) << newer << " newer ones were returned before\n"
                                                  << w->format_history();
        }
        EXPECT_NO_VIOLATIONS(*w);
    }
}

}  // namespace
}  // namespace cottonway::test
