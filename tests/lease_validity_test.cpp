// What a controller that hears nothing of the store may still do, and until when: every task of a cancelled
// job is gone `cancel` after the answer that confirmed it, whoever is refused, cut off or down meanwhile. The
// argument, step by step, is in docs/design.md, "Gone in time".

#include "config/lease_validity.hpp"

#include <gtest/gtest.h>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

/// Three controllers and some machines of zone a, settled.
std::unique_ptr<Simulator> one_zone(std::uint64_t seed, int machines) {
    auto w = std::make_unique<Simulator>(seed);
    for (int i = 0; i < machines; ++i) w->add_machine("small", "a");
    w->start_nodes();
    w->run(6 * kSecond);
    EXPECT_GE(w->owner_node(), 0);
    return w;
}

/// Its user cancels the job and is told so by a controller other than this one.
void cancel_beside(Simulator& w, int node, const std::string& ref) {
    w.cut_link("users", host(node));
    w.cancel(ref);
    w.request((node + 1) % 3, "POST", "/v1/jobs/" + ref + "/abort", Json::object());
    for (int i = 0; i < 600 && w.reported_stage(ref) != "cancelled"; ++i) w.run(10 * kMillisecond);
    ASSERT_EQ(w.reported_stage(ref), "cancelled") << w.format_history();
}

TEST(Authority, EndsALeaseBeforeACancellationIsDue) {
    // For any times that an operator may set; where they leave no room, that is told.
    Settings s = small_cluster_settings();
    for (s.lease = 5 * kSecond; s.lease < 60 * kSecond; s.lease += 700 * kMillisecond)
        for (s.cancel = s.lease; s.cancel < s.lease + 20 * kSecond; s.cancel += 300 * kMillisecond) {
            const bool fits = authority(s) + with_drift(s.lease) <= s.cancel;
            if (cancels_in_time(s))
                EXPECT_TRUE(fits) << s.lease << " " << s.cancel;
            else
                EXPECT_LT(s.cancel, s.lease + s.lease / 500 + 5 * kSecond);
            EXPECT_TRUE(has_valid_lease(authority(s) - 1, s));
            EXPECT_FALSE(has_valid_lease(authority(s), s));
        }
}

