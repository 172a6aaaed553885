// Machines that reach no controller while commands reach them, and machines that hear nothing for good.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "config/lease_validity.hpp"
#include "late_messages.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

int starts_on(const Simulator& simulator, const std::string& machine) {
    return told_times(simulator, " starts on " + machine);
}

enum class Ends { Nobody, Holder, All };

/// A machine with a service and half of a long array reaches nobody, for less than a lease or more; the
/// holder ends a little later, or all do. Short work comes all the while, and there is room elsewhere.
TEST(Mute, WhatRunsThereGoesOnOrRunsElsewhereSoon) {
    for (const Ends ends : {Ends::Nobody, Ends::Holder, Ends::All})
        for (const Micros span : {3, 45}) {
            auto simulator = settled_simulator(51 + static_cast<std::uint64_t>(span), 4, patient());
            const auto story = [&] {
                return fmt::format("ends {} span {}\n", static_cast<int>(ends), span) + simulator->story(200);
            };
            simulator->submit(simulator->job(1, JobKind::Service, 1, 2), 0);
            simulator->run(3 * kSecond);
            const std::string machine = *simulator->machines_of("req-000001").begin();
            const auto before = starts_on(*simulator, machine);
            simulator->mute(machine, true);
            const Micros from = simulator->now();
            simulator->at(from + 2 * kSecond, [&] {
                const int holder = simulator->holder();
                for (int i = 0; i < 3; ++i)
                    if (ends == Ends::All || (ends == Ends::Holder && i == holder))
                        simulator->crash(i, ends == Ends::All ? 400 * kMillisecond : 90 * kSecond);
            });
            for (int i = 0; i < 20; ++i)
                simulator->at(from + i * 2 * kSecond, [&, i] {
                    simulator->submit(simulator->job(10 + i, JobKind::Array, 1, 1), i % 4 ? kSecond : 25 * kSecond);
                });
            simulator->run(span * kSecond);
            if (span > 12) {
                EXPECT_EQ(simulator->machines_of("req-000001").count(machine), 0u) << story();
                EXPECT_EQ(simulator->running("req-000001"), 1) << story();
                // What was bound there before its silence was noticed, by each holder.
                EXPECT_LE(starts_on(*simulator, machine) - before, 6) << story();
            }
            simulator->mute(machine, false);
            simulator->run(std::max<Micros>(75 - span, 40) * kSecond);
            for (int i = 0; i < 20; ++i)
                EXPECT_EQ(simulator->told(simulator->job(10 + i, JobKind::Array, 1).ref), "done") << story();
            EXPECT_EQ(simulator->starts("req-000001"), span > 12 ? 2 : 1) << story();
            simulator->submit(simulator->job(2, JobKind::Array, 4, 5), 2 * kSecond);
            simulator->run(6 * kSecond);
            EXPECT_EQ(simulator->told("req-000002"), "done") << "it is used again\n" << story();
            EXPECT_RULES(*simulator);
        }
}

/// It answers every call, so that it seems well: its lease runs out all the same, again and again.
TEST(Mute, AnswersToCallsDoNotMakeItUsable) {
    auto simulator = settled_simulator(52, 3, patient());
    const std::string machine = simulator->machine_names().front();
    simulator->mute(machine, true);
    simulator->run(7 * kSecond);
    simulator->crash(simulator->holder(), 200 * kSecond);  // the next one calls it
    const auto before = starts_on(*simulator, machine);
    simulator->run(6 * kSecond);
    for (int i = 0; i < 30; ++i) {
        simulator->submit(simulator->job(1 + i, JobKind::Array, 1, 1), 8 * kSecond);
        simulator->run(kSecond);
    }
    // Only while the new holder may wait for its first report.
    EXPECT_LE(starts_on(*simulator, machine) - before, 3) << simulator->story(200);
    simulator->run(30 * kSecond);
    for (int i = 0; i < 30; ++i) EXPECT_EQ(simulator->told(simulator->job(1 + i, JobKind::Array, 1).ref), "done");
    EXPECT_RULES(*simulator);
}

