// Packing and unpacking of messages between controllers at their limits and around them.

#include <gtest/gtest.h>

#include "peer/messages.hpp"

namespace cottonway::test {
namespace {

std::vector<std::size_t> values_around(std::size_t limit) {
    return {limit - 1, limit, limit + 1};
}

TEST(PeerMessages, StateHoldsTeamsAndShardsUpToTheLimits) {
    for (const std::size_t teams : values_around(peer::kMaxTeams))
        for (const std::size_t shards : values_around(peer::kMaxShards)) {
            peer::State state;
            state.node = "loom-0";
            state.shards.resize(shards);
            for (auto& shard : state.shards) shard.teams.resize(teams);
            const auto unpacked = peer::unpack<peer::State>(peer::pack(state));
            ASSERT_TRUE(unpacked) << teams << " " << shards;
            ASSERT_EQ(unpacked->shards.size(), std::min(shards, peer::kMaxShards));
            EXPECT_EQ(unpacked->shards.front().teams.size(), std::min(teams, peer::kMaxTeams));
        }
}

// A longer list is truncated, and its answer covers fewer machines than the sender asked about.
TEST(PeerMessages, RelinquishHoldsMachinesUpToTheLimit) {
    for (const std::size_t machines : values_around(peer::kMaxMachines)) {
        peer::Relinquish request;
        request.machines.assign(machines, "n-000001");
        peer::Relinquished answer;
        answer.renewal_ages.assign(machines, 5);
        const auto unpacked_request = peer::unpack<peer::Relinquish>(peer::pack(request));
        const auto unpacked_answer = peer::unpack<peer::Relinquished>(peer::pack(answer));
        ASSERT_TRUE(unpacked_request && unpacked_answer) << machines;
        EXPECT_EQ(unpacked_request->machines.size(), std::min(machines, peer::kMaxMachines));
        EXPECT_EQ(unpacked_answer->renewal_ages.size(), std::min(machines, peer::kMaxMachines));
    }
}

TEST(PeerMessages, RelayAcceptsReportsUpToTheLimit) {
    for (const std::size_t bytes : values_around(peer::kMaxReportBytes)) {
        const auto unpacked = peer::unpack<peer::Relay>(peer::pack(peer::Relay{std::string(bytes, 'r')}));
        EXPECT_EQ(unpacked.has_value(), bytes <= peer::kMaxReportBytes) << bytes;
    }
}

TEST(PeerMessages, NameArrivesUnchangedIfItFits) {
    for (const std::size_t bytes : values_around(peer::kNameSize - 1)) {
        const std::string name(bytes, 'n');
        peer::QuotaRequest request;
        request.team = name;
        const auto unpacked_request = peer::unpack<peer::QuotaRequest>(peer::pack(request));
        ASSERT_TRUE(unpacked_request);
        EXPECT_EQ(unpacked_request->team == name, peer::name_fits(name)) << bytes;
    }
}

}  // namespace
}  // namespace cottonway::test
