// Machines that reach no controller while commands reach them, and machines that hear nothing for good.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "late_messages.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

int starts_on(const Simulator& w, const std::string& machine) {
    return told_times(w, " starts on " + machine);
}

enum class Ends { Nobody, Holder, All };

/// A machine with a service and half of a long array reaches nobody, for less than a lease or more; the
/// holder ends a little later, or all do. Short work comes all the while, and there is room elsewhere.
TEST(Mute, WhatRunsThereGoesOnOrRunsElsewhereSoon) {
    for (const Ends ends : {Ends::Nobody, Ends::Holder, Ends::All})
        for (const Micros span : {3, 45}) {
            auto w = settled_simulator(51 + static_cast<std::uint64_t>(span), 4, patient());
            const auto story = [&] {
                return fmt::format("ends {} span {}\n", static_cast<int>(ends), span) +
                       w->format_history(200);
            };
            w->submit(w->make_job(1, JobKind::Service, 1, 2), 0);
            w->run(3 * kSecond);
            const std::string machine = *w->machines_running("req-000001").begin();
            const auto before = starts_on(*w, machine);
            w->block_reports_from(machine, true);
            const Micros from = w->now();
            w->schedule_at(from + 2 * kSecond, [&] {
                const int holder = w->owner_node();
                for (int i = 0; i < 3; ++i)
                    if (ends == Ends::All || (ends == Ends::Holder && i == holder))
                        w->crash(i, ends == Ends::All ? 400 * kMillisecond : 90 * kSecond);
            });
            for (int i = 0; i < 20; ++i)
                w->schedule_at(from + i * 2 * kSecond, [&, i] {
                    w->submit(w->make_job(10 + i, JobKind::Array, 1, 1), i % 4 ? kSecond : 25 * kSecond);
                });
            w->run(span * kSecond);
            if (span > 12) {
                EXPECT_EQ(w->machines_running("req-000001").count(machine), 0u) << story();
                EXPECT_EQ(w->running_tasks("req-000001"), 1) << story();
                // What was bound there before its silence was noticed, by each holder.
                EXPECT_LE(starts_on(*w, machine) - before, 6) << story();
            }
            w->block_reports_from(machine, false);
            w->run(std::max<Micros>(75 - span, 40) * kSecond);
            for (int i = 0; i < 20; ++i)
                EXPECT_EQ(w->reported_stage(w->make_job(10 + i, JobKind::Array, 1).ref), "done") << story();
            EXPECT_EQ(w->task_starts("req-000001"), span > 12 ? 2 : 1) << story();
            w->submit(w->make_job(2, JobKind::Array, 4, 5), 2 * kSecond);
            w->run(6 * kSecond);
            EXPECT_EQ(w->reported_stage("req-000002"), "done") << "it is used again\n" << story();
            EXPECT_NO_VIOLATIONS(*w);
        }
}

/// It answers every call, so that it seems well: its lease runs out all the same, again and again.
TEST(Mute, AnswersToCallsDoNotMakeItUsable) {
    auto w = settled_simulator(52, 3, patient());
    const std::string machine = w->machine_names().front();
    w->block_reports_from(machine, true);
    w->run(7 * kSecond);
    w->crash(w->owner_node(), 200 * kSecond);  // the next one calls it
    const auto before = starts_on(*w, machine);
    w->run(6 * kSecond);
    for (int i = 0; i < 30; ++i) {
        w->submit(w->make_job(1 + i, JobKind::Array, 1, 1), 8 * kSecond);
        w->run(kSecond);
    }
    // Only while the new holder may wait for its first report.
    EXPECT_LE(starts_on(*w, machine) - before, 3) << w->format_history(200);
    w->run(30 * kSecond);
    for (int i = 0; i < 30; ++i)
        EXPECT_EQ(w->reported_stage(w->make_job(1 + i, JobKind::Array, 1).ref), "done");
    EXPECT_NO_VIOLATIONS(*w);
}

/// One that the cloud lists and that answers calls, but has never reported.
TEST(Mute, ANewMachineThatNeverReportsIsLeftAloneAndReturned) {
    auto w = settled_simulator(53, 2, patient());
    const std::string machine = w->add_machine("small", "a");
    w->block_reports_from(machine, true);
    for (int i = 0; i < 30; ++i) {
        w->submit(w->make_job(1 + i, JobKind::Service, 1, 0.5), 0);
        w->run(kSecond);
    }
    EXPECT_LE(starts_on(*w, machine), 7) << w->format_history(200);
    w->run(25 * kSecond);
    for (int i = 0; i < 30; ++i) EXPECT_EQ(w->running_tasks(w->make_job(1 + i, JobKind::Service, 1).ref), 1);
    EXPECT_EQ(w->machines_running("req-000001").count(machine), 0u);
    w->run(110 * kSecond);
    EXPECT_EQ(w->worker(machine), nullptr) << "returned";
    EXPECT_NO_VIOLATIONS(*w);
}

/// A machine that has not reported, or not shown that it hears, for a lease and 90 s is returned, once
/// nothing can be on it.
TEST(Mute, WhatStaysDeafOrMuteIsReturnedOnceNothingCanBeOnIt) {
    for (const bool deaf : {false, true})
        for (const bool busy : {false, true}) {
            auto w = settled_simulator(54, 3, patient());
            const auto story = [&] {
                return fmt::format("deaf {} busy {}\n", deaf, busy) + w->format_history();
            };
            if (busy) w->submit(w->make_job(1, JobKind::Service, 1, 2), 0);
            w->run(3 * kSecond);
            const std::string machine =
                busy ? *w->machines_running("req-000001").begin() : w->machine_names().front();
            if (deaf)
                w->block_messages_to(machine, true);
            else
                w->block_reports_from(machine, true);
            // A task for it, so that somebody calls it.
            w->submit(w->make_job(2, JobKind::Array, 3, 5), 2 * kSecond);
            w->run(60 * kSecond);
            EXPECT_NE(w->worker(machine), nullptr) << "not for a spell\n" << story();
            w->run(w->settings.lease + 60 * kSecond);
            EXPECT_EQ(w->worker(machine), nullptr) << story();
            if (busy) {
                EXPECT_EQ(w->running_tasks("req-000001"), 1) << story();
            }
            EXPECT_EQ(w->reported_stage("req-000002"), "done") << story();
            EXPECT_NO_VIOLATIONS(*w);
        }
}

/// One whose tasks can't be proven gone, since a controller that may renew its lease does not answer, is
/// kept, however long: its deletion would end work that may be well.
TEST(Mute, WhatMayStillBeOnItKeepsIt) {
    auto w = settled_simulator(55, 2, patient());
    w->submit(w->make_job(1, JobKind::Service, 1, 2), 0);
    w->run(30 * kSecond);
    const std::string machine = *w->machines_running("req-000001").begin();
    const int holder = w->owner_node(), other = (holder + 1) % 3;
    for (int i = 0; i < 3; ++i)
        if (i != other) w->cut_link(host(i), machine);
    w->cut_link(host(holder), host(other));  // it keeps the machine's lease alive, and promises nothing
    w->run(150 * kSecond);
    EXPECT_EQ(w->machines_running("req-000001"), std::set{machine}) << w->format_history();
    EXPECT_EQ(w->task_starts("req-000001"), 1) << w->format_history();
    w->heal_all_links();
    w->run(10 * kSecond);
    EXPECT_EQ(w->task_starts("req-000001"), 1) << w->format_history();
    EXPECT_NE(w->worker(machine), nullptr);
    EXPECT_NO_VIOLATIONS(*w);
}

}  // namespace
}  // namespace cottonway::test