/// One that the cloud lists and that answers calls, but has never reported.
TEST(Mute, ANewMachineThatNeverReportsIsLeftAloneAndReturned) {
    auto simulator = settled_simulator(53, 2, patient());
    const std::string machine = simulator->add_machine("small", "a");
    simulator->mute(machine, true);
    for (int i = 0; i < 30; ++i) {
        simulator->submit(simulator->job(1 + i, JobKind::Service, 1, 0.5), 0);
        simulator->run(kSecond);
    }
    EXPECT_LE(starts_on(*simulator, machine), 7) << simulator->story(200);
    simulator->run(25 * kSecond);
    for (int i = 0; i < 30; ++i) EXPECT_EQ(simulator->running(simulator->job(1 + i, JobKind::Service, 1).ref), 1);
    EXPECT_EQ(simulator->machines_of("req-000001").count(machine), 0u);
    simulator->run(110 * kSecond);
    EXPECT_EQ(simulator->worker(machine), nullptr) << "returned";
    EXPECT_RULES(*simulator);
}

/// A machine that has not reported, or not shown that it hears, for a lease and 90 s is returned, once
/// nothing can be on it.
TEST(Mute, WhatStaysDeafOrMuteIsReturnedOnceNothingCanBeOnIt) {
    for (const bool deaf : {false, true})
        for (const bool busy : {false, true}) {
            auto simulator = settled_simulator(54, 3, patient());
            const auto story = [&] { return fmt::format("deaf {} busy {}\n", deaf, busy) + simulator->story(); };
            if (busy) simulator->submit(simulator->job(1, JobKind::Service, 1, 2), 0);
            simulator->run(3 * kSecond);
            const std::string machine =
                busy ? *simulator->machines_of("req-000001").begin() : simulator->machine_names().front();
            if (deaf)
                simulator->deafen(machine, true);
            else
                simulator->mute(machine, true);
            // A task for it, so that somebody calls it.
            simulator->submit(simulator->job(2, JobKind::Array, 3, 5), 2 * kSecond);
            simulator->run(60 * kSecond);
            EXPECT_NE(simulator->worker(machine), nullptr) << "not for a spell\n" << story();
            simulator->run(simulator->settings.lease + 60 * kSecond);
            EXPECT_EQ(simulator->worker(machine), nullptr) << story();
            if (busy) {
                EXPECT_EQ(simulator->running("req-000001"), 1) << story();
            }
            EXPECT_EQ(simulator->told("req-000002"), "done") << story();
            EXPECT_RULES(*simulator);
        }
}

/// One whose tasks can't be proven gone, since a controller that may renew its lease does not answer, is
/// kept, however long: its deletion would end work that may be well.
TEST(Mute, WhatMayStillBeOnItKeepsIt) {
    auto simulator = settled_simulator(55, 2, patient());
    simulator->submit(simulator->job(1, JobKind::Service, 1, 2), 0);
    simulator->run(30 * kSecond);
    const std::string machine = *simulator->machines_of("req-000001").begin();
    const int holder = simulator->holder(), other = (holder + 1) % 3;
    for (int i = 0; i < 3; ++i)
        if (i != other) simulator->cut(host(i), machine);
    simulator->cut(host(holder), host(other));  // it keeps the machine's lease alive, and promises nothing
    simulator->run(150 * kSecond);
    EXPECT_EQ(simulator->machines_of("req-000001"), std::set{machine}) << simulator->story();
    EXPECT_EQ(simulator->starts("req-000001"), 1) << simulator->story();
    simulator->heal_all();
    simulator->run(10 * kSecond);
    EXPECT_EQ(simulator->starts("req-000001"), 1) << simulator->story();
    EXPECT_NE(simulator->worker(machine), nullptr);
    EXPECT_RULES(*simulator);
}

}  // namespace
}  // namespace cottonway::test