TEST(Authority, NothingIsLaunchedIntoASessionThatBeganAfterIt) {
    // A holder cut from the store and the other controllers can't learn whether the lease of a machine that
    // hangs is over, so it keeps the task that it bound there. When the machine goes on, the answer to a call
    // tells of a new session, and the launch, which was not executed, would be sent again: long after the job
    // was cancelled.
    auto w = one_zone(1, 1);
    const int holder = w->owner_node();
    const std::string machine = w->machine_names().front();
    w->set_hung(machine, true);
    w->submit(w->make_job(1, JobKind::Array, 1), 100 * kSecond, 0);
    w->run(kSecond);
    ASSERT_EQ(w->reported_stage("req-000001"), "accepted") << w->format_history();
    w->isolate_controller(holder, true);
    for (int i = 0; i < 3; ++i)
        if (i != holder) w->cut_link(host(i), machine);
    cancel_beside(*w, holder, "req-000001");
    w->run(w->settings.cancel + 2 * kSecond);
    w->set_hung(machine, false);
    w->run(10 * kSecond);
    EXPECT_GT(w->worker(machine)->session(), 1U);
    EXPECT_EQ(w->task_starts("req-000001"), 0) << w->format_history();
    w->heal_all_links();
    w->run(20 * kSecond);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Authority, ACancellationHoldsWhateverOfTheRecordIsBeingWritten) {
    // The look that tells of it renews the authority. Kept for when the write under way is answered, it would
    // be unheard of by then: without an answer, and with the store out of reach, that takes for ever.
    auto w = one_zone(2, 1);
    const int holder = w->owner_node();
    w->submit(w->make_job(1, JobKind::Array, 1, 4), 4 * kSecond, 0);
    w->run(kSecond);
    w->submit(w->make_job(2, JobKind::Array, 2, 4), 100 * kSecond, 0);
    w->run(kSecond);
    ASSERT_EQ(w->running_tasks("req-000002"), 1) << w->format_history();
    w->delayed_write_rate = 1;  // from now on, and so the bind of what finds room once the first job is done
    while (w->running_tasks("req-000001") > 0) w->run(10 * kMillisecond);
    w->run(700 * kMillisecond);
    w->delayed_write_rate = 0;
    cancel_beside(*w, holder, "req-000002");
    w->run(800 * kMillisecond);
    EXPECT_EQ(w->running_tasks("req-000002"), 0) << "stopped before the write is given up\n"
                                                 << w->format_history();
    w->heal_all_links();
    w->run(20 * kSecond);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Authority, AHolderThatHasNotReadEverythingStopsWhatIsOver) {
    // Between taking a shard and knowing all of it a holder answers reports, so that no lease runs out. An
    // outage may begin in that moment: then it renewed the leases of cancelled jobs, without a stop, by looks
    // of its own.
    auto w = one_zone(3, 2);
    const int old = w->owner_node();
    const std::string shard = w->owner_at(old)->shard();
    w->submit(w->make_job(1, JobKind::Service, 2), 0);
    w->run(3 * kSecond);
    ASSERT_EQ(w->running_tasks("req-000001"), 2);
    w->refuse_state_requests(old, true);
    cancel_beside(*w, old, "req-000001");
    ASSERT_EQ(w->running_tasks("req-000001"), 2) << "the old holder does not know";
    auto taken = [&] {
        for (int i = 0; i < 3; ++i)
            if (const ShardOwner* o = w->node(i)->owner(shard); i != old && o && !o->active()) return true;
        return false;
    };
    for (int i = 0; i < 10'000 && !taken(); ++i) w->run(kMillisecond);
    ASSERT_TRUE(taken()) << w->format_history();
    w->state().set_down(true, w->now());
    w->run(9 * kSecond);
    EXPECT_EQ(w->running_tasks("req-000001"), 0) << w->format_history();
    w->run(30 * kSecond);
    w->state().set_down(false, w->now());
    w->refuse_state_requests(old, false);
    w->heal_all_links();
    w->run(10 * kSecond);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Authority, ALaunchOfACancelledJobIsOutdatedThoughItsMachineIsNotHeard) {
    // Another controller keeps the machine's session alive on the holder's behalf, and the two don't reach
    // each other. The holder's launch is held up on its way; only a higher token, which the other hears of
    // from the store, keeps it from starting the task once it arrives.
    auto w = one_zone(4, 1);
    w->submit(w->make_job(2, JobKind::Service, 1), 0);  // keeps the machine from being returned
    w->run(30 * kSecond);                               // a controller renews no lease for others before
    const int holder = w->owner_node();
    const std::string machine = w->machine_names().front();
    w->hold_next_message(host(holder), machine);
    w->submit(w->make_job(1, JobKind::Array, 1), 100 * kSecond, 0);
    for (int i = 0; i < 300 && w->reported_stage("req-000001") != "accepted"; ++i) w->run(10 * kMillisecond);
    w->run(100 * kMillisecond);
    w->cut_link(host(holder), machine);
    for (int i = 0; i < 3; ++i)
        if (i != holder) w->cut_link(host(holder), host(i));
    cancel_beside(*w, holder, "req-000001");
    w->run(w->settings.cancel + 2 * kSecond);
    ASSERT_EQ(w->worker(machine)->session(), 1U) << "kept alive\n" << w->format_history();
    w->release_held_messages();
    w->run(5 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 0) << w->format_history();
    w->heal_all_links();
    w->run(20 * kSecond);
    EXPECT_NO_VIOLATIONS(*w);
}

TEST(Authority, AHolderThatIsCutOffAnswersNoUserAndItsWorkersFindTheNewOne) {
    auto w = one_zone(5, 4);
    const int old = w->owner_node();
    w->submit(w->make_job(1, JobKind::Service, 2), 0);
    w->submit(w->make_job(2, JobKind::Array, 2), 60 * kSecond, 0);
    w->run(4 * kSecond);
    w->isolate_controller(old, true);
    cancel_beside(*w, old, "req-000002");
    const auto submission = wire::job_value(w->make_job(1, JobKind::Service, 2));
    EXPECT_EQ(w->request(old, "GET", "/v1/jobs/req-000001", Json::object()).status, 503);
    EXPECT_EQ(w->request(old, "GET", "/v1/jobs/req-000002", Json::object()).status, 503);
    EXPECT_EQ(w->request(old, "GET", "/v1/jobs/req-000999", Json::object()).status, 503);
    EXPECT_EQ(w->request(old, "POST", "/v1/jobs/req-000001/abort", Json::object()).status, 503);
    EXPECT_EQ(w->request(old, "POST", "/v1/jobs", submission).status, 503) << "a repeat";
    EXPECT_EQ(w->request(old, "POST", "/v1/jobs", wire::job_value(w->make_job(3, JobKind::Array, 1))).status,
              503);
    w->run(20 * kSecond);  // beyond its authority
    EXPECT_EQ(w->running_tasks("req-000002"), 0) << w->format_history();
    EXPECT_EQ(w->running_tasks("req-000001"), 2);
    EXPECT_EQ(w->task_starts("req-000001"), 2) << "nothing was started again\n" << w->format_history();
    w->heal_link("users", host(old));
    w->submit(w->make_job(4, JobKind::Array, 4), 2 * kSecond, 0);
    w->run(15 * kSecond);
    EXPECT_EQ(w->reported_stage("req-000004"), "done") << w->format_history();
    w->heal_all_links();
    w->run(20 * kSecond);
    EXPECT_NO_VIOLATIONS(*w);
}

}  // namespace
}  // namespace cottonway::test
