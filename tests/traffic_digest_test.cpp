// Pins what controllers send and answer, byte for byte, on a few seeds with faults. A change that only moves
// or renames code leaves these digests as they are; one that is meant to change behaviour replaces them and
// says in its commit what has changed.

#include <gtest/gtest.h>

#include <boost/uuid/detail/sha1.hpp>

#include "settled_simulator.hpp"

namespace cottonway::test {

using namespace simulation;
namespace {

class TrafficDigest {
  public:
    void add(const std::string& text) {
        sha1_.process_bytes(text.data(), text.size());
        sha1_.process_byte('\n');
        ++lines_;
    }
    std::size_t lines() const { return lines_; }
    std::string hex() {
        boost::uuids::detail::sha1::digest_type words;
        sha1_.get_digest(words);
        char text[41];
        std::snprintf(text, sizeof text, "%08x%08x%08x%08x%08x", words[0], words[1], words[2], words[3],
                      words[4]);
        return text;
    }

  private:
    boost::uuids::detail::sha1 sha1_;
    std::size_t lines_ = 0;
};

struct Expected {
    int seed;
    const char* digest;
};

/// Submits jobs of every kind and priority class, of teams with and without a limit.
void submit_jobs(Simulator& simulator, int count) {
    for (int i = 1; i <= count; ++i)
        simulator.schedule_at((5 + i) * kSecond, [&simulator, i] {
            const JobKind kind = i % 5 == 0 ? JobKind::Service : i % 4 == 0 ? JobKind::Gang : JobKind::Array;
            JobSpec job = simulator.make_job(i, kind, 1 + i % 4, 1 + i % 3);
            job.team = i % 6 == 0 ? "guests" : i % 3 == 0 ? "blue" : "red";
            job.priority_class = static_cast<PriorityClass>(i % 4);
            job.spot = kind != JobKind::Service;
            job.spread = kind == JobKind::Service;
            job.one_zone = kind == JobKind::Gang;
            if (i % 7 == 0) job.checkpoint_interval = 3 * kSecond, job.save_duration = kSecond;
            if (i % 9 == 0) job.dependencies.push_back(simulator.make_job(i - 1, JobKind::Array, 1).ref);
            simulator.submit(job, (3 + i % 9) * kSecond, 500 * kMillisecond, i % 11 == 0);
            if (i % 8 == 0)
                simulator.schedule_at(simulator.now() + 6 * kSecond,
                                      [&simulator, job] { simulator.cancel(job.ref); });
        });
}

/// Schedules ends of controllers and machines, cut links, the loss of a zone and a machine that hangs.
void schedule_faults(Simulator& simulator) {
    simulator.schedule_at(20 * kSecond,
                          [&simulator] { simulator.crash(simulator.leader_node(), 3 * kSecond); });
    simulator.schedule_at(32 * kSecond,
                          [&simulator] { simulator.set_hung(simulator.machine_names().front(), true); });
    simulator.schedule_at(40 * kSecond, [&simulator] { simulator.cut_link("loom-1", "state"); });
    simulator.schedule_at(48 * kSecond, [&simulator] { simulator.heal_link("loom-1", "state"); });
    simulator.schedule_at(52 * kSecond,
                          [&simulator] { simulator.kill_machine(simulator.machine_names().back()); });
    simulator.schedule_at(60 * kSecond, [&simulator] { simulator.fail_zone("a", false); });
    simulator.schedule_at(72 * kSecond, [&simulator] { simulator.restore_zone("a"); });
    simulator.schedule_at(80 * kSecond, [&simulator] {
        for (int i = 0; i < simulator.node_count(); ++i) simulator.crash(i, (1 + i) * kSecond);
    });
}

class ControllerTraffic : public testing::TestWithParam<Expected> {};

TEST_P(ControllerTraffic, MatchesPinnedDigest) {
    const auto [seed, expected] = GetParam();
    Settings settings = small_cluster_settings();
    if (seed % 2 == 0) settings.cpu_cores = 0.001;  // several shards
    Simulator simulator(static_cast<std::uint64_t>(seed), settings);
    TrafficDigest digest;
    simulator.on_traffic = [&digest](const std::string& who, const std::string& what,
                                     const std::string& body) {
        digest.add(who);
        digest.add(what);
        digest.add(body);
    };
    for (int i = 0; i < 8; ++i)
        simulator.add_machine(i % 3 == 0 ? "large" : "small", i % 2 ? "b" : "a", i % 4 == 3);
    simulator.cloud().capacity = 6;
    simulator.message_loss_rate = 0.01;
    simulator.start_nodes();
    submit_jobs(simulator, 50);
    schedule_faults(simulator);
    simulator.run(120 * kSecond);
    EXPECT_NO_VIOLATIONS(simulator);
    EXPECT_GT(digest.lines(), 1000U);
    EXPECT_EQ(digest.hex(), expected) << "seed " << seed;
}

INSTANTIATE_TEST_SUITE_P(Seeds, ControllerTraffic,
                         testing::Values(Expected{1, "ac8aca4b3aa1ec42f4dcb8e65f604b4c598ba01f"},
                                         Expected{2, "13d6c79e2b690434164065dca12b5b02a84661b8"},
                                         Expected{3, "ac7a80979266297322339fb8353217392b16d6fa"},
                                         Expected{4, "f70ad5af0e8294fba4f2ec59a0bfd3e2d6ec798c"}),
                         [](const auto& param) { return std::to_string(param.param.seed); });

}  // namespace
}  // namespace cottonway::test
